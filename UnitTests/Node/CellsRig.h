#pragma once

#include "Programs/hemlockgladed/Admission.h"
#include "Programs/hemlockgladed/OwnedCells.h"
#include "UnitTests/Node/ScriptedEndpoint.h"

namespace hemlockglade::test {

/// An engine that carries out every order, with its loaded adapters.
struct FakeEngine : ScriptedEndpoint {
  explicit FakeEngine(asio::io_context &context) : ScriptedEndpoint(context) {
    OnRequest = [this](const std::string &request) { return respond(request); };
  }
  std::set<std::string> Loaded;
  std::string Incarnation = "i1";

  /// Returns the orders of that kind, `load` or `unload`, with their heads.
  std::vector<std::string> orders(const std::string &kind) const {
    std::vector<std::string> out;
    for (const auto &it : Requests) {
      if (it.starts_with("POST /v1/" + kind + "_lora"))
        out.push_back(it);
    }
    return out;
  }

private:
  ScriptedAnswer respond(const std::string &request) {
    auto body = request.substr(request.find("\r\n\r\n") + 4);
    if (auto order = engine_format::readOrder(body)) {
      if (request.starts_with("POST /v1/load"))
        Loaded.insert(*order);
      else
        Loaded.erase(*order);
      return answerOf(200, "{}");
    }
    EngineReport report;
    report.Incarnation = Incarnation;
    for (const auto &it : Loaded)
      report.Resident.emplace_back(it, 0);
    return answerOf(200, engine_format::reportBody(report));
  }
};

/// What the nodes of a test share: the configuration, the list of nodes, the
/// engines and the timers.
struct CellsRig : Loopback {
  Catalog Wanted;
  std::shared_ptr<const CatalogView> InForce;
  std::vector<NodeRecord> Nodes;
  std::vector<std::function<void()>> Timers;
  FakeEngine Engine{Context};
  FakeEngine Other{Context};
  HttpClient Client{Context};
  EngineClient Engines{Client};

  CellsRig() {
    Wanted.Services["assistant"].Name = "assistant";
    Wanted.Services["plain"].Name = "plain";
    Wanted.Services["plain"].Kind = ServiceKind::Plain;
    addReplica("e1", Engine);
    for (const auto *name : {"a", "b", "c"})
      Wanted.Adapters[name] = {name, "assistant", 1, {1, 2}};
    commit();
  }

  ReplicaConfig &addReplica(const std::string &name, const FakeEngine &engine,
                            const std::string &service = "assistant") {
    auto &it = Wanted.Replicas[name];
    it.Name = name;
    it.Service = service;
    it.Address = engine.address();
    it.FailureDomain = "zone-" + name;
    it.Slots = 1;
    return it;
  }
  /// Puts the wanted catalog in force as the next revision.
  void commit() {
    ++Wanted.Number;
    InForce = std::make_shared<CatalogView>(CatalogView::of(Wanted));
  }
  /// Runs all timers that are set now.
  void fire() {
    for (auto &call : std::exchange(Timers, {}))
      call();
  }
  static AdmitRequest request(const std::string &id,
                              const std::string &adapter) {
    AdmitRequest out;
    out.Id = id;
    out.Cell = adapter.empty() ? "plain/0" : "assistant/0";
    out.Adapter = adapter;
    out.DeadlineUs = 30000000;
    return out;
  }
};

/// The parts of one node that own cells and admit requests to them.
struct CellNode {
  CellNode(CellsRig &rig, const std::string &name,
           const RecoverySettings &recovery = {})
      : Rig(rig), Name(name), Cells(name, recovery, rig.Engines, hooks()),
        Admissions([this](const std::string &cell) { return Cells.find(cell); },
                   [this](const std::string &) { return Owner; }),
        Net(rig.Context, "127.0.0.1", 0,
            [this](std::shared_ptr<PeerStream> stream) { accept(stream); }) {
    Record.Name = name;
    Record.Incarnation = name + "-1";
    Record.PeerAddress = Loopback::address(Net.port());
    Cells.attach(Net);
    Admissions.attach(Net);
    rig.Nodes.push_back(Record);
  }
  ~CellNode() {
    Net.close();
    Rig.settle();
  }

  CellsRig &Rig;
  std::string Name;
  NodeRecord Record;
  /// Owner of all cells, as this node knows it.
  std::optional<NodeRecord> Owner;
  LeaseMode Mode = LeaseMode::Held;
  /// Answer to the lease check right before an order, and the number of checks.
  bool Holds = true;
  int HoldsChecks = 0;
  /// Whether until() requests the reports of engines periodically.
  bool Reports = true;
  std::vector<std::shared_ptr<PeerStream>> Streams;
  OwnedCells Cells;
  Admission Admissions;
  PeerNet Net;

  std::shared_ptr<CellRunner> own(Epoch fence,
                                  const std::string &cell = "assistant/0") {
    Cells.addCell(cell, fence, std::nullopt);
    return Cells.find(cell);
  }
  /// Runs the node's periodic work until the condition holds.
  bool until(const std::function<bool()> &condition) {
    return Rig.until([&] {
      Cells.tickRecoveries(TimerService::now());
      Cells.tick();
      if (Reports && ++Rounds % RoundsPerReport == 0)
        Cells.requestReports();
      postHandler();
      return condition();
    });
  }
  /// Requests admission of one request and waits for the answer.
  std::pair<AdmitReply, std::shared_ptr<AdmissionTicket>>
  admit(const AdmitRequest &request) {
    auto reply = std::make_shared<std::optional<AdmitReply>>();
    auto ticket = Admissions.admit(
        request, [reply](const AdmitReply &it) { *reply = it; });
    REQUIRE(until([&] { return reply->has_value(); }));
    return {**reply, ticket};
  }

private:
  static constexpr int RoundsPerReport = 64;
  int Rounds = 0;
  // At most one posted handler at a time, or their number would only grow.
  std::shared_ptr<bool> HandlerPosted = std::make_shared<bool>(false);

  /// Posts a handler, so that the event loop runs while nothing else is ready.
  void postHandler() {
    if (!std::exchange(*HandlerPosted, true))
      asio::post(Rig.Context, [posted = HandlerPosted] { *posted = false; });
  }
  void accept(const std::shared_ptr<PeerStream> &stream) {
    Streams.push_back(stream);
    if (stream->path() == peer_path::Admit)
      return Admissions.serve(stream);
    Cells.serveRecovery(stream);
  }
  OwnedCellsHooks hooks() {
    OwnedCellsHooks hooks;
    hooks.InForce = [this] { return Rig.InForce; };
    hooks.Nodes = [this] { return Rig.Nodes; };
    hooks.Holds = [this](const std::string &) {
      ++HoldsChecks;
      return Holds;
    };
    hooks.Mode = [this](const std::string &) { return Mode; };
    hooks.Post = [this](std::function<void()> call) {
      asio::post(Rig.Context, std::move(call));
    };
    hooks.After = [this](Span, std::function<void()> call) {
      Rig.Timers.push_back(std::move(call));
    };
    hooks.LoadsPerSecond = 1000;
    return hooks;
  }
};

} // namespace hemlockglade::test
