#include "Hemlockglade/Coordination/Decision/Consolidation.h"

#include <algorithm>
#include <cmath>

namespace hemlockglade {

Replica *Consolidation::run() {
  const auto &settings = State.Settings.Consolidation;
  if (settings.TargetUtilization <= 0 || State.Settings.Objective <= 0)
    return activateOne();
  auto inFlight = static_cast<double>(State.Queues.size());
  for (const auto &it : State.Replicas.all())
    inFlight += it.Present ? it.inFlight() : 0;
  auto elapsed = std::chrono::duration<double>(State.Now - SampledAt);
  auto window = std::chrono::duration<double>(settings.AveragingWindow);
  InFlight += (inFlight - InFlight) * (1 - std::exp(-elapsed / window));
  SampledAt = State.Now;
  if (isShort() || batchCapacity(false) < neededCapacity())
    return activateOne();
  if (State.Now >= NextChange && State.Mode == LeaseMode::Held)
    putOneOnStandby();
  return nullptr;
}

bool Consolidation::isShort() const {
  std::size_t waitingLoads = State.Planner.size();
  return State.Mode != LeaseMode::Held ||
         waitingLoads > State.Settings.Consolidation.MaxLoadsWaiting;
}

Replica *Consolidation::activateOne() {
  for (auto &it : State.Replicas.all()) {
    if (!it.Standby)
      continue;
    it.Standby = false;
    NextChange = State.Now + State.Settings.Consolidation.StandbyDelay;
    State.replanAll(it);
    return &it;
  }
  return nullptr;
}

void Consolidation::putOneOnStandby() {
  const auto &settings = State.Settings.Consolidation;
  Replica *best = nullptr;
  for (auto &it : State.Replicas.all()) {
    if (!it.Present || it.Draining || it.Standby)
      continue;
    if (!best || it.inFlight() <= best->inFlight())
      best = &it;
  }
  NextChange = State.Now + settings.ChangeInterval;
  if (!best || State.Planner.size() != 0 || isWaitedFor(*best))
    return;
  double remaining = batchCapacity(false) - best->Properties.Batch;
  // The last active replica stays active.
  if (remaining <= 0 || remaining < neededCapacity())
    return;
  best->Standby = true;
  State.replanAll(*best);
}

bool Consolidation::isWaitedFor(const Replica &replica) const {
  for (const auto &it : replica.Adapters) {
    const auto *active = State.Adapters.find(it.Adapter);
    if (active && !active->Queue.empty())
      return true;
  }
  return false;
}

double Consolidation::batchCapacity(bool standby) const {
  double n = 0;
  for (const auto &it : State.Replicas.all()) {
    if (it.Present && !it.Draining && (standby || !it.Standby))
      n += it.Properties.Batch;
  }
  return n;
}

double Consolidation::neededCapacity() const {
  double total = batchCapacity(true);
  double inUse = InFlight / State.Settings.Consolidation.TargetUtilization;
  return total - State.Settings.Objective * (total - inUse);
}

} // namespace hemlockglade
