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
  bool still = resident.State == ResidentState::Loaded ||
               resident.State == ResidentState::Uncertain;
  if (!still || resident.Running != 0)
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

bool EvictionPolicy::mayGo(const Replica &replica, const Resident &resident,
                           Instant now, Instant ownerSince) const {
  if (resident.Running != 0)
    return false;
  if (resident.State == ResidentState::Loaded &&
      now - resident.LoadedAt < Settings.MinResidency)
    return false;
  if (resident.State == ResidentState::Uncertain && now < resident.SettledAfter)
    return false;
  // A former owner's requests may run on what we know from a report only.
  if (resident.FromReport && replica.ReportAt < ownerSince)
    return false;
  // A report older than our own last use says nothing that we don't know.
  bool newer = replica.ReportAt >= resident.LastUsed;
  return resident.Reported == 0 || !newer;
}

double EvictionPolicy::valueOf(const Resident &resident, bool copies,
                               Instant now) const {
  if (resident.State == ResidentState::Uncertain)
    return -1;
  if (Settings.LeastRecentlyUsed)
    return static_cast<double>(resident.LastUsed.count());
  double value = Demand.rate(resident.Adapter, now);
  return copies ? value * Settings.CopyWorth : value;
}

} // namespace hemlockglade
