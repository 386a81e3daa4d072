#include "CellsRig.h"

using namespace hemlockglade;
using namespace hemlockglade::test;

namespace {

constexpr const char *Cell = "assistant/0";

bool hasFence(const std::string &order, Epoch fence) {
  return order.find("X-Fencing-Epoch: " + std::to_string(fence) + "\r\n") !=
         std::string::npos;
}

/// One node that owns a cell.
struct Owner : CellsRig {
  CellNode Node{*this, "owner"};
  std::shared_ptr<CellRunner> Runner;
  std::vector<std::shared_ptr<AdmissionTicket>> Tickets;

  explicit Owner(Epoch fence = 7, const std::string &cell = Cell) {
    Runner = Node.own(fence, cell);
    REQUIRE(
        Node.until([&] { return Node.Cells.modeOf(cell) == LeaseMode::Held; }));
  }
  void configure() {
    commit();
    Node.Cells.configure(*InForce);
  }
  /// Requests admission and returns the answer; the slot stays taken.
  AdmitReply admit(const std::string &adapter) {
    auto [reply, ticket] =
        Node.admit(request("r" + std::to_string(Tickets.size()), adapter));
    Tickets.push_back(ticket);
    return reply;
  }
  /// Requests admission without waiting; the answer is stored in the result.
  std::shared_ptr<std::optional<AdmitReply>>
  startAdmit(const std::string &adapter) {
    auto reply = std::make_shared<std::optional<AdmitReply>>();
    Tickets.push_back(Node.Admissions.admit(
        request("r" + std::to_string(Tickets.size()), adapter),
        [reply](const AdmitReply &it) { *reply = it; }));
    return reply;
  }
};

} // namespace

TEST_CASE("load orders and grants carry the fencing epoch", "[runner]") {
  Owner owner(7);
  CHECK(owner.admit("a@1").Fence == 7);
  REQUIRE(owner.Engine.orders("load").size() == 1);
  CHECK(hasFence(owner.Engine.orders("load")[0], 7));
}

TEST_CASE("no eviction is sent after the lease has lapsed", "[runner]") {
  for (bool lapsed : {true, false}) {
    CAPTURE(lapsed);
    Owner owner;
    owner.admit("a@1");
    owner.Tickets.clear();
    // The mode is still Held, but the lease itself has lapsed.
    owner.Node.Holds = !lapsed;
    auto reply = owner.startAdmit("b@1");
    REQUIRE(owner.Node.until([&] { return owner.Node.HoldsChecks > 0; }));
    if (!lapsed)
      REQUIRE(owner.Node.until(
          [&] { return !owner.Engine.orders("unload").empty(); }));
    owner.settle();
    CHECK(owner.Engine.orders("unload").empty() == lapsed);
    CHECK(owner.Engine.Loaded.contains("a@1") == lapsed);
    if (!lapsed)
      CHECK(hasFence(owner.Engine.orders("unload")[0], 7));
  }
}

TEST_CASE(
    "nothing is evicted while it runs, nor while the lease is doubtful or "
    "recovering",
    "[runner]") {
  for (auto mode : {LeaseMode::Doubtful, LeaseMode::Recovering}) {
    Owner owner;
    owner.admit("a@1");
    auto reply = owner.startAdmit("b@1");
    owner.Node.until([&] { return owner.Runner->waiting() == 1; });
    owner.settle();
    CHECK(owner.Engine.orders("unload").empty());
    owner.Node.Mode = mode;
    owner.Tickets.front()->finish(Outcome::Complete);
    REQUIRE(owner.Node.until([&] { return owner.Runner->running() == 0; }));
    owner.settle();
    CHECK(owner.Engine.orders("unload").empty());
  }
}

TEST_CASE("a request that was not run makes the owner request a report",
          "[runner]") {
  for (auto outcome : {Outcome::NotRun, Outcome::Complete}) {
    Owner owner;
    owner.admit("a@1");
    owner.settle();
    auto before = owner.Engine.count("GET /load");
    // The engine has restarted and has no adapters loaded.
    owner.Engine.Loaded.clear();
    owner.Engine.Incarnation = "i2";
    owner.Tickets.front()->finish(outcome);
    owner.settle(6);
    bool reported = owner.Engine.count("GET /load") > before;
    CHECK(reported == (outcome == Outcome::NotRun));
    // With the new report the adapter is loaded again before the next request
    // is admitted.
    auto loads = owner.Engine.orders("load").size();
    auto reply = owner.admit("a@1");
    CHECK((owner.Engine.orders("load").size() > loads) == reported);
  }
}

TEST_CASE("a report from before a load does not undo it", "[runner]") {
  Owner owner;
  owner.Node.Reports = false;
  owner.settle(6);
  // The engine builds the report before the load, and it arrives after it.
  auto respond = owner.Engine.OnRequest;
  std::string late;
  owner.Engine.OnRequest = [&](const std::string &request) {
    if (!request.starts_with("GET /load"))
      return respond(request);
    late = respond(request).Bytes;
    return ScriptedAnswer{};
  };
  owner.Node.Cells.requestReports();
  REQUIRE(owner.until([&] { return !late.empty(); }));
  auto session = owner.Engine.last();
  owner.admit("a@1");
  owner.Tickets.clear();
  owner.Engine.send({late}, session);
  owner.settle(6);
  owner.admit("a@1");
  CHECK(owner.Engine.orders("load").size() == 1);
}

TEST_CASE("a leaving or drained replica gets no new requests", "[runner]") {
  for (bool leaving : {true, false}) {
    CAPTURE(leaving);
    Owner owner;
    owner.addReplica("e2", owner.Other).Slots = 4;
    owner.Wanted.Replicas["e1"].Slots = 4;
    owner.configure();
    auto first = owner.admit("a@1").Replica;
    owner.Tickets.clear();
    auto set = [&](bool on) {
      if (leaving)
        return owner.Node.Cells.setLeaving(on ? std::vector<std::string>{first}
                                              : std::vector<std::string>{});
      owner.Wanted.Drained.clear();
      if (on)
        owner.Wanted.Drained[first] = true;
      owner.configure();
    };
    set(true);
    for (const auto *adapter : {"a@1", "a@1", "b@1"})
      CHECK(owner.admit(adapter).Replica != first);
    owner.Tickets.clear();
    // No longer draining: it is used once the other one is removed.
    set(false);
    owner.Wanted.Replicas.erase(first == "e1" ? "e2" : "e1");
    owner.configure();
    CHECK(owner.admit("a@1").Replica == first);
  }
}

TEST_CASE("a drained replica that is declared again is still drained",
          "[runner]") {
  Owner owner;
  owner.addReplica("e2", owner.Other);
  owner.Wanted.Drained["e1"] = true;
  owner.configure();
  owner.Wanted.Replicas.erase("e1");
  owner.configure();
  owner.addReplica("e1", owner.Engine);
  owner.configure();
  CHECK(owner.admit("a@1").Replica == "e2");
}

TEST_CASE("a replica that moves to another service is removed from its cell",
          "[runner]") {
  Owner owner;
  REQUIRE(owner.admit("a@1").Granted);
  owner.Wanted.Services["second"].Name = "second";
  owner.Wanted.Replicas["e1"].Service = "second";
  owner.configure();
  auto reply = owner.admit("a@1");
  CHECK_FALSE(reply.Granted);
  CHECK(reply.Reason == "no-replica");
}

TEST_CASE("pins and placement rules of the configuration are applied",
          "[runner]") {
  Owner owner;
  owner.addReplica("e2", owner.Other).Slots = 4;
  owner.Wanted.Replicas["e1"].Slots = 4;
  owner.configure();
  owner.Wanted.Rules = {{"b", {"zone-e2"}}, {"*", {"zone-e1"}}};
  owner.configure();
  CHECK(owner.admit("b@1").Replica == "e2");
  CHECK(owner.admit("a@1").Replica == "e1");
  owner.Tickets.clear();
  // A pin loads its adapter in its failure domain without a request.
  owner.Wanted.Rules.clear();
  PinConfig pin{{"c", 1}, "zone-e2", 1};
  owner.Wanted.Pins[pinName(pin)] = pin;
  CHECK_FALSE(owner.Other.Loaded.contains("c@1"));
  owner.configure();
  CHECK(owner.Node.until([&] { return owner.Other.Loaded.contains("c@1"); }));
}

TEST_CASE("an operator's load goes to the given replica", "[runner]") {
  Owner owner;
  owner.addReplica("e2", owner.Other);
  owner.configure();
  CHECK_FALSE(owner.Runner->orderLoad("b@1", "e9"));
  CHECK(owner.Runner->orderLoad("b@1", "e2"));
  CHECK(owner.Node.until([&] { return owner.Other.Loaded.contains("b@1"); }));
  CHECK(owner.Engine.Loaded.empty());
}

TEST_CASE("a replica of a plain service that is down isn't chosen",
          "[runner]") {
  Owner owner(7, "plain/0");
  owner.addReplica("p1", owner.Engine, "plain");
  owner.addReplica("p2", owner.Other, "plain").Address =
      Loopback::address(owner.deadPort());
  owner.configure();
  // Before its first probe a replica counts as live.
  owner.Node.Cells.requestReports();
  owner.settle(8);
  for (int it = 0; it < 6; ++it) {
    owner.Node.Cells.requestReports();
    owner.settle(2);
    CHECK(owner.admit("").Replica == "p1");
  }
}

TEST_CASE("a lost cell refuses the waiting requests and sends no orders",
          "[runner]") {
  Owner owner;
  owner.admit("a@1");
  auto reply = owner.startAdmit("b@1");
  auto loads = owner.Engine.orders("load").size();
  owner.Node.Cells.removeCell(Cell);
  REQUIRE(owner.until([&] { return reply->has_value(); }));
  CHECK((*reply)->Reason == "not-owner");
  owner.Tickets.clear();
  owner.Runner->tick();
  owner.settle();
  CHECK(owner.Engine.orders("load").size() == loads);
  CHECK(owner.Engine.orders("unload").empty());
}
