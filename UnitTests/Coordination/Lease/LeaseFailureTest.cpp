#include "UnitTests/Coordination/Lease/LeaseFleet.h"

#include <catch2/catch.hpp>

using namespace hemlockglade;
using namespace hemlockglade::test;
using namespace std::chrono_literals;

namespace {

/// Two hosts; the first owns all cells.
LeaseHost &startTwo(LeaseFleet &fleet) {
  auto &first = fleet.start("entry-1");
  fleet.run(3s);
  fleet.start("entry-2");
  fleet.run(3s);
  REQUIRE(fleet.unheld().empty());
  REQUIRE(first.Owned.size() == fleet.Cells.size());
  return first;
}

/// Time until every cell has a holder again, at most a minute.
Span gap(LeaseFleet &fleet) {
  Instant start = fleet.Time.now();
  while (!fleet.unheld().empty() && fleet.Time.now() - start < 60s)
    fleet.run(50ms);
  return fleet.Time.now() - start;
}

} // namespace

TEST_CASE("a killed or frozen owner is replaced after lease and margin",
          "[lease]") {
  bool freeze = GENERATE(true, false);
  bool waiting = GENERATE(true, false);
  LeaseFleet fleet(1);
  fleet.Switches.Drift = 0;
  auto &first = startTwo(fleet);
  if (freeze)
    fleet.pause(first);
  else
    fleet.kill(first);
  if (waiting) {
    // Just short of lease + margin after the last renewal nobody took it.
    fleet.run(9900ms);
    REQUIRE(fleet.Current["entry-2"]->Owned.empty());
  }
  auto &second = *fleet.Current["entry-2"];
  auto start = fleet.Time.now();
  while (second.Owned.size() < fleet.Cells.size() &&
         fleet.Time.now() - start < 60s)
    fleet.run(50ms);
  // Lease + margin, a round until it is noticed, and three answers.
  REQUIRE(fleet.Time.now() - start <= (waiting ? 2200ms : 12100ms));
  if (freeze) {
    fleet.wake(first);
    for (const auto &cell : fleet.Cells)
      REQUIRE_FALSE(first.Keeper->holds(cell));
    fleet.run(5s);
    REQUIRE(first.Owned.empty());
    // It comes back as a new incarnation and takes nothing that is held.
    REQUIRE(first.Keeper->nodes().size() == 2);
  }
  REQUIRE(fleet.Broken.empty());
}

TEST_CASE("a leaving node hands over at once and stays listed", "[lease]") {
  LeaseFleet fleet(1);
  auto &first = startTwo(fleet);
  bool told = false;
  first.Keeper->release([&] { told = true; });
  REQUIRE(fleet.unheld().size() == fleet.Cells.size());
  REQUIRE(gap(fleet) <= 1200ms);
  REQUIRE(told);
  fleet.run(20s);
  auto nodes = fleet.Current["entry-2"]->Keeper->nodes();
  REQUIRE(nodes.size() == 2);
  REQUIRE(nodes.front().Leaving);
  bool retired = false;
  first.Keeper->retire([&] { retired = true; });
  fleet.run(2s);
  REQUIRE(retired);
  REQUIRE(fleet.Current["entry-2"]->Keeper->nodes().size() == 1);
  REQUIRE(fleet.Broken.empty());
}

TEST_CASE("a release is finished though its answers are lost", "[lease]") {
  LeaseFleet fleet(1);
  auto &first = startTwo(fleet);
  bool applied = GENERATE(true, false);
  (applied ? fleet.Table.Faults.LoseAnswer : fleet.Table.Faults.LoseRequest) =
      1;
  first.Keeper->release([] {});
  fleet.run(3s);
  fleet.Table.Faults = {};
  fleet.run(3s);
  REQUIRE(fleet.unheld().empty());
  REQUIRE(fleet.holder(fleet.Cells.front()) == fleet.Current["entry-2"]);
}

TEST_CASE("a claim whose answer was lost is found by reading back", "[lease]") {
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

TEST_CASE("a renewal between a taker's read and its mark wins", "[lease]") {
  bool written = GENERATE(true, false);
  LeaseFleet fleet(1);
  fleet.Switches.Drift = 0;
  fleet.Switches.FenceIsWritten = written;
  auto &first = startTwo(fleet);
  fleet.pause(first);
  // The owner wakes when the taker has read its row, and renews in time.
  fleet.BeforeFence = [&] {
    fleet.wake(first);
    auto node = lease_rows::nodeKey("entry-1");
    auto row = fleet.Table.Rows[node];
    first.Keeper->round(fleet.Cells);
    while (fleet.Table.Rows[node].Version == row.Version)
      fleet.Time.advance(1ms);
    fleet.Time.advance(20ms);
  };
  fleet.run(30s);
  REQUIRE(fleet.Broken.empty() == written);
  if (written)
    REQUIRE(first.Owned.size() == fleet.Cells.size());
}

TEST_CASE("a store that is down takes no cell from its owner", "[lease]") {
  LeaseFleet fleet(1);
  auto &first = startTwo(fleet);
  fleet.Table.Down = true;
  fleet.run(600s);
  REQUIRE(fleet.unheld().size() == fleet.Cells.size());
  for (const auto &cell : fleet.Cells)
    REQUIRE(first.Keeper->modeOf(cell) == LeaseMode::Doubtful);
  REQUIRE(fleet.Current["entry-2"]->Keeper->nodes().size() == 2);
  fleet.Table.Down = false;
  fleet.run(3s);
  REQUIRE(fleet.unheld().empty());
  REQUIRE(first.Owned.size() == fleet.Cells.size());
  REQUIRE(fleet.Current["entry-2"]->Owned.empty());
}

TEST_CASE("a restarted node does not own what its former self owned",
          "[lease]") {
  LeaseFleet fleet(1);
  fleet.Switches.Drift = 0;
  auto &first = startTwo(fleet);
  bool frozen = GENERATE(true, false);
  if (frozen)
    fleet.pause(first);
  else
    fleet.kill(first);
  auto &again = fleet.start("entry-1");
  fleet.run(9s);
  REQUIRE(again.Owned.empty());
  fleet.run(6s);
  REQUIRE(fleet.unheld().empty());
  if (frozen) {
    fleet.wake(first);
    fleet.run(5s);
    REQUIRE(first.Keeper->superseded());
    REQUIRE_FALSE(again.Keeper->superseded());
  }
  REQUIRE(fleet.Broken.empty());
}

TEST_CASE("a cell stays with its live owner when nodes come", "[lease]") {
  LeaseFleet fleet(1);
  auto &first = startTwo(fleet);
  for (int it = 3; it < 10; ++it)
    fleet.start("entry-" + std::to_string(it));
  fleet.run(60s);
  REQUIRE(first.Owned.size() == fleet.Cells.size());
}

TEST_CASE("gossip stands in for scans", "[lease]") {
  LeaseSettings settings;
  settings.ScanInterval = 1h;
  LeaseFleet fleet(1, settings);
  fleet.Switches.Drift = 0;
  auto &first = fleet.start("entry-1");
  fleet.run(3s);
  auto &second = fleet.start("entry-2");
  auto talk = [&](Span span) {
    for (Span it{}; it < span; it += 1s) {
      fleet.run(1s);
      if (auto self = first.Keeper->self(); self && !first.Dead)
        second.Keeper->onNodeRow(*self);
    }
  };
  talk(60s);
  auto counts = second.Keeper->counts();
  REQUIRE(counts.Scans == 2);
  REQUIRE(counts.Gets == 1);
  REQUIRE(counts.Commits <= counts.Rounds + 1);
  REQUIRE(second.Keeper->nodes().size() == 2);
  SECTION("a handover is told") {
    first.Keeper->release([] {});
    fleet.run(100ms);
    second.Keeper->onNodeRow(*first.Keeper->self());
    for (const auto &cell : fleet.Cells)
      second.Keeper->onCellRow(cell, *first.Keeper->cell(cell));
    fleet.run(100ms);
    REQUIRE(second.Owned.size() == fleet.Cells.size());
  }
  SECTION("silence is checked with one read and one write an owner") {
    fleet.kill(first);
    talk(15s);
    REQUIRE(second.Owned.size() == fleet.Cells.size());
    REQUIRE(second.Keeper->counts().Gets == 2);
  }
}

TEST_CASE("rows of dead nodes are removed after their time", "[lease]") {
  LeaseSettings settings;
  settings.RowKeep = 60s;
  LeaseFleet fleet(1, settings);
  fleet.Switches.Drift = 0;
  fleet.kill(startTwo(fleet));
  fleet.run(50s);
  REQUIRE(fleet.Table.Rows.contains("node/entry-1"));
  fleet.run(30s);
  REQUIRE_FALSE(fleet.Table.Rows.contains("node/entry-1"));
}

TEST_CASE("nodes that start together share the cells", "[lease]") {
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
  std::size_t most = 0;
  for (const auto &host : fleet.Hosts)
    most = std::max(most, host->Owned.size());
  REQUIRE((most < 2 * each) == settle);
}
