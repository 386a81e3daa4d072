#pragma once

#include "Hemlockglade/Coordination/Decision/CellState.h"

namespace hemlockglade {

/// Puts replicas on standby so that the batches of the others fill, as far as
/// the cell's objective asks for it and there is no shortage of loads or batch
/// capacity.
class Consolidation {
public:
  explicit Consolidation(CellState &state) : State(state) {}

  /// Updates the mean load and changes at most one replica; to be called at
  /// each tick. Returns a replica that was activated and can be given work, or
  /// null.
  Replica *run();

private:
  Replica *activateOne();
  void putOneOnStandby();
  bool isShort() const;
  /// Returns whether requests wait for an adapter on the replica.
  bool isWaitedFor(const Replica &replica) const;
  /// Returns the batch capacity of the replicas that are not draining, with or
  /// without those on standby.
  double batchCapacity(bool standby) const;
  /// Returns the batch capacity that must be active: the objective is the
  /// fraction of the spare capacity that may be on standby.
  double neededCapacity() const;

  CellState &State;
  /// Mean number of requests in flight or waiting.
  double InFlight = 0;
  Instant SampledAt{};
  Instant NextChange{};
};

} // namespace hemlockglade
