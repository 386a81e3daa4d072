#include "Hemlockglade/Coordination/Decision/CellCore.h"

namespace hemlockglade {

CellCore::CellCore(const CellCoreSettings &settings, CellCoreHooks hooks)
    : State(settings, std::move(hooks)), Admission(State), Residency(State),
      Orders(State), ReplicaConsolidation(State) {}

void CellCore::handle(const Event &event, Instant now,
                      std::vector<Action> &actions) {
  // The driver's clock may step back; the core's time does not.
  State.Now = std::max(State.Now, now);
  State.Actions = &actions;
  std::visit([this](const auto &it) { on(it); }, event);
  if (State.Mode != LeaseMode::None) {
    Admission.refuseOverdue();
    Orders.cancelUnwanted();
    Orders.run();
  }
  State.Actions = nullptr;
}

void CellCore::on(const RequestArrived &event) { Admission.onArrived(event); }

void CellCore::on(const RequestFinished &event) {
  Admission.onFinished(event.Request);
}

void CellCore::on(const RequestAdopted &event) { Admission.onAdopted(event); }

void CellCore::on(const LoadDone &event) {
  if (Residency.onLoadDone(event))
    Admission.admitForAdapter(event.Adapter);
}

void CellCore::on(const LoadFailed &event) { Residency.onLoadFailed(event); }

void CellCore::on(const EvictDone &event) {
  if (Residency.onEvictDone(event))
    Admission.admitForAdapter(event.Adapter);
}

void CellCore::on(const ReplicaAdded &event) {
  Residency.onReplicaAdded(event);
  admitOnReplica(event.Replica);
}

void CellCore::on(const ReplicaRemoved &event) {
  Residency.onReplicaRemoved(event.Replica);
}

void CellCore::on(const ReplicaDraining &event) {
  Residency.onDraining(event);
  admitOnReplica(event.Replica);
}

void CellCore::on(const ReplicaReport &event) {
  if (Residency.onReport(event))
    admitOnReplica(event.Replica);
}

void CellCore::on(const ReplicaReportMissed &event) {
  Residency.onReportMissed(event.Replica);
}

void CellCore::on(const LeaseChanged &event) {
  LeaseMode before = State.Mode;
  State.Mode = event.Mode;
  if (event.Mode == LeaseMode::None) {
    Admission.refuseAll(Reason::NotOwner);
    Residency.forgetAll();
    return;
  }
  bool certain = before == LeaseMode::None || before == LeaseMode::Recovering;
  if (event.Mode == LeaseMode::Held && certain)
    State.OwnerSince = State.Now;
}

void CellCore::on(const LoadLimitChanged &event) {
  State.Limiter.setShare(event.Parallel, event.LoadsPerSecond);
}

void CellCore::on(const PinChanged &event) { Orders.onPinChanged(event); }

void CellCore::on(const RuleChanged &event) {
  Orders.onRuleChanged(event);
  Admission.admitForAdapter(event.Adapter);
}

void CellCore::on(const OperatorLoad &event) { Orders.onOperatorLoad(event); }

void CellCore::on(const ObjectiveChanged &event) {
  State.Settings.Objective = event.Objective;
  State.Chooser.setObjective(event.Objective);
}

void CellCore::on(const Tick &) {
  Residency.expireOrders();
  State.refreshNext();
  if (auto *activated = ReplicaConsolidation.run())
    Admission.admitForReplica(*activated);
}

void CellCore::admitOnReplica(ReplicaKey replica) {
  if (auto *found = State.Replicas.find(replica))
    Admission.admitForReplica(*found);
}

} // namespace hemlockglade
