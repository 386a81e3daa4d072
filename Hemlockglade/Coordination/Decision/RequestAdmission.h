#pragma once

#include "Hemlockglade/Coordination/Decision/CellState.h"

namespace hemlockglade {

/// Admits, queues and refuses the requests of one cell.
class RequestAdmission {
public:
  explicit RequestAdmission(CellState &state);

  void arrived(const RequestArrived &event);
  void finished(RequestKey request);
  void adopted(const RequestAdopted &event);

  /// Admits what waits for the adapter, as far as there is room.
  void serveAdapter(AdapterKey adapter);
  /// Admits what waits for adapters on the replica, as far as there is room.
  void serveReplica(Replica &replica);
  /// Gives up on requests that can't be answered in time any more.
  void giveUp();
  /// Refuses everything that waits.
  void refuseAll(Reason why);

private:
  void admit(const RequestArrived &request, Replica &replica, Span stall,
             Reason why);
  void admitWaiting(RequestKey request, ActiveAdapter &active, Replica &replica,
                    Reason why);
  void refuse(RequestKey request, Reason why);
  void refuseWaiting(const WaitingRequest &waiting, Reason why);
  /// Whether the arrival was told before.
  bool isRepeat(RequestKey request);
  /// Whether a request that must wait may do so.
  bool mayWait(const RequestArrived &request, const ActiveAdapter &active,
               Reason &why);
  /// Whether requests of a higher class wait for a load.
  bool isBehind(const RequestArrived &request) const;
  /// Whether a replica may serve the adapter; one that rests is woken for it.
  bool anyServes(const ActiveAdapter &active);
  void enqueue(const RequestArrived &request, ActiveAdapter &active);
  /// Makes room in a full queue by shedding a lower class.
  bool shedFor(const RequestArrived &request);
  /// The queue whose first request is next on the replica; null if none.
  ActiveAdapter *nextOn(Replica &replica);

  /// Time until the request could be admitted, as far as can be told.
  Span expectedWait(const RequestArrived &request, const ActiveAdapter &active);
  Span waitForRoom(const RequestArrived &request, const ActiveAdapter &active);
  /// When the request must be admitted to meet its deadline.
  Instant latestStart(const RequestArrived &request) const;
  Span loadWait(std::size_t loads) const;
  Span batchWait(std::size_t requests) const;
  Span retryAfter() const;

  CellState &State;
  RetryBudget Budget;
  /// Numbers of the last requests, by their low bits, so that an arrival that
  /// is told twice is answered once.
  std::vector<RequestKey> Seen;
};

} // namespace hemlockglade
