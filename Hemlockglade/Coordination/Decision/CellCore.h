#pragma once

#include "Hemlockglade/Coordination/Decision/Consolidation.h"
#include "Hemlockglade/Coordination/Decision/OrderPlanner.h"
#include "Hemlockglade/Coordination/Decision/RequestAdmission.h"
#include "Hemlockglade/Coordination/Decision/ResidencyTracker.h"

namespace hemlockglade {

/// Decides for a cell's owner which requests are sent to which replica and
/// when, and which adapters are loaded where. Deterministic: time is passed in,
/// and it does no I/O and starts no threads.
class CellCore {
public:
  explicit CellCore(const CellCoreSettings &settings, CellCoreHooks hooks = {});
  CellCore(const CellCore &) = delete;
  CellCore &operator=(const CellCore &) = delete;

  /// Handles one event and appends the resulting actions to `actions`.
  void handle(const Event &event, Instant now, std::vector<Action> &actions);

  /// Number of requests that wait for a place in a batch or for a load.
  std::size_t waiting() const { return State.Queues.size(); }
  /// Number of running requests.
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
  void on(const ReplicaReportMissed &event);
  void on(const LeaseChanged &event);
  void on(const LoadLimitChanged &event);
  void on(const PinChanged &event);
  void on(const RuleChanged &event);
  void on(const OperatorLoad &event);
  void on(const ObjectiveChanged &event);
  void on(const Tick &event);

  void admitOnReplica(ReplicaKey replica);

  CellState State;
  RequestAdmission Admission;
  ResidencyTracker Residency;
  OrderPlanner Orders;
  Consolidation ReplicaConsolidation;
};

} // namespace hemlockglade
