#include "Hemlockglade/Coordination/Coordination.h"
#include "UnitTests/Coordination/FakeTable.h"

#include <catch2/catch.hpp>

using namespace hemlockglade;
using namespace hemlockglade::test;
using namespace std::chrono_literals;

TEST_CASE("a single node claims the cells and holds them", "[lease]") {
  VirtualTime time;
  FakeTable table(time, 1);
  LeaseHooks hooks;
  std::vector<std::string> owned;
  hooks.Now = [&] { return time.now(); };
  hooks.OnOwned = [&](const std::string &cell, Epoch) {
    owned.push_back(cell);
  };
  hooks.OnLost = [](const std::string &) {};
  NodeRecord self{"entry-1", "a", "127.0.0.1:1", "127.0.0.1:2", "hall-a"};
  auto manager = std::make_shared<LeaseManager>(LeaseSettings{}, self,
                                                table.hooks(), hooks);
  for (int it = 0; it < 3; ++it) {
    manager->round({"assistant/0"});
    time.advance(1s);
  }
  REQUIRE(owned == std::vector<std::string>{"assistant/0"});
  REQUIRE(manager->holds("assistant/0"));
  REQUIRE(manager->fenceOf("assistant/0") == 1);
}
