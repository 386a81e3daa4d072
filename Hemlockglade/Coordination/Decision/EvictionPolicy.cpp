#include "Hemlockglade/Coordination/Decision/EvictionPolicy.h"

namespace hemlockglade {

EvictionPolicy::EvictionPolicy(const EvictionSettings &settings,
                               EvictionHooks hooks,
                               const DemandEstimate &demand,
                               std::pmr::memory_resource *memory)
    : Settings(settings), Hooks(std::move(hooks)), Demand(demand),
      Order(memory) {}

void EvictionPolicy::refresh(const Replica &replica, Resident &resident,
                             bool copies, Instant now) {
  forget(replica, resident);
  bool isPresent = resident.State == ResidentState::Resident ||
                   resident.State == ResidentState::Uncertain;
  if (!isPresent || resident.Running != 0)
    return;
  resident.Idle = true;
  resident.Value = valueOf(resident, copies, now);
  Order.insert({resident.Value, replica.Key, resident.Adapter});
}

void EvictionPolicy::forget(const Replica &replica, Resident &resident) {
  if (!resident.Idle)
    return;
  Order.erase({resident.Value, replica.Key, resident.Adapter});
  resident.Idle = false;
}

bool EvictionPolicy::isEvictable(const Replica &replica,
                                 const Resident &resident, Instant now,
                                 Instant ownerSince) const {
  if (resident.Running != 0)
    return false;
  if (resident.State == ResidentState::Resident &&
      now - resident.LoadedAt < Settings.MinResidency)
    return false;
  if (resident.State == ResidentState::Uncertain && now < resident.SettledAfter)
    return false;
  // Requests of a former owner may run on a resident that is known only from a
  // report.
  if (resident.FromReport && replica.ReportAt < ownerSince)
    return false;
  // A report older than this owner's last use adds nothing to its own record.
  bool newer = replica.ReportAt >= resident.LastUsed;
  return resident.ReportedRunning == 0 || !newer;
}

double EvictionPolicy::valueOf(const Resident &resident, bool copies,
                               Instant now) const {
  if (resident.State == ResidentState::Uncertain)
    return -1;
  if (Settings.LeastRecentlyUsed)
    return static_cast<double>(resident.LastUsed.count());
  double value = Demand.rate(resident.Adapter, now);
  return copies ? value * Settings.CopyValueFactor : value;
}

} // namespace hemlockglade
