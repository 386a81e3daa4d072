#include "Hemlockglade/Coordination/Orders/CellPlacement.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <rapidcheck.h>

namespace hemlockglade::test {

namespace {

using std::chrono::milliseconds;

const std::string Service = "drafts";
const std::string Model = "base";

WeightsRef adapter(int n) { return {Model, "a" + std::to_string(n)}; }

std::shared_ptr<const RoutePlan> planWith(std::uint32_t places, double rate) {
  EngineSpec engine;
  engine.Slots = 8;
  engine.AdapterSlots = places;
  engine.WeightsMb = 1000;
  engine.LoadsPerSecond = rate;
  engine.Models = {{Model, 900, std::chrono::seconds(5), {}, {}, 1}};
  ServiceSpec service{Service, "/", 10, engine};
  return std::make_shared<const RoutePlan>(
      1, std::vector<Route>{}, std::vector{service}, CallerLimits{});
}

/// An engine that obeys orders as the desk's engines do, or not.
struct FakeEngine {
  ReplicaRecord Record;
  HeldWeights Held;
  std::uint64_t Count = 0;
  std::uint32_t Places = 2;
  bool Crashed = false;
  std::size_t Loads = 0;

  OrderAnswer obey(const EngineOrder &order) {
    if (order.ExpectedCount != Count)
      return OrderAnswer::Conflict;
    bool holds = Held.contains(order.Weights);
    if (order.Kind == OrderKind::Unload) {
      if (holds)
        ++Count;
      Held.erase(order.Weights);
      return OrderAnswer::Holds;
    }
    if (holds && (order.Version == 0 || Held[order.Weights] >= order.Version))
      return OrderAnswer::Holds;
    ++Count;
    ++Loads;
    Held[order.Weights] = order.Version;
    std::size_t adapters = 0;
    for (const auto &[weights, version] : Held)
      adapters += weights.Adapter.empty() ? 0 : 1;
    Crashed = Crashed || adapters > Places;
    return OrderAnswer::Accepted;
  }
};

struct DeskWorld {
  explicit DeskWorld(int replicas, std::uint32_t places = 2, double rate = 3)
      : Plan(planWith(places, rate)) {
    for (int it = 0; it < replicas; ++it) {
      FakeEngine engine;
      engine.Record.Incarnation = ReplicaIncarnation("i-" + std::to_string(it));
      engine.Record.Service = Service;
      engine.Record.Slots = 8;
      engine.Held[{Model, {}}] = 1;
      engine.Record.Held = engine.Held;
      engine.Places = places;
      Engines[engine.Record.Incarnation.text()] = engine;
    }
    show();
  }

  void show() {
    std::vector<ReplicaPtr> records;
    for (const auto &[id, it] : Engines)
      records.push_back(std::make_shared<const ReplicaRecord>(it.Record));
    Desk.setReplicas(records, Plan, Now);
  }

  /// Carries out what the desk wants; `lose` says whether an order's answer is
  /// lost, with 2 also the order.
  std::size_t round(const std::function<int()> &lose = [] { return 0; }) {
    auto actions = Desk.plan(true, Now);
    for (const auto &it : actions) {
      auto &engine = Engines[it.Replica];
      if (it.Type == PlacementAction::Kind::Report) {
        Desk.onReport(it.Replica,
                      HoldingsReport{engine.Held, {}, false, engine.Count, {}},
                      Now);
        continue;
      }
      auto how = lose();
      auto answer = how == 2 ? OrderAnswer::Unknown : engine.obey(it.Order);
      if (how == 2)
        Late.emplace_back(it.Replica, it.Order);
      Desk.onOrderAnswer(it.Replica, it.Order,
                         how ? OrderAnswer::Unknown : answer, Now);
    }
    return actions.size();
  }

  void rounds(
      int n, const std::function<int()> &lose = [] { return 0; }) {
    for (int it = 0; it < n; ++it) {
      Now += milliseconds(50);
      round(lose);
    }
  }

  std::size_t copies(const WeightsRef &weights) const {
    std::size_t n = 0;
    for (const auto &[id, it] : Engines)
      n += it.Held.contains(weights) ? 1 : 0;
    return n;
  }

  Instant Now = std::chrono::seconds(1000);
  std::shared_ptr<const RoutePlan> Plan;
  std::map<std::string, FakeEngine> Engines;
  CellPlacement Desk{CellPlacement::Settings{}};
  std::vector<std::pair<std::string, EngineOrder>> Late;
};

} // namespace

TEST_CASE("an adapter that requests wait for is loaded once", "[desk]") {
  DeskWorld world(3);
  world.rounds(2);
  for (int it = 0; it < 5; ++it)
    world.Desk.onWaiting(Service, adapter(1), world.Now);
  world.rounds(10);
  CHECK(world.copies(adapter(1)) == 1);
}

TEST_CASE("requests that wait get one copy also where a place is made first",
          "[desk]") {
  DeskWorld world(3, 1);
  world.rounds(2);
  for (int n = 1; n <= 3; ++n)
    world.Desk.onWaiting(Service, adapter(n), world.Now);
  world.rounds(20);
  world.Now += std::chrono::seconds(10);
  for (int it = 0; it < 5; ++it) {
    world.Desk.onWaiting(Service, adapter(9), world.Now);
    world.rounds(1);
  }
  world.rounds(10);
  CHECK(world.copies(adapter(9)) == 1);
  for (const auto &[id, engine] : world.Engines)
    CHECK_FALSE(engine.Crashed);
}

TEST_CASE("nothing is ordered without the right to", "[desk]") {
  DeskWorld world(2);
  world.Desk.onWaiting(Service, adapter(1), world.Now);
  CHECK(world.Desk.plan(false, world.Now).empty());
}

TEST_CASE("what is wanted least makes room", "[desk]") {
  DeskWorld world(1, 2);
  world.rounds(2);
  world.Desk.onWaiting(Service, adapter(1), world.Now);
  world.Desk.onWaiting(Service, adapter(2), world.Now);
  world.rounds(10);
  for (int it = 0; it < 20; ++it)
    world.Desk.onDemand(Service, adapter(1), 1, world.Now);
  world.Desk.onDemand(Service, adapter(2), 1, world.Now);
  world.Now += std::chrono::seconds(4);
  world.Desk.onWaiting(Service, adapter(3), world.Now);
  world.rounds(10);
  CHECK(world.copies(adapter(1)) == 1);
  CHECK(world.copies(adapter(2)) == 0);
  CHECK(world.copies(adapter(3)) == 1);
}

TEST_CASE("an adapter goes back to the replica that dropped it", "[desk]") {
  DeskWorld world(4, 1);
  world.rounds(2);
  world.Desk.onWaiting(Service, adapter(1), world.Now);
  world.rounds(10);
  std::string first;
  for (const auto &[id, it] : world.Engines)
    if (it.Held.contains(adapter(1)))
      first = id;
  REQUIRE_FALSE(first.empty());
  for (int n = 2; n <= 5; ++n) {
    world.Now += std::chrono::seconds(3);
    world.Desk.onWaiting(Service, adapter(n), world.Now);
    world.rounds(10);
  }
  REQUIRE(world.copies(adapter(1)) == 0);
  world.Now += std::chrono::seconds(5);
  world.Desk.onWaiting(Service, adapter(1), world.Now);
  world.rounds(10);
  CHECK(world.Engines[first].Held.contains(adapter(1)));
}

TEST_CASE("a newer version gets a copy beside the older one", "[desk]") {
  DeskWorld world(2);
  world.rounds(2);
  world.Desk.onWaiting(Service, adapter(1), world.Now);
  world.rounds(10);
  world.Desk.setVersion(adapter(1), 7);
  // So few that one copy is enough for them.
  world.Desk.onDemand(Service, adapter(1), 2, world.Now);
  world.Desk.onWaiting(Service, adapter(1), world.Now);
  world.rounds(10);
  std::size_t newer = 0;
  for (const auto &[id, it] : world.Engines) {
    auto held = it.Held.find(adapter(1));
    newer += held != it.Held.end() && held->second == 7 ? 1 : 0;
  }
  CHECK(newer == 1);
}

TEST_CASE("demand that jumps gets its copies within a second", "[desk]") {
  DeskWorld world(4);
  world.rounds(2);
  world.Desk.onWaiting(Service, adapter(1), world.Now);
  // Fourteen requests a second, from none before.
  for (int it = 0; it < 14; ++it) {
    world.Desk.onDemand(Service, adapter(1), 1, world.Now);
    world.rounds(1);
    world.Now += milliseconds(21);
  }
  CHECK(world.copies(adapter(1)) >= 3);
}

TEST_CASE("what presses for a moment does not get all engines", "[desk]") {
  DeskWorld world(6);
  world.rounds(2);
  world.Desk.onWaiting(Service, adapter(1), world.Now);
  for (int it = 0; it < 30; ++it) {
    if (it % 15 == 0)
      world.Desk.onDemand(Service, adapter(1), 1, world.Now);
    world.Desk.onCongested(Service, adapter(1), world.Now);
    world.rounds(1);
  }
  CHECK(world.copies(adapter(1)) == 1);
}

TEST_CASE("what nobody waits for any more is not loaded", "[desk]") {
  DeskWorld world(1, 2);
  world.rounds(2);
  for (int it = 1; it <= 2; ++it)
    world.Desk.onWaiting(Service, adapter(it), world.Now);
  world.rounds(4);
  // Both places are in use, so that nothing can be loaded.
  for (int it = 1; it <= 2; ++it)
    world.Desk.onUse("i-0", adapter(it), 1);
  world.Desk.onWaiting(Service, adapter(3), world.Now);
  world.rounds(20);
  for (int it = 1; it <= 2; ++it)
    world.Desk.onUse("i-0", adapter(it), -1);
  world.rounds(10);
  CHECK(world.copies(adapter(3)) == 0);
  world.Desk.onWaiting(Service, adapter(3), world.Now);
  world.rounds(10);
  CHECK(world.copies(adapter(3)) == 1);
}

TEST_CASE("loads on their way over all cells are bounded", "[desk]") {
  DeskWorld world(6, 20);
  world.rounds(2);
  world.Desk.setLoadingElsewhere(6);
  for (int n = 0; n < 30; ++n)
    world.Desk.onWaiting(Service, adapter(n), world.Now);
  world.Now += milliseconds(50);
  world.round();
  std::size_t loads = 0;
  for (const auto &[id, it] : world.Engines)
    loads += it.Loads;
  CHECK(loads == 2);
}

TEST_CASE("a faster weight store gets more loads at once", "[desk]") {
  DeskWorld world(24, 20, 40);
  world.rounds(2);
  for (int n = 0; n < 200; ++n)
    world.Desk.onWaiting(Service, adapter(n), world.Now);
  world.rounds(4);
  std::size_t loads = 0;
  for (const auto &[id, it] : world.Engines)
    loads += it.Loads;
  CHECK(loads == 96);
}

TEST_CASE("an engine that does not answer is left alone for a while",
          "[desk]") {
  DeskWorld world(2);
  world.rounds(2);
  std::size_t orders = 0;
  world.Desk.onWaiting(Service, adapter(1), world.Now);
  constexpr int Rounds = 500;
  for (int it = 0; it < Rounds; ++it) {
    world.Now += milliseconds(2);
    world.Desk.onWaiting(Service, adapter(1), world.Now);
    orders += world.round([] { return 2; });
  }
  // Two engines, a second: rests of 40, 80, 160, 320 and 640 ms.
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

std::size_t reports(const std::vector<PlacementAction> &actions) {
  return static_cast<std::size_t>(
      std::count_if(actions.begin(), actions.end(), [](const auto &it) {
        return it.Type == PlacementAction::Kind::Report;
      }));
}

} // namespace

TEST_CASE("unloads in a row do not put off the look at the first", "[desk]") {
  constexpr std::uint32_t Places = 4;
  DeskWorld world(1, Places);
  for (int n = 1; n <= 4; ++n)
    world.Engines["i-0"].Held[adapter(n)] = 1;
  world.rounds(2);
  REQUIRE(world.Desk.residency("i-0").contains(adapter(4)));
  // The engine lets each go once its requests are over.
  auto unload = [&world](int n) {
    world.Desk.onOrderAnswer("i-0", orderFor(OrderKind::Unload, adapter(n)),
                             OrderAnswer::Accepted, world.Now);
  };
  std::size_t looks = 0;
  for (int n = 1; n <= 4; ++n) {
    unload(n);
    world.Now += milliseconds(200);
    looks += reports(world.Desk.plan(true, world.Now));
  }
  CHECK(looks > 0);
}

TEST_CASE("an engine that says nothing of what leaves it is left alone for a "
          "while",
          "[desk]") {
  DeskWorld world(1);
  world.Engines["i-0"].Held[adapter(1)] = 1;
  world.rounds(2);
  world.Desk.onOrderAnswer("i-0", orderFor(OrderKind::Unload, adapter(1)),
                           OrderAnswer::Accepted, world.Now);
  world.Now += milliseconds(400);
  std::size_t asked = 0;
  for (int it = 0; it < 50; ++it) {
    world.Now += milliseconds(2);
    auto n = reports(world.Desk.plan(true, world.Now));
    asked += n;
    if (n)
      world.Desk.onReport("i-0", std::nullopt, world.Now);
  }
  // In 100 ms, with rests of 40 and 80 ms.
  CHECK(asked >= 2);
  CHECK(asked <= 3);
}

TEST_CASE("a base model's load does not put off the look at missing weights",
          "[desk]") {
  DeskWorld world(1);
  world.Engines["i-0"].Held[adapter(1)] = 1;
  world.rounds(2);
  REQUIRE(world.Desk.residency("i-0").contains(adapter(1)));
  // It turns out while the answer to the load is on its way.
  world.Desk.onMissing("i-0", adapter(1), world.Now);
  world.Desk.onOrderAnswer("i-0", orderFor(OrderKind::Load, {Model, {}}),
                           OrderAnswer::Accepted, world.Now);
  world.Now += milliseconds(50);
  CHECK(reports(world.Desk.plan(true, world.Now)) == 1);
}

TEST_CASE("no replica is told to hold more than its places, whatever is lost",
          "[desk]") {
  REQUIRE(rc::check([] {
    auto seed = *rc::gen::arbitrary<std::uint64_t>();
    std::mt19937_64 random(seed);
    auto upTo = [&random](int n) {
      return static_cast<int>(random() % static_cast<std::uint64_t>(n));
    };
    DeskWorld world(3, 3);
    constexpr int Rounds = 200;
    constexpr int Adapters = 12;
    for (int it = 0; it < Rounds; ++it) {
      world.Desk.onDemand(Service, adapter(upTo(Adapters)), 1, world.Now);
      world.Desk.onWaiting(Service, adapter(upTo(Adapters)), world.Now);
      world.rounds(1, [&] {
        constexpr int Often = 10;
        auto n = upTo(Often);
        return n < 7 ? 0 : (n < 9 ? 1 : 2);
      });
      // An order without an answer may be carried out much later.
      if (!world.Late.empty() && upTo(4) == 0) {
        auto [replica, order] = world.Late.front();
        world.Late.erase(world.Late.begin());
        world.Engines[replica].obey(order);
      }
      if (upTo(20) == 0)
        world.Now += std::chrono::seconds(upTo(5));
    }
    for (const auto &[id, engine] : world.Engines)
      RC_ASSERT(!engine.Crashed);
  }));
}

namespace {

/// The engine starts again under its id and holds what it held, if anything.
void restart(DeskWorld &world, const std::string &key, std::uint64_t startMs) {
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

TEST_CASE("books end with an engine's life", "[desk][life]") {
  DeskWorld world(1);
  world.rounds(2);
  world.Desk.onWaiting(Service, adapter(1), world.Now);
  world.rounds(4);
  CHECK(world.Desk.residency("i-0").contains(adapter(1)));
  restart(world, "i-0", 2000);
  world.show();
  CHECK_FALSE(world.Desk.residency("i-0#2000").contains(adapter(1)));
  CHECK(world.Desk.residency("i-0").empty());
  world.Desk.onWaiting(Service, adapter(1), world.Now);
  world.rounds(4);
  CHECK(world.Engines.at("i-0#2000").Held.contains(adapter(1)));
}

TEST_CASE("a report of another start leaves the books alone", "[desk][life]") {
  DeskWorld world(1);
  restart(world, "i-0", 1000);
  world.show();
  world.rounds(2);
  world.Desk.onWaiting(Service, adapter(1), world.Now);
  world.rounds(4);
  HoldingsReport other{{{{Model, {}}, 1}}, {}, false, 7, {}, 0};
  SECTION("of an earlier one: a new report is asked for") {
    other.StartedAtMs = 500;
    world.Desk.onReport("i-0#1000", other, world.Now);
    CHECK(world.Desk.residency("i-0#1000").contains(adapter(1)));
    world.Desk.onWaiting(Service, adapter(2), world.Now);
    world.rounds(12);
    CHECK(world.Engines.at("i-0#1000").Held.contains(adapter(2)));
  }
  SECTION("of a later one: nothing more is ordered until it is registered") {
    other.StartedAtMs = 2000;
    world.Desk.onReport("i-0#1000", other, world.Now);
    world.Desk.onWaiting(Service, adapter(2), world.Now);
    world.rounds(12);
    CHECK_FALSE(world.Engines.at("i-0#1000").Held.contains(adapter(2)));
    restart(world, "i-0#1000", 2000);
    world.show();
    world.rounds(4);
    CHECK(world.Engines.at("i-0#2000").Held.contains(adapter(2)));
  }
}

TEST_CASE("orders to a former start that are carried out late never fill an "
          "engine beyond its places",
          "[desk][life]") {
  bool held = rc::check([] {
    DeskWorld world(2);
    auto draw = [](int most) { return *rc::gen::inRange(0, most); };
    std::uint64_t startMs = 1000;
    for (int step = 0; step < 60; ++step) {
      world.Desk.onWaiting(Service, adapter(draw(9)), world.Now);
      world.Now += milliseconds(50);
      world.round([&draw] { return draw(4) == 0 ? 2 : 0; });
      if (draw(8) == 0) {
        restart(world, world.Engines.begin()->first, startMs += 1000);
        world.show();
      }
      if (draw(4) != 0)
        continue;
      for (auto &[key, order] : std::exchange(world.Late, {}))
        for (auto &[now, engine] : world.Engines)
          // The id is all that an engine compares.
          if (engine.Record.Incarnation.id() == key.substr(0, key.find('#')))
            engine.obey(order);
    }
    for (const auto &[key, engine] : world.Engines)
      RC_ASSERT(!engine.Crashed);
  });
  CHECK(held);
}

} // namespace hemlockglade::test
