// The table is unavailable for a moment and is restored from a copy that is
// some seconds old: later writes are lost, and versions are given out again. A
// node that holds a lease then must not order at the same time as another, nor
// under a fencing number that another node has had.

#include "UnitTests/Coordination/Orders/CellLeaseRollback.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace hemlockglade::test {

TEST_CASE("a former holder does not order when the table restores its row",
          "[lease][drill]") {
  RollbackWorld world(2, 2);
  world.runWithCopies(milliseconds(2000));
  auto *first = world.holder();
  REQUIRE(first);
  first->Partitioned = true;
  world.runWithCopies(milliseconds(7000));
  REQUIRE(world.holder());
  REQUIRE(world.holder() != first);
  first->Partitioned = false;
  world.rollBack(milliseconds(8000), milliseconds(300));
  world.runWithCopies(milliseconds(6000));
  CHECK_FALSE(world.OrderedTooSoon);
  CHECK_FALSE(world.FenceNotIncreased);
}

TEST_CASE("a lease whose row a restored copy lacks still counts as held",
          "[lease][drill]") {
  RollbackWorld world(2, 2);
  world.runWithCopies(milliseconds(2000));
  auto *first = world.holder();
  REQUIRE(first);
  // It finds out late that the row is missing.
  first->Partitioned = true;
  world.rollBack(milliseconds(60000), milliseconds(300));
  world.runWithCopies(milliseconds(6000));
  CHECK_FALSE(world.OrderedTooSoon);
  CHECK_FALSE(world.FenceNotIncreased);
}

TEST_CASE(
    "no two hosts order within the handover whenever the table is rolled back",
    "[lease][drill]") {
  REQUIRE(rc::check([](std::uint64_t seed) {
    std::mt19937_64 random(seed);
    RollbackWorld world(seed);
    for (int step = 0; step < 12; ++step) {
      auto &host = *world.Hosts[random() % world.Hosts.size()];
      switch (random() % 4) {
      case 0:
        LeaseWorld::toggleSuspended(host);
        break;
      case 1:
        host.Partitioned = !host.Partitioned;
        break;
      case 2:
        host.restart();
        break;
      default:
        world.rollBack(milliseconds(random() % 9000),
                       milliseconds(random() % 2000));
      }
      world.runWithCopies(milliseconds(random() % 4000));
    }
    RC_ASSERT_FALSE(world.OrderedTooSoon);
    RC_ASSERT_FALSE(world.FenceNotIncreased);
  }));
}

} // namespace hemlockglade::test
