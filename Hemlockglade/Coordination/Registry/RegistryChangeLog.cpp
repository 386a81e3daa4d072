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
  Operators.add(changes.Position, changes, Setup.MostKept);
  return true;
}

bool RegistryChangeLog::matters(const ReplicaRecord &record) {
  auto [it, isNew] = Known.try_emplace(record.Incarnation.id(), record);
  const auto &old = it->second;
  // Most heartbeats change nothing that requests are routed by; what a replica
  // holds is told by its cell's owner. Told in full they would be 30 KB/s to
  // each node of a deployment with 140 replicas.
  bool same = !isNew && old.Incarnation == record.Incarnation &&
              old.Service == record.Service && old.Address == record.Address &&
              old.FailureDomain == record.FailureDomain &&
              old.Slots == record.Slots && old.Draining == record.Draining;
  it->second = record;
  return !same;
}

bool RegistryChangeLog::onReplicas(const ReplicaChanges &changes) {
  if (changes.Complete) {
    Known.clear();
    for (const auto &it : changes.Present)
      Known.emplace(it.Incarnation.id(), it);
    Replicas.reset(changes.Position);
    return false;
  }
  ReplicaChanges told;
  told.Position = changes.Position;
  for (const auto &it : changes.Present)
    if (matters(it))
      told.Present.push_back(it);
  for (const auto &it : changes.Removed)
    Known.erase(it);
  told.Removed = changes.Removed;
  if (told.Present.empty() && told.Removed.empty()) {
    Replicas.advance(changes.Position);
    return false;
  }
  Replicas.add(changes.Position, std::move(told), Setup.MostKept);
  return true;
}

} // namespace hemlockglade
