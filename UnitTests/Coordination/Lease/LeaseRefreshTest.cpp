#include "UnitTests/Coordination/Lease/LeaseFleet.h"

#include <catch2/catch.hpp>

using namespace hemlockglade;
using namespace hemlockglade::test;
using namespace std::chrono_literals;

namespace {

/// Starts three nodes that scan too rarely to affect the test, and returns the
/// one that holds the first cell.
FleetHost &startRareScans(LeaseFleet &fleet) {
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

TEST_CASE("refreshCell claims a released cell without waiting for a scan",
          "[lease]") {
  LeaseFleet fleet(1, rareScans());
  auto &owner = startRareScans(fleet);
  owner.Manager->release([] {});
  fleet.run(50ms);
  REQUIRE_FALSE(fleet.unheld().empty());
  bool refreshes = GENERATE(true, false);
  for (auto &host : fleet.Hosts) {
    for (const auto &cell : fleet.unheld()) {
      if (refreshes && host.get() != &owner)
        host->Manager->refreshCell(cell);
    }
  }
  fleet.run(100ms);
  REQUIRE(fleet.unheld().empty() == refreshes);
  REQUIRE(fleet.Violations.empty());
}

TEST_CASE("refreshCell finds a cell's new owner without waiting for a scan",
          "[lease]") {
  LeaseFleet fleet(1, rareScans());
  auto &owner = startRareScans(fleet);
  auto cell = fleet.Cells.front();
  auto reader = &owner == fleet.Current["entry-1"] ? "entry-2" : "entry-1";
  auto former = fleet.Current[reader]->Manager->ownerOf(cell)->Name;
  fleet.kill(owner);
  while (!fleet.holder(cell))
    fleet.run(50ms);
  auto &others = fleet.Current;
  for (const auto &[name, host] : others) {
    if (host != &owner)
      host->Manager->refreshCell(cell);
  }
  fleet.run(50ms);
  for (const auto &[name, host] : others) {
    if (host != &owner)
      REQUIRE(host->Manager->ownerOf(cell)->Name != former);
  }
}
