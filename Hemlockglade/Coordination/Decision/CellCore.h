#pragma once

#include "Hemlockglade/Coordination/Decision/Consolidation.h"
#include "Hemlockglade/Coordination/Decision/OrderPlanner.h"
#include "Hemlockglade/Coordination/Decision/RequestAdmission.h"
#include "Hemlockglade/Coordination/Decision/ResidencyTracker.h"

namespace hemlockglade {

/// The decisions of a cell's owner: which requests go where and when, and
/// which adapters are loaded where. It has no clock, no sockets and no
/// threads: the same events at the same times give the same actions.
class CellCore {
public:
  explicit CellCore(const CellCoreSettings &settings, CellCoreHooks hooks = {});
  CellCore(const CellCore &) = delete;
  CellCore &operator=(const CellCore &) = delete;

  /// Takes in one event; what is to be done is appended to `actions`.
  void handle(const Event &event, Instant now, std::vector<Action> &actions);

  /// Requests that wait for a slot or a load.
  std::size_t waiting() const { return State.Queues.size(); }
  /// Requests that run.
  std::size_t running() const { return State.Running.size(); }

private:
  void on(const RequestArrived &event);
  void on(const RequestFinished &event);
  void on(const RequestAdopted &event);
  void on(const LoadDone &event);
  void on(const LoadFailed &event);
  void on(const EvictDone &event);
  void on(const ReplicaAdded &event);
  void on(const ReplicaRemoved &event);
  void on(const ReplicaDraining &event);
  void on(const ReplicaReport &event);
  void on(const ReplicaSilent &event);
  void on(const LeaseChanged &event);
  void on(const LoadLimitChanged &event);
  void on(const PinChanged &event);
  void on(const RuleChanged &event);
  void on(const OperatorLoad &event);
  void on(const ObjectiveChanged &event);
  void on(const Tick &event);

  void serveAllOn(ReplicaKey replica);

  CellState State;
  RequestAdmission Desk;
  ResidencyTracker Residency;
  OrderPlanner Orders;
  Consolidation Rests;
};

} // namespace hemlockglade
