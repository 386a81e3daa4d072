#pragma once

#include "Hemlockglade/Coordination/Decision/CellState.h"

namespace hemlockglade {

/// Lets replicas rest so that the batches of the others fill, as far as the
/// cell's objective asks for it and neither loads nor batches fall short.
class Consolidation {
public:
  explicit Consolidation(CellState &state) : State(state) {}

  /// Looks at the load; to be called at each tick. Returns a replica that was
  /// woken, to be given work, or null.
  Replica *run();

private:
  Replica *wakeOne();
  void restOne();
  bool isShort() const;
  /// Whether requests wait for an adapter on the replica.
  bool isWaitedFor(const Replica &replica) const;
  /// Places in the batches of the replicas that are awake, or of all.
  double places(bool resting) const;
  /// Places that must be awake: the objective gives the part of the spare ones
  /// that may rest.
  double placesNeeded() const;

  CellState &State;
  /// Mean number of requests in flight or waiting.
  double InFlight = 0;
  Instant SampledAt{};
  Instant NextChange{};
};

} // namespace hemlockglade
