// The table is away for a moment and comes back from a copy that is some
// seconds old: what was written since is gone, and versions are given out
// again. Whoever holds a lease then must not order beside another, nor under an
// epoch number that another one has had.

#include "UnitTests/Coordination/Orders/CellLeaseDrill.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace hemlockglade::test {

TEST_CASE("a former holder does not order when its row comes back",
          "[lease][drill]") {
  DrillWorld world(2, 2);
  world.play(milliseconds(2000));
  auto *first = world.holder();
  REQUIRE(first);
  first->Cut = true;
  world.play(milliseconds(7000));
  REQUIRE(world.holder());
  REQUIRE(world.holder() != first);
  first->Cut = false;
  world.stepBack(milliseconds(8000), milliseconds(300));
  world.play(milliseconds(6000));
  CHECK_FALSE(world.TooSoon);
  CHECK_FALSE(world.FenceFell);
}

TEST_CASE("a row that the copy lacks was held all the same", "[lease][drill]") {
  DrillWorld world(2, 2);
  world.play(milliseconds(2000));
  auto *first = world.holder();
  REQUIRE(first);
  // It is late in finding that the row is gone.
  first->Cut = true;
  world.stepBack(milliseconds(60000), milliseconds(300));
  world.play(milliseconds(6000));
  CHECK_FALSE(world.TooSoon);
  CHECK_FALSE(world.FenceFell);
}

TEST_CASE(
    "no two hosts order within the handover, whenever the table steps back",
    "[lease][drill]") {
  REQUIRE(rc::check([](std::uint64_t seed) {
    std::mt19937_64 random(seed);
    DrillWorld world(seed);
    for (int step = 0; step < 12; ++step) {
      auto &host = *world.Hosts[random() % world.Hosts.size()];
      switch (random() % 4) {
      case 0:
        host.Frozen = !host.Frozen;
        break;
      case 1:
        host.Cut = !host.Cut;
        break;
      case 2:
        host.restart();
        break;
      default:
        world.stepBack(milliseconds(random() % 9000),
                       milliseconds(random() % 2000));
      }
      world.play(milliseconds(random() % 4000));
    }
    RC_ASSERT_FALSE(world.TooSoon);
    RC_ASSERT_FALSE(world.FenceFell);
  }));
}

} // namespace hemlockglade::test
