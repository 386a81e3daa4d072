#include "UnitTests/Coordination/Lease/LeaseFleet.h"

#include <catch2/catch.hpp>

using namespace hemlockglade;
using namespace hemlockglade::test;
using namespace std::chrono_literals;

namespace {

/// Three nodes whose scans are so rare that nobody learns anything by them,
/// and the one that holds the first cell.
LeaseHost &startRareScans(LeaseFleet &fleet) {
  fleet.Switches.Drift = 0;
  fleet.RoundInterval = 250ms;
  for (const char *name : {"entry-1", "entry-2", "entry-3"})
    fleet.start(name);
  fleet.run(130s);
  return *fleet.holder(fleet.Cells.front());
}

LeaseSettings rareScans() {
  LeaseSettings settings;
  settings.ScanInterval = 60s;
  return settings;
}

} // namespace

TEST_CASE("a node that is told of a released cell takes it at once",
          "[lease]") {
  LeaseFleet fleet(1, rareScans());
  auto &owner = startRareScans(fleet);
  owner.Keeper->release([] {});
  fleet.run(50ms);
  REQUIRE_FALSE(fleet.unheld().empty());
  bool told = GENERATE(true, false);
  for (auto &host : fleet.Hosts) {
    for (const auto &cell : fleet.unheld()) {
      if (told && host.get() != &owner)
        host->Keeper->refreshCell(cell);
    }
  }
  fleet.run(100ms);
  REQUIRE(fleet.unheld().empty() == told);
  REQUIRE(fleet.Broken.empty());
}

TEST_CASE("a node that is told of a takeover knows the new owner at once",
          "[lease]") {
  LeaseFleet fleet(1, rareScans());
  auto &owner = startRareScans(fleet);
  auto cell = fleet.Cells.front();
  auto reader = &owner == fleet.Current["entry-1"] ? "entry-2" : "entry-1";
  auto former = fleet.Current[reader]->Keeper->ownerOf(cell)->Name;
  fleet.kill(owner);
  while (!fleet.holder(cell))
    fleet.run(50ms);
  auto &others = fleet.Current;
  for (const auto &[name, host] : others) {
    if (host != &owner)
      host->Keeper->refreshCell(cell);
  }
  fleet.run(50ms);
  for (const auto &[name, host] : others) {
    if (host != &owner)
      REQUIRE(host->Keeper->ownerOf(cell)->Name != former);
  }
}
