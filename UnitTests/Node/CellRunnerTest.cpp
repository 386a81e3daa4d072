#include "CellsRig.h"

using namespace hemlockglade;
using namespace hemlockglade::test;

namespace {

constexpr const char *Cell = "assistant/0";

bool hasFence(const std::string &order, Epoch fence) {
  return order.find("X-Fencing-Epoch: " + std::to_string(fence) + "\r\n") !=
         std::string::npos;
}

/// One node that owns the cell of the engines.
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
  /// The answer to a new request, whose slot stays taken.
  AdmitReply admit(const std::string &adapter) {
    auto [reply, ticket] =
        Node.admit(request("r" + std::to_string(Tickets.size()), adapter));
    Tickets.push_back(ticket);
    return reply;
  }
  /// A request that isn't waited for.
  std::shared_ptr<std::optional<AdmitReply>> ask(const std::string &adapter) {
    auto reply = std::make_shared<std::optional<AdmitReply>>();
    Tickets.push_back(
        Node.Asker.ask(request("r" + std::to_string(Tickets.size()), adapter),
                       [reply](const AdmitReply &it) { *reply = it; }));
    return reply;
  }
};

} // namespace

TEST_CASE("orders to load carry the epoch, and a grant does too", "[runner]") {
  Owner owner(7);
  CHECK(owner.admit("a@1").Fence == 7);
  REQUIRE(owner.Engine.orders("load").size() == 1);
  CHECK(hasFence(owner.Engine.orders("load")[0], 7));
}

TEST_CASE("no order to evict leaves without the lease", "[runner]") {
  for (bool looked : {true, false}) {
    CAPTURE(looked);
    Owner owner;
    owner.admit("a@1");
    owner.Tickets.clear();
    // The mode still says held; the lease itself has lapsed since.
    owner.Node.Holds = !looked;
    auto reply = owner.ask("b@1");
    REQUIRE(owner.Node.until([&] { return owner.Node.HoldsAsked > 0; }));
    if (!looked)
      REQUIRE(owner.Node.until(
          [&] { return !owner.Engine.orders("unload").empty(); }));
    owner.settle();
    CHECK(owner.Engine.orders("unload").empty() == looked);
    CHECK(owner.Engine.Loaded.contains("a@1") == looked);
    if (!looked)
      CHECK(hasFence(owner.Engine.orders("unload")[0], 7));
  }
}

TEST_CASE("what runs is never evicted, nor is anything in doubt", "[runner]") {
  for (auto mode : {LeaseMode::Doubtful, LeaseMode::Recovering}) {
    Owner owner;
    owner.admit("a@1");
    auto reply = owner.ask("b@1");
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

TEST_CASE("a request that was not run makes the owner ask for a report",
          "[runner]") {
  for (auto outcome : {Outcome::NotRun, Outcome::Complete}) {
    Owner owner;
    owner.admit("a@1");
    owner.settle();
    auto before = owner.Engine.count("GET /load");
    // The engine has started again and holds nothing.
    owner.Engine.Loaded.clear();
    owner.Engine.Incarnation = "i2";
    owner.Tickets.front()->finish(outcome);
    owner.settle(6);
    bool asked = owner.Engine.count("GET /load") > before;
    CHECK(asked == (outcome == Outcome::NotRun));
    // Known again, it is loaded before the next request is sent there.
    auto loads = owner.Engine.orders("load").size();
    auto reply = owner.admit("a@1");
    CHECK((owner.Engine.orders("load").size() > loads) == asked);
  }
}

TEST_CASE("a report that was overtaken by a load takes nothing back",
          "[runner]") {
  Owner owner;
  owner.Node.Reports = false;
  owner.settle(6);
  // The engine tells what it holds before the load, and is heard after it.
  auto obey = owner.Engine.OnRequest;
  std::string late;
  owner.Engine.OnRequest = [&](const std::string &request) {
    if (!request.starts_with("GET /load"))
      return obey(request);
    late = obey(request).Bytes;
    return Act{};
  };
  owner.Node.Cells.askReports();
  REQUIRE(owner.until([&] { return !late.empty(); }));
  auto session = owner.Engine.last();
  owner.admit("a@1");
  owner.Tickets.clear();
  owner.Engine.send({late}, session);
  owner.settle(6);
  owner.admit("a@1");
  CHECK(owner.Engine.orders("load").size() == 1);
}

TEST_CASE("a leaving or drained replica gets nothing new", "[runner]") {
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
    // Off again: with the other one away it is used.
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

TEST_CASE("a replica that moves to another service leaves its cell",
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

TEST_CASE("pins and rules of the configuration are kept", "[runner]") {
  Owner owner;
  owner.addReplica("e2", owner.Other).Slots = 4;
  owner.Wanted.Replicas["e1"].Slots = 4;
  owner.configure();
  owner.Wanted.Rules = {{"b", {"zone-e2"}}, {"*", {"zone-e1"}}};
  owner.configure();
  CHECK(owner.admit("b@1").Replica == "e2");
  CHECK(owner.admit("a@1").Replica == "e1");
  owner.Tickets.clear();
  // A pin loads without a request, where it says.
  owner.Wanted.Rules.clear();
  PinConfig pin{{"c", 1}, "zone-e2", 1};
  owner.Wanted.Pins[pinName(pin)] = pin;
  CHECK_FALSE(owner.Other.Loaded.contains("c@1"));
  owner.configure();
  CHECK(owner.Node.until([&] { return owner.Other.Loaded.contains("c@1"); }));
}

TEST_CASE("an operator's load goes where it says", "[runner]") {
  Owner owner;
  owner.addReplica("e2", owner.Other);
  owner.configure();
  CHECK_FALSE(owner.Runner->orderLoad("b@1", "e9"));
  CHECK(owner.Runner->orderLoad("b@1", "e2"));
  CHECK(owner.Node.until([&] { return owner.Other.Loaded.contains("b@1"); }));
  CHECK(owner.Engine.Loaded.empty());
}

TEST_CASE("a plain service that is down isn't chosen", "[runner]") {
  Owner owner(7, "plain/0");
  owner.addReplica("p1", owner.Engine, "plain");
  owner.addReplica("p2", owner.Other, "plain").Address =
      Loopback::address(owner.deadPort());
  owner.configure();
  // Before it was asked after, it counts as there.
  owner.Node.Cells.askReports();
  owner.settle(8);
  for (int it = 0; it < 6; ++it) {
    owner.Node.Cells.askReports();
    owner.settle(2);
    CHECK(owner.admit("").Replica == "p1");
  }
}

TEST_CASE("a cell that is lost refuses what waits and gives no orders",
          "[runner]") {
  Owner owner;
  owner.admit("a@1");
  auto reply = owner.ask("b@1");
  auto loads = owner.Engine.orders("load").size();
  owner.Node.Cells.lose(Cell);
  REQUIRE(owner.until([&] { return reply->has_value(); }));
  CHECK((*reply)->Reason == "not-owner");
  owner.Tickets.clear();
  owner.Runner->tick();
  owner.settle();
  CHECK(owner.Engine.orders("load").size() == loads);
  CHECK(owner.Engine.orders("unload").empty());
}
