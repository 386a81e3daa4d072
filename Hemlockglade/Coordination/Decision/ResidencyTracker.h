#pragma once

#include "Hemlockglade/Coordination/Decision/CellState.h"

namespace hemlockglade {

/// Tracks which adapters are resident on which replicas, from the answers to
/// orders and from lagging reports. A missing, late or duplicate answer never
/// frees a slot that may be in use, nor makes an adapter usable that may not be
/// resident.
class ResidencyTracker {
public:
  explicit ResidencyTracker(CellState &state) : State(state) {}

  /// Both return whether the adapter has become usable on the replica.
  bool onLoadDone(const LoadDone &event);
  bool onEvictDone(const EvictDone &event);
  void onLoadFailed(const LoadFailed &event);

  void onReplicaAdded(const ReplicaAdded &event);
  void onReplicaRemoved(ReplicaKey replica);
  void onDraining(const ReplicaDraining &event);
  void onReportMissed(ReplicaKey replica);
  /// Applies a report; returns false if it is out of date or the replica is
  /// unknown.
  bool onReport(const ReplicaReport &event);
  /// Sets the residents of orders that have timed out to uncertain.
  void expireOrders();
  /// Called when the ownership ends: discards all knowledge of what is loaded.
  void forgetAll();

private:
  Resident *findAnswered(Replica *replica, AdapterKey adapter,
                         std::uint64_t order, bool isLoad);
  std::optional<OpenOrder> closeAnswered(Resident &resident);
  void backOff(Replica &replica, ActiveAdapter &active);
  void onNewIncarnation(Replica &replica, const ReplicaReport &event);
  void reconcile(Replica &replica, const ReplicaReport &event);
  /// Removes the resident, or marks it uncertain if requests run on it.
  void removeOrMarkUncertain(Replica &replica, AdapterKey adapter);
  /// Returns whether the report shows that the resident's open order was
  /// carried out.
  static bool isOrderConfirmed(const Resident &resident,
                               const ReplicaReport &event, bool reported);
  /// Marks a load that takes too long as overdue, so that another may start
  /// beside it. Only one at a time may be overdue.
  void markOverdue(OpenOrder &open);
  void applyAnswer(Replica &replica, Resident &resident);
  void addReported(Replica &replica, const ReplicaReport &event);

  CellState &State;
  /// Adapters to remove; a member only to avoid allocations.
  std::vector<AdapterKey> ToRemove;
};

} // namespace hemlockglade
