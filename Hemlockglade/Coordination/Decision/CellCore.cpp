#include "Hemlockglade/Coordination/Decision/CellCore.h"

namespace hemlockglade {

CellCore::CellCore(const CellCoreSettings &settings, CellCoreHooks hooks)
    : State(settings, std::move(hooks)), Desk(State), Residency(State),
      Orders(State), Rests(State) {}

void CellCore::handle(const Event &event, Instant now,
                      std::vector<Action> &actions) {
  // Time never runs backwards, whatever the driver's clock says.
  State.Now = std::max(State.Now, now);
  State.Out = &actions;
  std::visit([this](const auto &it) { on(it); }, event);
  if (State.Mode != LeaseMode::None) {
    Desk.giveUp();
    Orders.cancelUnwanted();
    Orders.run();
  }
  State.Out = nullptr;
}

void CellCore::on(const RequestArrived &event) { Desk.arrived(event); }

void CellCore::on(const RequestFinished &event) {
  Desk.finished(event.Request);
}

void CellCore::on(const RequestAdopted &event) { Desk.adopted(event); }

void CellCore::on(const LoadDone &event) {
  if (Residency.loadDone(event))
    Desk.serveAdapter(event.Adapter);
}

void CellCore::on(const LoadFailed &event) { Residency.loadFailed(event); }

void CellCore::on(const EvictDone &event) {
  if (Residency.evictDone(event))
    Desk.serveAdapter(event.Adapter);
}

void CellCore::on(const ReplicaAdded &event) {
  Residency.replicaAdded(event);
  serveAllOn(event.Replica);
}

void CellCore::on(const ReplicaRemoved &event) {
  Residency.replicaRemoved(event.Replica);
}

void CellCore::on(const ReplicaDraining &event) {
  Residency.draining(event);
  serveAllOn(event.Replica);
}

void CellCore::on(const ReplicaReport &event) {
  if (Residency.report(event))
    serveAllOn(event.Replica);
}

void CellCore::on(const ReplicaSilent &event) {
  Residency.silent(event.Replica);
}

void CellCore::on(const LeaseChanged &event) {
  LeaseMode before = State.Mode;
  State.Mode = event.Mode;
  if (event.Mode == LeaseMode::None) {
    Desk.refuseAll(Reason::NotOwner);
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

void CellCore::on(const PinChanged &event) { Orders.pinChanged(event); }

void CellCore::on(const RuleChanged &event) {
  Orders.ruleChanged(event);
  Desk.serveAdapter(event.Adapter);
}

void CellCore::on(const OperatorLoad &event) { Orders.operatorLoad(event); }

void CellCore::on(const ObjectiveChanged &event) {
  State.Settings.Objective = event.Objective;
  State.Chooser.setObjective(event.Objective);
}

void CellCore::on(const Tick &) {
  Residency.expireOrders();
  State.refreshSome();
  if (auto *woken = Rests.run())
    Desk.serveReplica(*woken);
}

void CellCore::serveAllOn(ReplicaKey replica) {
  if (auto *found = State.Replicas.find(replica))
    Desk.serveReplica(*found);
}

} // namespace hemlockglade
