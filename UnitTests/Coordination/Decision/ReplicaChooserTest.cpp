#include "UnitTests/Coordination/Decision/CoreProbe.h"

#include <catch2/catch.hpp>

using namespace hemlockglade;
using namespace hemlockglade::test;
using namespace std::chrono_literals;

namespace {

/// Adapter 7 on two replicas: 1 with capacity 8, 2 with capacity 2.
CoreProbe twoHolders(const RoutingSettings &routing) {
  CellCoreSettings settings;
  settings.Routing = routing;
  return CoreProbe(settings);
}

void setUp(CoreProbe &core) {
  core.send(ReplicaAdded{1, 1, 2, 16, false, 2});
  core.send(ReplicaAdded{2, 2, 2, 16, false, 8});
  core.place(7, 1);
  core.place(7, 2);
}

/// Where one more request of the adapter goes.
std::string next(CoreProbe &core, std::uint64_t prefix = 0,
                 std::uint32_t tokens = 0) {
  RequestArrived event{500, 7, 1, core.Now + 10s, prefix, tokens};
  auto done = core.send(event);
  return done.substr(done.find('@'));
}

} // namespace

TEST_CASE("each idea of the routing decides, and can be turned off",
          "[routing]") {
  bool on = GENERATE(true, false);
  RoutingSettings routing;
  SECTION("in flight per capacity") {
    routing.PerCapacity = on;
    auto core = twoHolders(routing);
    setUp(core);
    std::map<char, int> placed;
    for (RequestKey it = 1; it <= 10; ++it)
      ++placed[core.arrive(it, 7).back()];
    CHECK(placed['2'] == (on ? 8 : 5));
    return;
  }
  SECTION("prefix affinity within the bound") {
    routing.PrefixAffinity = on;
    auto core = twoHolders(routing);
    setUp(core);
    core.send(ReplicaDraining{2});
    next(core, 77, 2000);
    core.finish(500);
    core.send(ReplicaDraining{2, false});
    core.Now += 1s;
    RequestArrived event{501, 7, 1, core.Now + 10s, 77, 2000};
    CHECK(core.send(event) == (on ? "admit 501@1" : "admit 501@2"));
    return;
  }
  SECTION("ties go to the larger capacity") {
    routing.TiesToCapacity = on;
    auto core = twoHolders(routing);
    setUp(core);
    CHECK(next(core) == (on ? "@2" : "@1"));
    return;
  }
  SECTION("an engine that started cold counts less") {
    routing.DerateCold = on;
    auto core = twoHolders(routing);
    core.send(ReplicaAdded{1, 1, 2, 16, false, 8});
    core.send(ReplicaAdded{2, 2, 2, 16, false, 8});
    core.place(7, 1);
    core.place(7, 2);
    core.report(1, 1, {{7, 0}});
    core.Now += 1s;
    core.report(1, 2, {{7, 0}});
    std::string places;
    for (RequestKey it = 1; it <= 6; ++it)
      places += core.arrive(it, 7).back();
    CHECK(places == (on ? "212212" : "121212"));
    return;
  }
  SECTION("reports show what our books don't") {
    routing.CorrectReports = on;
    auto core = twoHolders(routing);
    setUp(core);
    core.report(2, 1, {{7, 3}}, 0s, 3);
    CHECK(next(core) == (on ? "@1" : "@2"));
    return;
  }
}

TEST_CASE("prefix affinity ends at a bound that grows with the prompt",
          "[routing]") {
  auto [busy, tokens, place] = GENERATE(table<int, std::uint32_t, std::string>(
      {{0, 2000, "@1"}, {4, 2000, "@1"}, {5, 2000, "@2"}, {4, 500, "@2"}}));
  CoreProbe core;
  core.send(ReplicaAdded{1, 1, 2, 16, false, 16});
  core.send(ReplicaAdded{2, 2, 2, 16, false, 16});
  core.place(7, 1);
  core.place(7, 2);
  core.send(ReplicaDraining{2});
  next(core, 77, tokens);
  core.finish(500);
  for (int it = 0; it < busy; ++it)
    core.arrive(static_cast<RequestKey>(it) + 1, 7);
  core.send(ReplicaDraining{2, false});
  RequestArrived event{501, 7, 1, core.Now + 10s, 77, tokens};
  CHECK(core.send(event) == "admit 501" + place);
}

TEST_CASE("drained, silent and restarted replicas get no new work",
          "[routing]") {
  CoreProbe core;
  setUp(core);
  std::string done = "@1";
  SECTION("drained") { core.send(ReplicaDraining{2}); }
  SECTION("one report missed") { core.send(ReplicaSilent{2}); }
  SECTION("removed") { core.send(ReplicaRemoved{2}); }
  SECTION("restarted empty") {
    core.report(2, 1, {{7, 0}});
    core.Now += 1s;
    core.report(2, 2, {});
  }
  SECTION("all silent for one report: it still serves") {
    core.send(ReplicaSilent{1});
    core.send(ReplicaSilent{2});
    done = "@2";
  }
  SECTION("a report from before the last says nothing") {
    core.report(2, 1, {{7, 0}});
    core.report(2, 5, {}, 3s);
    done = "@2";
  }
  CHECK(next(core) == done);
}

TEST_CASE("objective 1 lets replicas rest and wakes them for need",
          "[routing]") {
  auto [objective, first, rest] =
      GENERATE(table<double, std::string, std::string>(
          {{0, "admit 1@2", "1212"}, {1, "admit 1@1", "111"}}));
  CellCoreSettings settings;
  settings.Objective = objective;
  CoreProbe core(settings);
  core.send(ReplicaAdded{1, 1, 2, 4});
  core.send(ReplicaAdded{2, 2, 2, 4, false, 6});
  core.place(7, 1);
  core.place(7, 2);
  core.pass(60s);
  CHECK(core.arrive(1, 7) == first);
  std::string places;
  for (RequestKey it = 2; it <= 8; ++it) {
    auto done = core.arrive(it, 7);
    if (done.starts_with("admit"))
      places += done.back();
  }
  CHECK(places.starts_with(rest));
  // What waits by then wakes the other one.
  auto later = core.pass(10s);
  CHECK((objective == 0 || later.find("@2") != std::string::npos));
}

TEST_CASE("a replica that rests is woken for what may run nowhere else",
          "[routing]") {
  CellCoreSettings settings;
  settings.Objective = 1;
  CoreProbe core(settings);
  core.replicas(3, 2, 4);
  core.pass(60s);
  core.send(RuleChanged{7, {3}});
  CHECK(core.arrive(1, 7) == "load 7@3");
  CHECK(core.send(ReplicaRemoved{1}).empty());
  CHECK(core.arrive(2, 8).find("refuse") == std::string::npos);
}

TEST_CASE("a changed objective lets replicas rest and wakes them",
          "[routing]") {
  CoreProbe core;
  core.send(ReplicaAdded{1, 1, 2, 4});
  core.send(ReplicaAdded{2, 2, 2, 4, false, 6});
  core.place(7, 1);
  core.place(7, 2);
  core.send(ObjectiveChanged{1});
  core.pass(60s);
  CHECK(core.arrive(1, 7) == "admit 1@1");
  core.send(ObjectiveChanged{0});
  core.pass(1s);
  CHECK(core.arrive(2, 7) == "admit 2@2");
}

TEST_CASE("the objective gives the part of the spare replicas that rests",
          "[routing]") {
  auto [objective, places] = GENERATE(
      table<double, int>({{0, 20}, {0.25, 16}, {0.5, 12}, {0.75, 8}, {1, 4}}));
  CellCoreSettings settings;
  settings.Objective = objective;
  CoreProbe core(settings);
  core.replicas(5, 2, 4);
  for (ReplicaKey it = 1; it <= 5; ++it)
    core.place(7, it);
  core.pass(120s);
  int admitted = 0;
  for (RequestKey it = 1; it <= 20; ++it)
    admitted += core.arrive(it, 7).starts_with("admit");
  CHECK(admitted == places);
}
