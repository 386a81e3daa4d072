#include "Hemlockglade/Coordination/Decision/Consolidation.h"

#include <algorithm>
#include <cmath>

namespace hemlockglade {

Replica *Consolidation::run() {
  const auto &settings = State.Settings.Consolidation;
  if (settings.FullTarget <= 0 || State.Settings.Objective <= 0)
    return wakeOne();
  auto inFlight = static_cast<double>(State.Queues.size());
  for (const auto &it : State.Replicas.all())
    inFlight += it.Present ? it.inFlight() : 0;
  auto past = std::chrono::duration<double>(State.Now - SampledAt);
  auto over = std::chrono::duration<double>(settings.MeanOver);
  InFlight += (inFlight - InFlight) * (1 - std::exp(-past / over));
  SampledAt = State.Now;
  if (isShort() || places(false) < placesNeeded())
    return wakeOne();
  if (State.Now >= NextChange && State.Mode == LeaseMode::Held)
    restOne();
  return nullptr;
}

bool Consolidation::isShort() const {
  std::size_t loads = State.Planner.size();
  return State.Mode != LeaseMode::Held ||
         loads > State.Settings.Consolidation.MostLoadsWaiting;
}

Replica *Consolidation::wakeOne() {
  for (auto &it : State.Replicas.all()) {
    if (!it.Resting)
      continue;
    it.Resting = false;
    NextChange = State.Now + State.Settings.Consolidation.AfterWake;
    State.replanAll(it);
    return &it;
  }
  return nullptr;
}

void Consolidation::restOne() {
  const auto &settings = State.Settings.Consolidation;
  Replica *best = nullptr;
  for (auto &it : State.Replicas.all()) {
    if (!it.Present || it.Draining || it.Resting)
      continue;
    if (!best || it.inFlight() <= best->inFlight())
      best = &it;
  }
  NextChange = State.Now + settings.Period;
  if (!best || State.Planner.size() != 0 || isWaitedFor(*best))
    return;
  double left = places(false) - best->Properties.Batch;
  // The last one that is awake stays so.
  if (left <= 0 || left < placesNeeded())
    return;
  best->Resting = true;
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

double Consolidation::places(bool resting) const {
  double n = 0;
  for (const auto &it : State.Replicas.all()) {
    if (it.Present && !it.Draining && (resting || !it.Resting))
      n += it.Properties.Batch;
  }
  return n;
}

double Consolidation::placesNeeded() const {
  double all = places(true);
  double full = InFlight / State.Settings.Consolidation.FullTarget;
  return all - State.Settings.Objective * (all - full);
}

} // namespace hemlockglade
