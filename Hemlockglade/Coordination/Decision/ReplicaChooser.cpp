#include "Hemlockglade/Coordination/Decision/ReplicaChooser.h"

#include <algorithm>

namespace hemlockglade {

namespace {

// Loads per unit of capacity that differ by less count as equal.
constexpr double LoadTolerance = 1e-9;
// From this objective on, the replica with the higher load is preferred.
constexpr double FillFromObjective = 0.5;

} // namespace

ReplicaChooser::ReplicaChooser(const RoutingSettings &settings,
                               double objective, CellReplicas &replicas)
    : Settings(settings), Objective(objective), Replicas(replicas),
      Prefixes(settings.Prefixes) {}

bool ReplicaChooser::canTakeWork(const Replica &replica) const {
  return replica.Present && !replica.Draining && !replica.Standby &&
         replica.MissedReports < Settings.DownAfterMissed;
}

bool ReplicaChooser::canServe(const Replica &replica,
                              const ActiveAdapter &active) const {
  return canTakeWork(replica) && active.isAllowedIn(replica.Properties.Domain);
}

Replica *ReplicaChooser::choose(const RequestArrived &request,
                                const ActiveAdapter &active, Reason &why) {
  Replica *best = nullptr;
  auto consider = [&](Replica &replica) {
    if (!canServe(replica, active) || !replica.hasRoom())
      return;
    if (request.Adapter != NoAdapter && !hasLoaded(replica, request.Adapter))
      return;
    if (!best || isBetter(replica, *best))
      best = &replica;
  };
  if (request.Adapter == NoAdapter) {
    for (auto &replica : Replicas.all())
      consider(replica);
    why = Reason::PlainLeastLoaded;
    return best;
  }
  for (ReplicaKey it : active.Holders)
    consider(Replicas.obtain(it));
  why = Reason::Resident;
  if (!best || !Settings.PrefixAffinity || request.PrefixHash == 0)
    return best;
  auto *cached = findCached(request, active, *best);
  if (!cached)
    return best;
  why = Reason::PrefixAffinity;
  return cached;
}

void ReplicaChooser::onAdmitted(const RequestArrived &request,
                                const Replica &replica) {
  if (request.PrefixHash != 0 && request.Adapter != NoAdapter)
    Prefixes.record(request.Adapter, request.PrefixHash, replica.Key,
                    replica.Incarnation);
}

double ReplicaChooser::loadOf(const Replica &replica) const {
  std::uint32_t n =
      Settings.CountUntracked ? replica.inFlight() : replica.Running;
  return Settings.PerCapacity ? n / capacityOf(replica) : n;
}

bool ReplicaChooser::isBetter(const Replica &left, const Replica &right) const {
  bool leftSuspect = left.MissedReports >= Settings.SuspectAfterMissed;
  bool rightSuspect = right.MissedReports >= Settings.SuspectAfterMissed;
  if (leftSuspect != rightSuspect)
    return rightSuspect;
  double difference = loadOf(left) - loadOf(right);
  if (Objective >= FillFromObjective)
    difference = -difference;
  if (difference < -LoadTolerance || difference > LoadTolerance)
    return difference < 0;
  double leftCapacity = capacityOf(left);
  double rightCapacity = capacityOf(right);
  if (Settings.TiesToCapacity && leftCapacity != rightCapacity)
    return leftCapacity > rightCapacity;
  return left.Key < right.Key;
}

double ReplicaChooser::capacityOf(const Replica &replica) const {
  double capacity = replica.capacity();
  if (Settings.DerateCold && replica.WarmupLeft != 0)
    capacity *= Settings.ColdCapacityFactor;
  return capacity;
}

Replica *ReplicaChooser::findCached(const RequestArrived &request,
                                    const ActiveAdapter &active,
                                    const Replica &best) {
  auto location = Prefixes.find(request.Adapter, request.PrefixHash);
  if (!location)
    return nullptr;
  auto *cached = Replicas.find(location->Replica);
  if (!cached || cached->Incarnation != location->Incarnation ||
      !canServe(*cached, active) || !cached->hasRoom() ||
      !hasLoaded(*cached, request.Adapter))
    return nullptr;
  double tokens = std::min(request.PromptTokens, Settings.FullBoundTokens);
  double bound =
      Settings.AffinityBound * tokens / std::max(1U, Settings.FullBoundTokens);
  if (!Settings.PerCapacity)
    bound *= best.capacity();
  if (loadOf(*cached) - loadOf(best) > bound)
    return nullptr;
  return cached;
}

bool ReplicaChooser::hasLoaded(Replica &replica, AdapterKey adapter) {
  auto *resident = Replicas.resident(replica, adapter);
  return resident && resident->State == ResidentState::Resident;
}

} // namespace hemlockglade
