#include "UnitTests/Coordination/Orders/PlacementWorld.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <rapidcheck.h>

namespace hemlockglade::test {

using std::chrono::milliseconds;

TEST_CASE("an adapter that several requests wait for is loaded once",
          "[desk]") {
  PlacementWorld world(3);
  world.runRounds(2);
  for (int it = 0; it < 5; ++it)
    world.Placement.onWaiting(Service, adapter(1), world.Now);
  world.runRounds(10);
  CHECK(world.copies(adapter(1)) == 1);
}

TEST_CASE("adapters that only a limited engine holds are loaded at another",
          "[desk]") {
  PlacementWorld world(3);
  world.runRounds(2);
  world.Placement.onWaiting(Service, adapter(1), world.Now);
  world.runRounds(10);
  REQUIRE(world.copies(adapter(1)) == 1);
  auto limited = world.holdersOf(adapter(1));
  world.Placement.setLimited(limited);
  world.Placement.onWaiting(Service, adapter(1), world.Now);
  world.runRounds(10);
  CHECK(world.copies(adapter(1)) == 2);
  SECTION("nothing else is loaded where all are limited") {
    for (const auto &[id, it] : world.Engines)
      limited.insert(id);
    world.Placement.setLimited(limited);
    world.Placement.onWaiting(Service, adapter(1), world.Now);
    world.runRounds(10);
    CHECK(world.copies(adapter(1)) == 2);
  }
}

TEST_CASE("an engine that asked for a pause gets no orders, and its adapters "
          "are loaded elsewhere",
          "[desk]") {
  PlacementWorld world(3);
  world.runRounds(2);
  world.Placement.onWaiting(Service, adapter(1), world.Now);
  world.runRounds(10);
  REQUIRE(world.copies(adapter(1)) == 1);
  auto paused = world.holdersOf(adapter(1));
  auto &engine = world.Engines[*paused.begin()];
  auto ordersBefore = engine.Count;
  world.Placement.setPaused(paused);
  world.Placement.setLimited(paused);
  for (int n = 1; n <= 3; ++n)
    world.Placement.onWaiting(Service, adapter(n), world.Now);
  world.runRounds(10);
  CHECK(world.copies(adapter(1)) == 2);
  CHECK(engine.Count == ordersBefore);
  SECTION("no report is requested from it") {
    world.Placement.onMissing(*paused.begin(), adapter(1), world.Now);
    for (const auto &it : world.Placement.plan(true, world.Now))
      CHECK_FALSE(paused.contains(it.Replica));
  }
}

TEST_CASE("an adapter is loaded once more for a request that must not use its "
          "only copy",
          "[desk][slow]") {
  PlacementWorld world(4);
  CellPlacement::Settings settings;
  settings.RankLoads = GENERATE(false, true);
  world.Placement = CellPlacement(settings);
  world.updateReplicas();
  world.runRounds(2);
  world.Placement.onWaiting(Service, adapter(1), world.Now);
  world.runRounds(10);
  REQUIRE(world.copies(adapter(1)) == 1);
  // The request goes on reporting while it waits for the load, which must not
  // bring it more than one copy.
  for (int it = 0; it < 10; ++it) {
    world.Placement.onWaiting(Service, adapter(1), world.Now, 1, 1);
    world.runRounds(4);
  }
  CHECK(world.copies(adapter(1)) == 2);
}

TEST_CASE("waiting requests get one copy even if a slot must be freed first",
          "[desk]") {
  PlacementWorld world(3, 1);
  world.runRounds(2);
  for (int n = 1; n <= 3; ++n)
    world.Placement.onWaiting(Service, adapter(n), world.Now);
  world.runRounds(20);
  world.Now += std::chrono::seconds(10);
  for (int it = 0; it < 5; ++it) {
    world.Placement.onWaiting(Service, adapter(9), world.Now);
    world.runRounds(1);
  }
  world.runRounds(10);
  CHECK(world.copies(adapter(9)) == 1);
  for (const auto &[id, engine] : world.Engines)
    CHECK_FALSE(engine.Crashed);
}

TEST_CASE("nothing is ordered without the right to order", "[desk]") {
  PlacementWorld world(2);
  world.Placement.onWaiting(Service, adapter(1), world.Now);
  CHECK(world.Placement.plan(false, world.Now).empty());
}

TEST_CASE("the adapter in least demand is dropped for a new one", "[desk]") {
  PlacementWorld world(1, 2);
  world.runRounds(2);
  world.Placement.onWaiting(Service, adapter(1), world.Now);
  world.Placement.onWaiting(Service, adapter(2), world.Now);
  world.runRounds(10);
  for (int it = 0; it < 20; ++it)
    world.Placement.onDemand(Service, adapter(1), 1, world.Now);
  world.Placement.onDemand(Service, adapter(2), 1, world.Now);
  world.Now += std::chrono::seconds(4);
  world.Placement.onWaiting(Service, adapter(3), world.Now);
  world.runRounds(10);
  CHECK(world.copies(adapter(1)) == 1);
  CHECK(world.copies(adapter(2)) == 0);
  CHECK(world.copies(adapter(3)) == 1);
}

TEST_CASE("an adapter is loaded again on the replica that dropped it",
          "[desk]") {
  PlacementWorld world(4, 1);
  world.runRounds(2);
  world.Placement.onWaiting(Service, adapter(1), world.Now);
  world.runRounds(10);
  std::string firstReplica;
  for (const auto &[id, it] : world.Engines)
    if (it.Held.contains(adapter(1)))
      firstReplica = id;
  REQUIRE_FALSE(firstReplica.empty());
  for (int n = 2; n <= 5; ++n) {
    world.Now += std::chrono::seconds(3);
    world.Placement.onWaiting(Service, adapter(n), world.Now);
    world.runRounds(10);
  }
  REQUIRE(world.copies(adapter(1)) == 0);
  world.Now += std::chrono::seconds(5);
  world.Placement.onWaiting(Service, adapter(1), world.Now);
  world.runRounds(10);
  CHECK(world.Engines[firstReplica].Held.contains(adapter(1)));
}

TEST_CASE("a newer version gets a copy beside the older one", "[desk]") {
  PlacementWorld world(2);
  world.runRounds(2);
  world.Placement.onWaiting(Service, adapter(1), world.Now);
  world.runRounds(10);
  world.Placement.setVersion(adapter(1), 7);
  // Few enough requests for one copy.
  world.Placement.onDemand(Service, adapter(1), 2, world.Now);
  world.Placement.onWaiting(Service, adapter(1), world.Now);
  world.runRounds(10);
  std::size_t newer = 0;
  for (const auto &[id, it] : world.Engines) {
    auto held = it.Held.find(adapter(1));
    newer += held != it.Held.end() && held->second == 7 ? 1 : 0;
  }
  CHECK(newer == 1);
}

TEST_CASE("a jump in demand gets its copies within a second", "[desk]") {
  PlacementWorld world(4);
  world.runRounds(2);
  world.Placement.onWaiting(Service, adapter(1), world.Now);
  // The rate jumps from none to fourteen requests a second.
  for (int it = 0; it < 14; ++it) {
    world.Placement.onDemand(Service, adapter(1), 1, world.Now);
    world.runRounds(1);
    world.Now += milliseconds(21);
  }
  CHECK(world.copies(adapter(1)) >= 3);
}

TEST_CASE("a short congestion does not put an adapter on all engines",
          "[desk]") {
  PlacementWorld world(6);
  world.runRounds(2);
  world.Placement.onWaiting(Service, adapter(1), world.Now);
  for (int it = 0; it < 30; ++it) {
    if (it % 15 == 0)
      world.Placement.onDemand(Service, adapter(1), 1, world.Now);
    world.Placement.onCongested(Service, adapter(1), world.Now);
    world.runRounds(1);
  }
  CHECK(world.copies(adapter(1)) == 1);
}

TEST_CASE("an adapter that no request waits for any more is not loaded",
          "[desk]") {
  PlacementWorld world(1, 2);
  world.runRounds(2);
  for (int it = 1; it <= 2; ++it)
    world.Placement.onWaiting(Service, adapter(it), world.Now);
  world.runRounds(4);
  // Both slots are in use, so that nothing can be loaded.
  for (int it = 1; it <= 2; ++it)
    world.Placement.onUse("i-0", adapter(it), 1);
  world.Placement.onWaiting(Service, adapter(3), world.Now);
  world.runRounds(20);
  for (int it = 1; it <= 2; ++it)
    world.Placement.onUse("i-0", adapter(it), -1);
  world.runRounds(10);
  CHECK(world.copies(adapter(3)) == 0);
  world.Placement.onWaiting(Service, adapter(3), world.Now);
  world.runRounds(10);
  CHECK(world.copies(adapter(3)) == 1);
}

TEST_CASE("loads in progress over all cells are limited", "[desk]") {
  PlacementWorld world(6, 20);
  world.runRounds(2);
  world.Placement.setLoadingElsewhere(6);
  for (int n = 0; n < 30; ++n)
    world.Placement.onWaiting(Service, adapter(n), world.Now);
  world.Now += milliseconds(50);
  world.runRound();
  std::size_t loads = 0;
  for (const auto &[id, it] : world.Engines)
    loads += it.LoadCount;
  CHECK(loads == 2);
}

TEST_CASE("a faster weight store allows more concurrent loads", "[desk]") {
  PlacementWorld world(24, 20, 40);
  world.runRounds(2);
  for (int n = 0; n < 200; ++n)
    world.Placement.onWaiting(Service, adapter(n), world.Now);
  world.runRounds(4);
  std::size_t loads = 0;
  for (const auto &[id, it] : world.Engines)
    loads += it.LoadCount;
  CHECK(loads == 96);
}

TEST_CASE(
    "an engine that does not answer an order is sent none during a backoff",
    "[desk]") {
  PlacementWorld world(2);
  world.runRounds(2);
  std::size_t orders = 0;
  world.Placement.onWaiting(Service, adapter(1), world.Now);
  constexpr int Rounds = 500;
  for (int it = 0; it < Rounds; ++it) {
    world.Now += milliseconds(2);
    world.Placement.onWaiting(Service, adapter(1), world.Now);
    orders += world.runRound([] { return 2; });
  }
  // Two engines in one second, with backoffs of 40, 80, 160, 320 and 640 ms.
  CHECK(orders >= 6);
  CHECK(orders <= 12);
}

namespace {

EngineOrder orderFor(OrderKind kind, const WeightsRef &weights) {
  EngineOrder out;
  out.Kind = kind;
  out.Weights = weights;
  return out;
}

std::size_t reportCount(const std::vector<PlacementAction> &actions) {
  return static_cast<std::size_t>(
      std::count_if(actions.begin(), actions.end(), [](const auto &it) {
        return it.Type == PlacementAction::Kind::Report;
      }));
}

} // namespace

TEST_CASE("consecutive unloads do not delay the check of the first", "[desk]") {
  constexpr std::uint32_t AdapterSlots = 4;
  PlacementWorld world(1, AdapterSlots);
  for (int n = 1; n <= 4; ++n)
    world.Engines["i-0"].Held[adapter(n)] = 1;
  world.runRounds(2);
  REQUIRE(world.Placement.residency("i-0").contains(adapter(4)));
  // The engine drops each once its requests have ended.
  auto unload = [&world](int n) {
    world.Placement.onOrderAnswer("i-0",
                                  orderFor(OrderKind::Unload, adapter(n)),
                                  OrderAnswer::Accepted, world.Now);
  };
  std::size_t reportRequests = 0;
  for (int n = 1; n <= 4; ++n) {
    unload(n);
    world.Now += milliseconds(200);
    reportRequests += reportCount(world.Placement.plan(true, world.Now));
  }
  CHECK(reportRequests > 0);
}

TEST_CASE("an engine that does not report on an eviction is not asked during a "
          "backoff",
          "[desk]") {
  PlacementWorld world(1);
  world.Engines["i-0"].Held[adapter(1)] = 1;
  world.runRounds(2);
  world.Placement.onOrderAnswer("i-0", orderFor(OrderKind::Unload, adapter(1)),
                                OrderAnswer::Accepted, world.Now);
  world.Now += milliseconds(400);
  std::size_t reportRequests = 0;
  for (int it = 0; it < 50; ++it) {
    world.Now += milliseconds(2);
    auto n = reportCount(world.Placement.plan(true, world.Now));
    reportRequests += n;
    if (n)
      world.Placement.onReport("i-0", std::nullopt, world.Now);
  }
  // In 100 ms, with backoffs of 40 and 80 ms.
  CHECK(reportRequests >= 2);
  CHECK(reportRequests <= 3);
}

TEST_CASE("a base model's load does not delay the check for missing weights",
          "[desk]") {
  PlacementWorld world(1);
  world.Engines["i-0"].Held[adapter(1)] = 1;
  world.runRounds(2);
  REQUIRE(world.Placement.residency("i-0").contains(adapter(1)));
  // The weights are found missing before the answer to the load has arrived.
  world.Placement.onMissing("i-0", adapter(1), world.Now);
  world.Placement.onOrderAnswer("i-0", orderFor(OrderKind::Load, {Model, {}}),
                                OrderAnswer::Accepted, world.Now);
  world.Now += milliseconds(50);
  CHECK(reportCount(world.Placement.plan(true, world.Now)) == 1);
}

TEST_CASE("no replica is ordered to hold more adapters than it has slots, "
          "whatever is lost",
          "[desk]") {
  REQUIRE(rc::check([] {
    auto seed = *rc::gen::arbitrary<std::uint64_t>();
    std::mt19937_64 random(seed);
    auto randomBelow = [&random](int n) {
      return static_cast<int>(random() % static_cast<std::uint64_t>(n));
    };
    PlacementWorld world(3, 3);
    constexpr int Rounds = 200;
    constexpr int Adapters = 12;
    for (int it = 0; it < Rounds; ++it) {
      world.Placement.onDemand(Service, adapter(randomBelow(Adapters)), 1,
                               world.Now);
      world.Placement.onWaiting(Service, adapter(randomBelow(Adapters)),
                                world.Now);
      world.runRounds(1, [&] {
        constexpr int OutcomeCount = 10;
        auto n = randomBelow(OutcomeCount);
        return n < 7 ? 0 : (n < 9 ? 1 : 2);
      });
      // An order without an answer may be executed much later.
      if (!world.LateOrders.empty() && randomBelow(4) == 0) {
        auto [replica, order] = world.LateOrders.front();
        world.LateOrders.erase(world.LateOrders.begin());
        world.Engines[replica].execute(order);
      }
      if (randomBelow(20) == 0)
        world.Now += std::chrono::seconds(randomBelow(5));
    }
    for (const auto &[id, engine] : world.Engines)
      RC_ASSERT(!engine.Crashed);
  }));
}

namespace {

/// Restarts an engine under the same id and a new start time. It holds only the
/// base model afterwards.
void restart(PlacementWorld &world, const std::string &key,
             std::uint64_t startMs) {
  auto engine = world.Engines.at(key);
  world.Engines.erase(key);
  engine.Record.Incarnation =
      ReplicaIncarnation(engine.Record.Incarnation.id(), startMs);
  engine.Held = {{{Model, {}}, 1}};
  engine.Record.Held = engine.Held;
  engine.Count = 0;
  world.Engines[engine.Record.Incarnation.text()] = engine;
}

} // namespace

TEST_CASE("a replica's state is discarded when its incarnation ends",
          "[desk][life]") {
  PlacementWorld world(1);
  world.runRounds(2);
  world.Placement.onWaiting(Service, adapter(1), world.Now);
  world.runRounds(4);
  CHECK(world.Placement.residency("i-0").contains(adapter(1)));
  restart(world, "i-0", 2000);
  world.updateReplicas();
  CHECK_FALSE(world.Placement.residency("i-0#2000").contains(adapter(1)));
  CHECK(world.Placement.residency("i-0").empty());
  world.Placement.onWaiting(Service, adapter(1), world.Now);
  world.runRounds(4);
  CHECK(world.Engines.at("i-0#2000").Held.contains(adapter(1)));
}

TEST_CASE("a report of another incarnation does not change a replica's state",
          "[desk][life]") {
  PlacementWorld world(1);
  restart(world, "i-0", 1000);
  world.updateReplicas();
  world.runRounds(2);
  world.Placement.onWaiting(Service, adapter(1), world.Now);
  world.runRounds(4);
  HoldingsReport other{{{{Model, {}}, 1}}, {}, false, 7, {}, 0};
  SECTION("an earlier incarnation: a new report is requested") {
    other.StartedAtMs = 500;
    world.Placement.onReport("i-0#1000", other, world.Now);
    CHECK(world.Placement.residency("i-0#1000").contains(adapter(1)));
    world.Placement.onWaiting(Service, adapter(2), world.Now);
    world.runRounds(12);
    CHECK(world.Engines.at("i-0#1000").Held.contains(adapter(2)));
  }
  SECTION("a later incarnation: nothing is ordered until it is registered") {
    other.StartedAtMs = 2000;
    world.Placement.onReport("i-0#1000", other, world.Now);
    world.Placement.onWaiting(Service, adapter(2), world.Now);
    world.runRounds(12);
    CHECK_FALSE(world.Engines.at("i-0#1000").Held.contains(adapter(2)));
    restart(world, "i-0#1000", 2000);
    world.updateReplicas();
    world.runRounds(4);
    CHECK(world.Engines.at("i-0#2000").Held.contains(adapter(2)));
  }
}

TEST_CASE(
    "late orders to a former incarnation never fill an engine beyond its slots",
    "[desk][life]") {
  bool held = rc::check([] {
    PlacementWorld world(2);
    auto randomInt = [](int bound) { return *rc::gen::inRange(0, bound); };
    std::uint64_t startMs = 1000;
    for (int step = 0; step < 60; ++step) {
      world.Placement.onWaiting(Service, adapter(randomInt(9)), world.Now);
      world.Now += milliseconds(50);
      world.runRound([&randomInt] { return randomInt(4) == 0 ? 2 : 0; });
      if (randomInt(8) == 0) {
        restart(world, world.Engines.begin()->first, startMs += 1000);
        world.updateReplicas();
      }
      if (randomInt(4) != 0)
        continue;
      for (auto &[key, order] : std::exchange(world.LateOrders, {}))
        for (auto &[now, engine] : world.Engines)
          // Engines compare only the id.
          if (engine.Record.Incarnation.id() == key.substr(0, key.find('#')))
            engine.execute(order);
    }
    for (const auto &[key, engine] : world.Engines)
      RC_ASSERT(!engine.Crashed);
  });
  CHECK(held);
}

} // namespace hemlockglade::test
