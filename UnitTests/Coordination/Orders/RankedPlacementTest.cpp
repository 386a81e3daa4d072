#include "UnitTests/Coordination/Orders/ScarceLoads.h"

#include <catch2/catch.hpp>
#include <limits>
#include <rapidcheck.h>

namespace hemlockglade::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double UsualRate = 180;
constexpr double BurstRate = 360;
constexpr double HotRate = 100;
constexpr auto MaxCount = std::numeric_limits<std::uint32_t>::max();

/// Result of a day on which an adapter that nobody asked for before jumps to
/// 100 requests a second in the middle of a burst.
struct HotDay {
  explicit HotDay(bool ranked, std::uint64_t seed) : World(ranked, seed) {
    World.run(seconds(8), UsualRate);
    World.run(seconds(4), BurstRate);
    JumpAt = World.Now;
    World.run(seconds(5), BurstRate, HotRate);
    EndAt = World.Now;
    World.run(seconds(3), UsualRate);
  }

  /// Share of the hot adapter's requests in time, from a second after the jump.
  double hotShare() const {
    return World.inTimeShare(JumpAt + seconds(1), EndAt,
                             ScarceLoads::HotAdapter);
  }
  double share() const { return World.inTimeShare(JumpAt, EndAt); }

  ScarceLoads World;
  Instant JumpAt{};
  Instant EndAt{};
};

CellPlacement::Settings rankedSettings() {
  CellPlacement::Settings out;
  out.RankLoads = true;
  return out;
}

} // namespace

TEST_CASE("a hot adapter has copies for most of its demand within a second "
          "while rare ones wait",
          "[ranked]") {
  auto seed = GENERATE(1U, 2U, 3U);
  HotDay ranked(true, seed);
  HotDay unranked(false, seed);
  CAPTURE(seed, ranked.hotShare(), unranked.hotShare(), ranked.share(),
          unranked.share());
  CHECK(ranked.hotShare() >= 0.8);
  CHECK(ranked.hotShare() > unranked.hotShare());
  CHECK(ranked.share() > unranked.share());
}

TEST_CASE("adapters that are asked for again and again are not starved by hot "
          "ones",
          "[ranked]") {
  auto seed = GENERATE(1U, 2U, 3U);
  HotDay day(true, seed);
  for (auto from = day.JumpAt - seconds(4); from <= day.JumpAt + seconds(1);
       from += milliseconds(500)) {
    auto [asked, never] = day.World.starved(from);
    CAPTURE(seed, asked, never);
    CHECK(asked > 20);
    CHECK(static_cast<double>(never) <= 1 + 0.1 * static_cast<double>(asked));
  }
}

TEST_CASE("ranked loads keep to the slots and drop nothing in use",
          "[ranked]") {
  HotDay day(true, 4);
  CHECK(day.World.MaxHeld <= ScarceLoads::AdapterSlots);
  CHECK_FALSE(day.World.EvictedInUse);
  for (const auto &[id, engine] : day.World.Engines)
    CHECK_FALSE(engine.Crashed);
}

TEST_CASE("an adapter whose only holder must not be used gets one copy more",
          "[ranked]") {
  auto ranked = GENERATE(false, true);
  CellPlacement::Settings settings;
  settings.RankLoads = ranked;
  PlacementWorld world(8, 2, 3, settings);
  world.runRounds(2);
  world.Placement.onWaiting(Service, adapter(1), world.Now);
  world.runRounds(10);
  REQUIRE(world.copies(adapter(1)) == 1);
  // As long as the request waits, its node reports it each 200 ms.
  for (int it = 0; it < 10; ++it) {
    world.Placement.onWaiting(Service, adapter(1), world.Now, 1, 1);
    world.runRounds(4);
  }
  CHECK(world.copies(adapter(1)) == 2);
}

TEST_CASE("a huge number of unusable copies makes one copy a load time",
          "[ranked]") {
  auto ranked = GENERATE(false, true);
  CellPlacement::Settings settings;
  settings.RankLoads = ranked;
  PlacementWorld world(12, 2, 3, settings);
  world.runRounds(2);
  world.Placement.onWaiting(Service, adapter(1), world.Now);
  world.runRounds(10);
  REQUIRE(world.copies(adapter(1)) == 1);
  // Within 800 ms, each load takes 272 ms.
  for (int it = 0; it < 4; ++it) {
    world.Placement.onWaiting(Service, adapter(1), world.Now, 1, MaxCount);
    world.runRounds(4);
  }
  CHECK(world.copies(adapter(1)) > 1);
  CHECK(world.copies(adapter(1)) <= 4);
}

TEST_CASE("a short congestion does not put an adapter on all engines where "
          "loads are ranked",
          "[ranked]") {
  auto requests = GENERATE(0U, 1U, 1000U, MaxCount);
  PlacementWorld world(10, 2, 3, rankedSettings());
  world.runRounds(2);
  world.Placement.onWaiting(Service, adapter(1), world.Now);
  world.runRounds(10);
  REQUIRE(world.copies(adapter(1)) == 1);
  for (int it = 0; it < 30; ++it) {
    if (it % 15 == 0)
      world.Placement.onDemand(Service, adapter(1), 1, world.Now);
    if (it % 4 == 0)
      world.Placement.onCongested(Service, adapter(1), world.Now, requests);
    world.runRounds(1);
  }
  CAPTURE(requests);
  CHECK(world.copies(adapter(1)) <= 4);
}

TEST_CASE("an adapter is loaded where a report counts no waiting requests",
          "[ranked]") {
  PlacementWorld world(3, 2, 3, rankedSettings());
  world.runRounds(2);
  for (int it = 0; it < 5; ++it) {
    world.Placement.onWaiting(Service, adapter(1), world.Now, 0, 0);
    world.runRounds(2);
  }
  CHECK(world.copies(adapter(1)) == 1);
}

TEST_CASE("false reports cost others little", "[ranked]") {
  HotDay usual(true, 5);
  ScarceLoads world(true, 5);
  world.run(seconds(8), UsualRate);
  // A rare adapter that a node reports with the greatest numbers there are.
  world.OnStep = [&world, n = 0]() mutable {
    if (n++ % 20)
      return;
    world.Placement.onWaiting(Service, adapter(9'999), world.Now, MaxCount,
                              MaxCount);
    world.Placement.onCongested(Service, adapter(9'998), world.Now, MaxCount);
  };
  world.run(seconds(4), BurstRate);
  auto jumpAt = world.Now;
  world.run(seconds(5), BurstRate, HotRate);
  auto endAt = world.Now;
  world.OnStep = nullptr;
  world.run(seconds(3), UsualRate);
  auto hotShare =
      world.inTimeShare(jumpAt + seconds(1), endAt, ScarceLoads::HotAdapter);
  auto share = world.inTimeShare(jumpAt, endAt);
  CAPTURE(usual.hotShare(), hotShare, usual.share(), share);
  CHECK(hotShare >= usual.hotShare() - 0.05);
  CHECK(share >= usual.share() - 0.05);
  CHECK(world.MaxHeld <= ScarceLoads::AdapterSlots);
  CHECK_FALSE(world.EvictedInUse);
}

TEST_CASE("no engine is ordered to hold more than its slots where loads are "
          "ranked, whatever is lost",
          "[ranked]") {
  REQUIRE(rc::check([] {
    std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
    auto randomBelow = [&random](std::uint64_t n) { return random() % n; };
    PlacementWorld world(3, 3, 3, rankedSettings());
    for (int it = 0; it < 200; ++it) {
      auto drawn = [&] { return adapter(static_cast<int>(randomBelow(12))); };
      world.Placement.onDemand(Service, drawn(), 1, world.Now);
      world.Placement.onWaiting(Service, drawn(), world.Now,
                                static_cast<std::uint32_t>(random()),
                                static_cast<std::uint32_t>(randomBelow(4)));
      world.Placement.onCongested(Service, drawn(), world.Now,
                                  static_cast<std::uint32_t>(random()));
      // One answer in five is lost, and one order in ten.
      world.runRounds(1, [&] {
        auto n = randomBelow(10);
        return n < 7 ? 0 : (n < 9 ? 1 : 2);
      });
      if (!world.LateOrders.empty() && randomBelow(4) == 0) {
        auto [replica, order] = world.LateOrders.front();
        world.LateOrders.erase(world.LateOrders.begin());
        world.Engines[replica].execute(order);
      }
    }
    for (const auto &[id, engine] : world.Engines)
      RC_ASSERT(!engine.Crashed);
  }));
}

} // namespace hemlockglade::test
