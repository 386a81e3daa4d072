#include "OwnedCells.h"

#include <easylogging++.h>

namespace hemlockglade {

OwnedCells::OwnedCells(std::string self, const RecoverySettings &recovery,
                       EngineClient &engines, OwnedCellsHooks hooks)
    : Self(std::move(self)), Recovery(recovery), Engines(engines),
      Hooks(std::move(hooks)), Recoveries(recovery, recoveryHooks()) {
  RecoveryLinksHooks links;
  links.AddressOf = [this](const std::string &node) {
    for (const auto &it : Hooks.Nodes()) {
      if (it.Name == node)
        return it.PeerAddress;
    }
    return std::string();
  };
  links.After = Hooks.After;
  Links = std::make_shared<RecoveryLinks>(Self, Running, links);
}

RecoveryHooks OwnedCells::recoveryHooks() {
  RecoveryHooks hooks;
  hooks.Query = [this](const RecoveryNode &node, const std::string &cell,
                       Epoch fence) { Links->query(node, cell, fence); };
  hooks.OnAdopted = [this](const RecoveryNode &,
                           const RegisteredRequest &request) {
    if (auto runner = find(request.Cell))
      runner->adopt(request);
  };
  hooks.OnFinished = [this](const RegisteredRequest &request) {
    if (auto runner = find(request.Cell))
      runner->finishAdopted(request.Id);
  };
  hooks.OnRecovered = [this](const std::string &cell, Epoch fence) {
    LOG(INFO) << "recovered cell=" << cell << " epoch=" << fence;
    if (auto runner = find(cell))
      runner->tick();
  };
  return hooks;
}

void OwnedCells::attach(PeerNet &net) { Links->attach(net, Recoveries); }

std::vector<RecoveryNode> OwnedCells::recentNodes(Instant now) {
  auto live = Hooks.Nodes();
  std::lock_guard lock(Mutex);
  for (const auto &node : live)
    RecentNodes[node.Name + '/' + node.Incarnation] = {node, now};
  std::erase_if(RecentNodes, [&](const auto &it) {
    return now - it.second.second > Recovery.UnfencedWait;
  });
  std::vector<RecoveryNode> nodes;
  for (const auto &[key, recent] : RecentNodes)
    nodes.push_back({recent.first.Name, recent.first.Incarnation});
  return nodes;
}

void OwnedCells::addCell(const std::string &cell, Epoch fence,
                         const std::optional<RecoveryNode> &former) {
  LOG(INFO) << "own cell=" << cell << " epoch=" << fence;
  CellRunnerHooks hooks;
  hooks.Holds = [this, cell] { return Hooks.Holds(cell); };
  hooks.Mode = [this, cell] { return modeOf(cell); };
  hooks.Post = Hooks.Post;
  hooks.LoadsPerSecond = Hooks.LoadsPerSecond;
  auto runner = std::make_shared<CellRunner>(cell, fence, Engines, hooks);
  runner->configure(*Hooks.InForce());
  std::vector<std::string> leaving;
  {
    std::lock_guard lock(Mutex);
    Runners[cell] = runner;
    leaving = LeavingReplicas;
  }
  runner->setLeaving(leaving);
  auto now = TimerService::now();
  auto nodes = recentNodes(now);
  if (former)
    nodes.push_back(*former);
  Recoveries.begin(cell, fence, nodes, allCheckFencing(cell), now);
  runner->tick();
  runner->requestReports();
}

bool OwnedCells::allCheckFencing(const std::string &cell) const {
  auto inForce = Hooks.InForce();
  bool all = true;
  inForce->all<ReplicaConfig>().forEach([&](const ReplicaConfig &replica) {
    auto service = inForce->find<ServiceConfig>(replica.Service);
    if (service && cellOfReplica(*service, replica) == cell)
      all = all && replica.ChecksFencing;
  });
  return all;
}

void OwnedCells::removeCell(const std::string &cell) {
  LOG(INFO) << "lose cell=" << cell;
  Recoveries.end(cell);
  Links->closeCell(cell);
  std::shared_ptr<CellRunner> runner;
  {
    std::lock_guard lock(Mutex);
    auto it = Runners.find(cell);
    if (it == Runners.end())
      return;
    runner = it->second;
    Runners.erase(it);
  }
  runner->stop();
}

LeaseMode OwnedCells::modeOf(const std::string &cell) const {
  return Recoveries.mode(cell, Hooks.Mode(cell));
}

void OwnedCells::configure(const CatalogView &view) {
  for (auto &runner : all())
    runner->configure(view);
}

void OwnedCells::setLeaving(const std::vector<std::string> &replicas) {
  {
    std::lock_guard lock(Mutex);
    LeavingReplicas = replicas;
  }
  for (auto &runner : all())
    runner->setLeaving(replicas);
}

void OwnedCells::tick() {
  for (auto &runner : all())
    runner->tick();
}

void OwnedCells::tickRecoveries(Instant now) {
  recentNodes(now);
  std::vector<RecoveryNode> live;
  for (const auto &node : Hooks.Nodes())
    live.push_back({node.Name, node.Incarnation});
  Recoveries.setNodes(live, now);
  Recoveries.tick(now);
}

void OwnedCells::requestReports() {
  for (auto &runner : all())
    runner->requestReports();
}

std::shared_ptr<CellRunner> OwnedCells::find(const std::string &cell) const {
  std::lock_guard lock(Mutex);
  auto it = Runners.find(cell);
  return it == Runners.end() ? nullptr : it->second;
}

std::vector<std::shared_ptr<CellRunner>> OwnedCells::all() const {
  std::lock_guard lock(Mutex);
  std::vector<std::shared_ptr<CellRunner>> out;
  for (const auto &[cell, runner] : Runners)
    out.push_back(runner);
  return out;
}

bool OwnedCells::registerRequest(const RegisteredRequest &request) {
  return Running.add(request);
}

void OwnedCells::unregisterRequest(const RegisteredRequest &request) {
  Running.remove(request.Cell, request.Id);
  Links->onRequestEnded(request.Cell, request.Id);
}

void OwnedCells::serveRecovery(const std::shared_ptr<PeerStream> &stream) {
  Links->serve(stream);
}

} // namespace hemlockglade
