#pragma once

#include "Hemlockglade/Coordination/Decision/CellState.h"

namespace hemlockglade {

/// Admits, queues and refuses the requests of one cell.
class RequestAdmission {
public:
  explicit RequestAdmission(CellState &state);

  void onArrived(const RequestArrived &event);
  void onFinished(RequestKey request);
  void onAdopted(const RequestAdopted &event);

  /// Admits requests that wait for the adapter, as far as there is room.
  void admitForAdapter(AdapterKey adapter);
  /// Admits requests that wait for any adapter on the replica, as far as there
  /// is room.
  void admitForReplica(Replica &replica);
  /// Refuses waiting requests that can't be answered in time any more.
  void refuseOverdue();
  /// Refuses all waiting requests.
  void refuseAll(Reason why);

private:
  void admit(const RequestArrived &request, Replica &replica, Span stall,
             Reason why);
  void admitWaiting(RequestKey request, ActiveAdapter &active, Replica &replica,
                    Reason why);
  void refuse(RequestKey request, Reason why);
  void refuseWaiting(const WaitingRequest &waiting, Reason why);
  /// Returns whether the arrival was handled before; records it if not.
  bool isDuplicate(RequestKey request);
  /// Returns whether a request that can't be admitted now may wait; else sets
  /// the reason.
  bool canWait(const RequestArrived &request, const ActiveAdapter &active,
               Reason &why);
  /// Returns whether requests of a higher class wait for a load.
  bool isBehindHigherClass(const RequestArrived &request) const;
  /// Returns whether a replica can serve the adapter; activates one on standby
  /// if it is needed for that.
  bool ensureReplica(const ActiveAdapter &active);
  void enqueue(const RequestArrived &request, ActiveAdapter &active);
  /// Makes room in a full queue by shedding a request of a lower class; returns
  /// whether there was one.
  bool shedLowerClass(const RequestArrived &request);
  /// Returns the adapter whose first waiting request is next on the replica;
  /// null if there is none.
  ActiveAdapter *nextQueueOn(Replica &replica);

  /// Returns the estimated time until the request can be admitted.
  Span expectedWait(const RequestArrived &request, const ActiveAdapter &active);
  Span waitForRoom(const RequestArrived &request, const ActiveAdapter &active);
  /// Returns the latest admission at which the request meets its deadline.
  Instant latestStart(const RequestArrived &request) const;
  Span loadWait(std::size_t loads) const;
  Span batchWait(std::size_t requests) const;
  Span retryAfter() const;

  CellState &State;
  RetryBudget Budget;
  /// Keys of recent requests, indexed by their low bits, so that an arrival
  /// that is delivered twice is answered once.
  std::vector<RequestKey> RecentRequests;
};

} // namespace hemlockglade
