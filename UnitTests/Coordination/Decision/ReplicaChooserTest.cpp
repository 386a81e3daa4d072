#include "UnitTests/Coordination/Decision/CoreDriver.h"

#include <catch2/catch.hpp>

using namespace hemlockglade;
using namespace hemlockglade::test;
using namespace std::chrono_literals;

namespace {

/// Returns a core with these routing settings.
CoreDriver coreWith(const RoutingSettings &routing) {
  CellCoreSettings settings;
  settings.Routing = routing;
  return CoreDriver(settings);
}

/// Loads adapter 7 on two replicas: 1 with capacity 2, 2 with capacity 8.
void addTwoReplicas(CoreDriver &core) {
  core.send(ReplicaAdded{1, 1, 2, 16, false, 2});
  core.send(ReplicaAdded{2, 2, 2, 16, false, 8});
  core.loadByOperator(7, 1);
  core.loadByOperator(7, 2);
}

/// Sends one more request of the adapter and returns the replica it is admitted
/// to.
std::string admitNext(CoreDriver &core, std::uint64_t prefix = 0,
                      std::uint32_t tokens = 0) {
  RequestArrived event{500, 7, 1, core.Now + 10s, prefix, tokens};
  auto actions = core.send(event);
  return actions.substr(actions.find('@'));
}

} // namespace

TEST_CASE("each routing criterion takes effect and can be disabled",
          "[routing]") {
  bool isEnabled = GENERATE(true, false);
  RoutingSettings routing;
  SECTION("requests in flight per capacity") {
    routing.PerCapacity = isEnabled;
    auto core = coreWith(routing);
    addTwoReplicas(core);
    std::map<char, int> placed;
    for (RequestKey it = 1; it <= 10; ++it)
      ++placed[core.arrive(it, 7).back()];
    CHECK(placed['2'] == (isEnabled ? 8 : 5));
    return;
  }
  SECTION("prefix affinity within the bound") {
    routing.PrefixAffinity = isEnabled;
    auto core = coreWith(routing);
    addTwoReplicas(core);
    core.send(ReplicaDraining{2});
    admitNext(core, 77, 2000);
    core.finish(500);
    core.send(ReplicaDraining{2, false});
    core.Now += 1s;
    RequestArrived event{501, 7, 1, core.Now + 10s, 77, 2000};
    CHECK(core.send(event) == (isEnabled ? "admit 501@1" : "admit 501@2"));
    return;
  }
  SECTION("equal loads go to the larger capacity") {
    routing.TiesToCapacity = isEnabled;
    auto core = coreWith(routing);
    addTwoReplicas(core);
    CHECK(admitNext(core) == (isEnabled ? "@2" : "@1"));
    return;
  }
  SECTION("an engine that started cold has a reduced capacity") {
    routing.DerateCold = isEnabled;
    auto core = coreWith(routing);
    core.send(ReplicaAdded{1, 1, 2, 16, false, 8});
    core.send(ReplicaAdded{2, 2, 2, 16, false, 8});
    core.loadByOperator(7, 1);
    core.loadByOperator(7, 2);
    core.report(1, 1, {{7, 0}});
    core.Now += 1s;
    core.report(1, 2, {{7, 0}});
    std::string places;
    for (RequestKey it = 1; it <= 6; ++it)
      places += core.arrive(it, 7).back();
    CHECK(places == (isEnabled ? "212212" : "121212"));
    return;
  }
  SECTION("requests that only reports show are counted") {
    routing.CountUntracked = isEnabled;
    auto core = coreWith(routing);
    addTwoReplicas(core);
    core.report(2, 1, {{7, 3}}, 0s, 3);
    CHECK(admitNext(core) == (isEnabled ? "@1" : "@2"));
    return;
  }
}

TEST_CASE(
    "prefix affinity applies up to a load bound that grows with the prompt",
    "[routing]") {
  auto [running, tokens, loadByOperator] =
      GENERATE(table<int, std::uint32_t, std::string>(
          {{0, 2000, "@1"}, {4, 2000, "@1"}, {5, 2000, "@2"}, {4, 500, "@2"}}));
  CoreDriver core;
  core.send(ReplicaAdded{1, 1, 2, 16, false, 16});
  core.send(ReplicaAdded{2, 2, 2, 16, false, 16});
  core.loadByOperator(7, 1);
  core.loadByOperator(7, 2);
  core.send(ReplicaDraining{2});
  admitNext(core, 77, tokens);
  core.finish(500);
  for (int it = 0; it < running; ++it)
    core.arrive(static_cast<RequestKey>(it) + 1, 7);
  core.send(ReplicaDraining{2, false});
  RequestArrived event{501, 7, 1, core.Now + 10s, 77, tokens};
  CHECK(core.send(event) == "admit 501" + loadByOperator);
}

TEST_CASE("unavailable and restarted replicas get no new work", "[routing]") {
  CoreDriver core;
  addTwoReplicas(core);
  std::string expected = "@1";
  SECTION("drained") { core.send(ReplicaDraining{2}); }
  SECTION("one report missed") { core.send(ReplicaReportMissed{2}); }
  SECTION("removed") { core.send(ReplicaRemoved{2}); }
  SECTION("restarted empty") {
    core.report(2, 1, {{7, 0}});
    core.Now += 1s;
    core.report(2, 2, {});
  }
  SECTION("one report missed on all replicas: they still serve") {
    core.send(ReplicaReportMissed{1});
    core.send(ReplicaReportMissed{2});
    expected = "@2";
  }
  SECTION("a report older than the last one is ignored") {
    core.report(2, 1, {{7, 0}});
    core.report(2, 5, {}, 3s);
    expected = "@2";
  }
  CHECK(admitNext(core) == expected);
}

TEST_CASE("objective 1 puts replicas on standby and activates them when needed",
          "[routing]") {
  auto [objective, firstAdmission, expectedPlaces] =
      GENERATE(table<double, std::string, std::string>(
          {{0, "admit 1@2", "1212"}, {1, "admit 1@1", "111"}}));
  CellCoreSettings settings;
  settings.Objective = objective;
  CoreDriver core(settings);
  core.send(ReplicaAdded{1, 1, 2, 4});
  core.send(ReplicaAdded{2, 2, 2, 4, false, 6});
  core.loadByOperator(7, 1);
  core.loadByOperator(7, 2);
  core.advance(60s);
  CHECK(core.arrive(1, 7) == firstAdmission);
  std::string places;
  for (RequestKey it = 2; it <= 8; ++it) {
    auto actions = core.arrive(it, 7);
    if (actions.starts_with("admit"))
      places += actions.back();
  }
  CHECK(places.starts_with(expectedPlaces));
  // Waiting requests activate the other replica.
  auto laterActions = core.advance(10s);
  CHECK((objective == 0 || laterActions.find("@2") != std::string::npos));
}

TEST_CASE("a replica on standby is activated for work that no other may run",
          "[routing]") {
  CellCoreSettings settings;
  settings.Objective = 1;
  CoreDriver core(settings);
  core.replicas(3, 2, 4);
  core.advance(60s);
  core.send(RuleChanged{7, {3}});
  CHECK(core.arrive(1, 7) == "load 7@3");
  CHECK(core.send(ReplicaRemoved{1}).empty());
  CHECK(core.arrive(2, 8).find("refuse") == std::string::npos);
}

TEST_CASE("a changed objective puts replicas on standby and activates them",
          "[routing]") {
  CoreDriver core;
  core.send(ReplicaAdded{1, 1, 2, 4});
  core.send(ReplicaAdded{2, 2, 2, 4, false, 6});
  core.loadByOperator(7, 1);
  core.loadByOperator(7, 2);
  core.send(ObjectiveChanged{1});
  core.advance(60s);
  CHECK(core.arrive(1, 7) == "admit 1@1");
  core.send(ObjectiveChanged{0});
  core.advance(1s);
  CHECK(core.arrive(2, 7) == "admit 2@2");
}

TEST_CASE("the objective is the fraction of spare replicas on standby",
          "[routing]") {
  auto [objective, places] = GENERATE(
      table<double, int>({{0, 20}, {0.25, 16}, {0.5, 12}, {0.75, 8}, {1, 4}}));
  CellCoreSettings settings;
  settings.Objective = objective;
  CoreDriver core(settings);
  core.replicas(5, 2, 4);
  for (ReplicaKey it = 1; it <= 5; ++it)
    core.loadByOperator(7, it);
  core.advance(120s);
  int admitted = 0;
  for (RequestKey it = 1; it <= 20; ++it)
    admitted += core.arrive(it, 7).starts_with("admit");
  CHECK(admitted == places);
}
