#include "UnitTests/Coordination/Lease/LeaseFleet.h"

#include <catch2/catch.hpp>

using namespace hemlockglade;
using namespace hemlockglade::test;
using namespace std::chrono_literals;

namespace {

/// Starts two hosts, of which the first owns all cells, and returns the first.
FleetHost &startTwo(LeaseFleet &fleet) {
  auto &first = fleet.start("entry-1");
  fleet.run(3s);
  fleet.start("entry-2");
  fleet.run(3s);
  REQUIRE(fleet.unheld().empty());
  REQUIRE(first.Owned.size() == fleet.Cells.size());
  return first;
}

/// Runs the fleet until every cell has a holder, at most a minute, and returns
/// the time that took.
Span timeUntilHeld(LeaseFleet &fleet) {
  Instant start = fleet.Time.now();
  while (!fleet.unheld().empty() && fleet.Time.now() - start < 60s)
    fleet.run(50ms);
  return fleet.Time.now() - start;
}

} // namespace

TEST_CASE(
    "cells of a killed or frozen owner are claimed after lease and margin",
    "[lease]") {
  bool freeze = GENERATE(true, false);
  bool waitsForExpiry = GENERATE(true, false);
  LeaseFleet fleet(1);
  fleet.Switches.Drift = 0;
  auto &first = startTwo(fleet);
  if (freeze)
    fleet.pause(first);
  else
    fleet.kill(first);
  if (waitsForExpiry) {
    // Just before the lease and the margin have passed since the last renewal,
    // no other host has claimed a cell.
    fleet.run(9900ms);
    REQUIRE(fleet.Current["entry-2"]->Owned.empty());
  }
  auto &second = *fleet.Current["entry-2"];
  auto start = fleet.Time.now();
  while (second.Owned.size() < fleet.Cells.size() &&
         fleet.Time.now() - start < 60s)
    fleet.run(50ms);
  // Lease and margin, up to one round until the expiry is noticed, and three
  // table operations.
  REQUIRE(fleet.Time.now() - start <= (waitsForExpiry ? 2200ms : 12100ms));
  if (freeze) {
    fleet.resume(first);
    for (const auto &cell : fleet.Cells)
      REQUIRE_FALSE(first.Manager->holds(cell));
    fleet.run(5s);
    REQUIRE(first.Owned.empty());
    // The resumed host has a new incarnation and claims no cell that is held.
    REQUIRE(first.Manager->nodes().size() == 2);
  }
  REQUIRE(fleet.Violations.empty());
}

TEST_CASE("a leaving node releases its cells at once and stays listed",
          "[lease]") {
  LeaseFleet fleet(1);
  auto &first = startTwo(fleet);
  bool released = false;
  first.Manager->release([&] { released = true; });
  REQUIRE(fleet.unheld().size() == fleet.Cells.size());
  REQUIRE(timeUntilHeld(fleet) <= 1200ms);
  REQUIRE(released);
  fleet.run(20s);
  auto nodes = fleet.Current["entry-2"]->Manager->nodes();
  REQUIRE(nodes.size() == 2);
  REQUIRE(nodes.front().Leaving);
  bool retired = false;
  first.Manager->retire([&] { retired = true; });
  fleet.run(2s);
  REQUIRE(retired);
  REQUIRE(fleet.Current["entry-2"]->Manager->nodes().size() == 1);
  REQUIRE(fleet.Violations.empty());
}

TEST_CASE("a release completes although requests or answers were lost",
          "[lease]") {
  LeaseFleet fleet(1);
  auto &first = startTwo(fleet);
  bool applied = GENERATE(true, false);
  (applied ? fleet.Table.Faults.LoseAnswer : fleet.Table.Faults.LoseRequest) =
      1;
  first.Manager->release([] {});
  fleet.run(3s);
  fleet.Table.Faults = {};
  fleet.run(3s);
  REQUIRE(fleet.unheld().empty());
  REQUIRE(fleet.holder(fleet.Cells.front()) == fleet.Current["entry-2"]);
}

TEST_CASE("a claim whose answer was lost is found by reading the cell's row",
          "[lease]") {
  bool readBack = GENERATE(true, false);
  LeaseSettings settings;
  settings.ScanInterval = 1h;
  LeaseFleet fleet(1, settings);
  fleet.Switches.ReadBack = readBack;
  auto &host = fleet.start("entry-1");
  fleet.LoseCellAnswers = true;
  fleet.run(4s);
  REQUIRE(fleet.Table.Rows.contains("cell/" + fleet.Cells.front()));
  REQUIRE(host.Owned.size() == (readBack ? fleet.Cells.size() : 0));
  for (const auto &[cell, epoch] : host.Owned)
    REQUIRE(epoch == 1);
}

TEST_CASE("an owner that renews between the read and the mark of its row keeps "
          "its cells",
          "[lease]") {
  bool written = GENERATE(true, false);
  LeaseFleet fleet(1);
  fleet.Switches.Drift = 0;
  fleet.Switches.FenceIsWritten = written;
  auto &first = startTwo(fleet);
  fleet.pause(first);
  // The owner resumes when the successor has read its row, and renews before
  // the successor's mark takes effect.
  fleet.BeforeFence = [&] {
    fleet.resume(first);
    auto node = lease_rows::nodeKey("entry-1");
    auto row = fleet.Table.Rows[node];
    first.Manager->round(fleet.Cells);
    while (fleet.Table.Rows[node].Version == row.Version)
      fleet.Time.advance(1ms);
    fleet.Time.advance(20ms);
  };
  fleet.run(30s);
  REQUIRE(fleet.Violations.empty() == written);
  if (written)
    REQUIRE(first.Owned.size() == fleet.Cells.size());
}

TEST_CASE("an owner keeps its cells through an outage of the table",
          "[lease]") {
  LeaseFleet fleet(1);
  auto &first = startTwo(fleet);
  fleet.Table.Down = true;
  fleet.run(600s);
  REQUIRE(fleet.unheld().size() == fleet.Cells.size());
  for (const auto &cell : fleet.Cells)
    REQUIRE(first.Manager->modeOf(cell) == LeaseMode::Doubtful);
  REQUIRE(fleet.Current["entry-2"]->Manager->nodes().size() == 2);
  fleet.Table.Down = false;
  fleet.run(3s);
  REQUIRE(fleet.unheld().empty());
  REQUIRE(first.Owned.size() == fleet.Cells.size());
  REQUIRE(fleet.Current["entry-2"]->Owned.empty());
}

TEST_CASE("a restarted node does not own the cells of its earlier incarnation",
          "[lease]") {
  LeaseFleet fleet(1);
  fleet.Switches.Drift = 0;
  auto &first = startTwo(fleet);
  bool frozen = GENERATE(true, false);
  if (frozen)
    fleet.pause(first);
  else
    fleet.kill(first);
  auto &restarted = fleet.start("entry-1");
  fleet.run(9s);
  REQUIRE(restarted.Owned.empty());
  fleet.run(6s);
  REQUIRE(fleet.unheld().empty());
  if (frozen) {
    fleet.resume(first);
    fleet.run(5s);
    REQUIRE(first.Manager->isSuperseded());
    REQUIRE_FALSE(restarted.Manager->isSuperseded());
  }
  REQUIRE(fleet.Violations.empty());
}

TEST_CASE("a cell stays with its live owner when nodes join", "[lease]") {
  LeaseFleet fleet(1);
  auto &first = startTwo(fleet);
  for (int it = 3; it < 10; ++it)
    fleet.start("entry-" + std::to_string(it));
  fleet.run(60s);
  REQUIRE(first.Owned.size() == fleet.Cells.size());
}

TEST_CASE("rows received from other nodes make scans unnecessary", "[lease]") {
  LeaseSettings settings;
  settings.ScanInterval = 1h;
  LeaseFleet fleet(1, settings);
  fleet.Switches.Drift = 0;
  auto &first = fleet.start("entry-1");
  fleet.run(3s);
  auto &second = fleet.start("entry-2");
  auto runWithGossip = [&](Span span) {
    for (Span it{}; it < span; it += 1s) {
      fleet.run(1s);
      if (auto self = first.Manager->self(); self && !first.Dead)
        second.Manager->onNodeRow(*self);
    }
  };
  runWithGossip(60s);
  auto counts = second.Manager->counts();
  REQUIRE(counts.Scans == 2);
  REQUIRE(counts.Gets == 1);
  REQUIRE(counts.Commits <= counts.Rounds + 1);
  REQUIRE(second.Manager->nodes().size() == 2);
  SECTION("released cells are claimed when their rows are received") {
    first.Manager->release([] {});
    fleet.run(100ms);
    second.Manager->onNodeRow(*first.Manager->self());
    for (const auto &cell : fleet.Cells)
      second.Manager->onCellRow(cell, *first.Manager->cell(cell));
    fleet.run(100ms);
    REQUIRE(second.Owned.size() == fleet.Cells.size());
  }
  SECTION("the cells of a dead owner are claimed after one read of its row") {
    fleet.kill(first);
    runWithGossip(15s);
    REQUIRE(second.Owned.size() == fleet.Cells.size());
    REQUIRE(second.Manager->counts().Gets == 2);
  }
}

TEST_CASE("rows of dead nodes are removed after RowRetention", "[lease]") {
  LeaseSettings settings;
  settings.RowRetention = 60s;
  LeaseFleet fleet(1, settings);
  fleet.Switches.Drift = 0;
  fleet.kill(startTwo(fleet));
  fleet.run(50s);
  REQUIRE(fleet.Table.Rows.contains("node/entry-1"));
  fleet.run(30s);
  REQUIRE_FALSE(fleet.Table.Rows.contains("node/entry-1"));
}

TEST_CASE("nodes that start together share the cells if there is a settle time",
          "[lease]") {
  bool settle = GENERATE(true, false);
  LeaseSettings settings;
  settings.SettleTime = settle ? 3s : 0s;
  LeaseFleet fleet(1, settings);
  constexpr std::size_t each = 20;
  for (std::size_t it = 0; it < 7 * each; ++it)
    fleet.Cells.push_back("c/" + std::to_string(it));
  for (int it = 0; it < 7; ++it) {
    fleet.start("entry-" + std::to_string(it));
    fleet.run(200ms);
  }
  fleet.run(10s);
  REQUIRE(fleet.unheld().empty());
  std::size_t maxOwned = 0;
  for (const auto &host : fleet.Hosts)
    maxOwned = std::max(maxOwned, host->Owned.size());
  REQUIRE((maxOwned < 2 * each) == settle);
}
