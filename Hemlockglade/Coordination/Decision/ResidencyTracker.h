#pragma once

#include "Hemlockglade/Coordination/Decision/CellState.h"

namespace hemlockglade {

/// Keeps the books on what is loaded where, from the answers to orders and
/// from lagging reports. An answer that is missing, late or doubled never
/// frees a slot that may be in use, nor makes an adapter usable that may not
/// be there.
class ResidencyTracker {
public:
  explicit ResidencyTracker(CellState &state) : State(state) {}

  /// Both return whether the adapter can be used on the replica from now on.
  bool loadDone(const LoadDone &event);
  bool evictDone(const EvictDone &event);
  void loadFailed(const LoadFailed &event);

  void replicaAdded(const ReplicaAdded &event);
  void replicaRemoved(ReplicaKey replica);
  void draining(const ReplicaDraining &event);
  void silent(ReplicaKey replica);
  /// Takes in a report; returns whether it was news.
  bool report(const ReplicaReport &event);
  /// Orders without an answer for too long count as unknown.
  void expireOrders();
  /// The ownership ended: nothing is known any more of what is loaded.
  void forgetAll();

private:
  Resident *answered(Replica *replica, AdapterKey adapter, std::uint64_t order,
                     bool isLoad);
  std::optional<OpenOrder> closeAnswered(Resident &resident);
  void backOff(Replica &replica, ActiveAdapter &active);
  void newIncarnation(Replica &replica, const ReplicaReport &event);
  void reconcile(Replica &replica, const ReplicaReport &event);
  /// Takes the resident out, or marks it uncertain if requests run on it.
  void lose(Replica &replica, AdapterKey adapter);
  /// Whether the report shows that the resident's open order was carried out.
  static bool answersOrder(const Resident &resident, const ReplicaReport &event,
                           bool reported);
  /// Gives the turn of a load that takes too long to another.
  void markOverdue(OpenOrder &open);
  void takeAnswer(Replica &replica, Resident &resident);
  void addReported(Replica &replica, const ReplicaReport &event);

  CellState &State;
  /// Adapters to strike out; kept to spare allocations.
  std::vector<AdapterKey> Gone;
};

} // namespace hemlockglade
