#include "Hemlockglade/Coordination/Registry/RegistryChangeLog.h"

namespace hemlockglade {

bool RegistryChangeLog::onOperator(const OperatorChanges &changes) {
  if (Operators.position() == 0) {
    Operators.reset(changes.Position);
    return false;
  }
  if (!changes.Plan && changes.Versions.empty()) {
    Operators.advance(changes.Position);
    return false;
  }
  Operators.add(changes.Position, changes, Options.MaxKept);
  return true;
}

bool RegistryChangeLog::updateReplica(const ReplicaRecord &record) {
  auto [it, isNew] = KnownReplicas.try_emplace(record.Incarnation.id(), record);
  const auto &old = it->second;
  // Most heartbeats change nothing that affects routing; the residency of a
  // replica is reported by its cell's owner. Sending them all would take 30
  // KB/s to each node of a deployment with 140 replicas.
  bool isUnchanged =
      !isNew && old.Incarnation == record.Incarnation &&
      old.Service == record.Service && old.Address == record.Address &&
      old.FailureDomain == record.FailureDomain && old.Slots == record.Slots &&
      old.Draining == record.Draining;
  it->second = record;
  return !isUnchanged;
}

bool RegistryChangeLog::onReplicas(const ReplicaChanges &changes) {
  if (changes.Complete) {
    KnownReplicas.clear();
    for (const auto &it : changes.Present)
      KnownReplicas.emplace(it.Incarnation.id(), it);
    Replicas.reset(changes.Position);
    return false;
  }
  ReplicaChanges routingChanges;
  routingChanges.Position = changes.Position;
  for (const auto &it : changes.Present)
    if (updateReplica(it))
      routingChanges.Present.push_back(it);
  for (const auto &it : changes.Removed)
    KnownReplicas.erase(it);
  routingChanges.Removed = changes.Removed;
  if (routingChanges.Present.empty() && routingChanges.Removed.empty()) {
    Replicas.advance(changes.Position);
    return false;
  }
  Replicas.add(changes.Position, std::move(routingChanges), Options.MaxKept);
  return true;
}

} // namespace hemlockglade
