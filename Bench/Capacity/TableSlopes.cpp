#include "HeapCount.h"
#include "Slope.h"
#include "Slopes.h"

#include "UnitTests/Coordination/Lease/LeaseFigures.h"

namespace hemlockglade::bench {

namespace {

using namespace hemlockglade::test;
using namespace std::chrono_literals;

constexpr int RunningMs = 20;

/// A claim store with a table in memory, in virtual time.
struct ClaimWorld {
  VirtualTime Time;
  FakeTable Table{Time, 1};
  std::shared_ptr<ClaimStore> Store;

  explicit ClaimWorld(Span window) {
    ClaimSettings settings;
    settings.Group.Window = window;
    Store = std::make_shared<ClaimStore>(settings, "entry-1", Table.hooks(),
                                         hooks());
  }

  ClaimHooks hooks() {
    ClaimHooks out;
    out.WallMs = [this] { return Time.now().count() / 1000; };
    out.After = [this](Span delay, std::function<void()> call) {
      Time.after(delay, std::move(call));
    };
    return out;
  }

  void claim(std::size_t number) {
    auto key = std::to_string(number);
    Store->claim(
        {"labels", key, "body", key}, [this](const ClaimAnswer &answer) {
          if (answer.Result != ClaimResult::Claimed)
            return;
          Time.after(std::chrono::milliseconds(RunningMs), [this, answer] {
            Store->record(answer.Ticket, Outcome::Complete);
          });
        });
  }
};

/// Returns the transactions per second of one claim store that claims keys and
/// records their outcomes at the given rate.
double claimWrites(Span window, std::size_t perSecond) {
  constexpr std::size_t Seconds = 20;
  ClaimWorld world(window);
  Span pause(static_cast<std::int64_t>(1e6 / static_cast<double>(perSecond)));
  for (std::size_t it = 0; it < perSecond * Seconds; ++it) {
    world.claim(it);
    world.Time.advance(pause);
  }
  world.Time.advance(5s);
  return static_cast<double>(world.Table.Writes) / Seconds;
}

/// Returns the processor time of `n` claims with their outcomes, including that
/// of the fake table.
double claimMicros(std::size_t n) {
  return microsOf([n] {
    ClaimWorld world(2ms);
    for (std::size_t it = 0; it < n; ++it) {
      world.claim(it);
      world.Time.advance(500us);
    }
    world.Time.advance(5s);
  });
}

double claimsInFlightBytes(std::size_t n) {
  ClaimWorld world(2ms);
  std::vector<TableCallback<std::uint64_t>> held;
  auto table = world.Table.hooks();
  table.Commit = [&held](const TableTransaction &,
                         TableCallback<std::uint64_t> done) {
    held.push_back(std::move(done));
  };
  held.reserve(n);
  auto before = heapBytes();
  auto claimStore = std::make_shared<ClaimStore>(ClaimSettings{}, "entry-1",
                                                 table, world.hooks());
  for (std::size_t it = 0; it < n; ++it) {
    auto key = std::to_string(it);
    claimStore->claim({"labels", key, "body", key}, [](const ClaimAnswer &) {});
  }
  return heapBytes() - before;
}

/// Returns the processor time of one round of a lease manager with `n` rows of
/// other nodes and of cells, including the fake table's copies of the rows.
double leaseRoundMicros(std::size_t n, Span scanEvery) {
  constexpr int Rounds = 10;
  VirtualTime time;
  FakeTable table(time, 1);
  std::vector<std::string> cells;
  for (std::size_t it = 0; it < n; ++it) {
    auto number = std::to_string(it);
    NodeRecord node{"entry-" + number, "incarnation-" + number + "-1",
                    "10.20.30.40:8000", "10.20.30.40:8001", "hall-a"};
    CellRecord cell{node.Name, 1, node.Incarnation, {}, {}};
    cells.push_back("assistant/" + number);
    table.apply({"node" + number,
                 {{lease_rows::nodeKey(node.Name), 0,
                   lease_rows::write(node, "a-" + number)}}});
    table.apply({"cell" + number,
                 {{lease_rows::cellKey(cells.back()), 0,
                   lease_rows::write(cell, "a-" + number)}}});
  }
  LeaseSettings settings;
  settings.ScanInterval = scanEvery;
  LeaseHooks hooks;
  hooks.Now = [&time] { return time.now(); };
  hooks.OnOwned = [](const std::string &, Epoch) {};
  hooks.OnLost = [](const std::string &) {};
  NodeRecord self{"entry-x", "incarnation-x", "c", "p", "hall-a"};
  auto manager =
      std::make_shared<LeaseManager>(settings, self, table.hooks(), hooks);
  manager->round(cells);
  time.advance(100ms);
  return microsOf([&] {
           for (int it = 0; it < Rounds; ++it) {
             manager->round(cells);
             time.advance(100ms);
           }
         }) /
         Rounds;
}

FigureSetup gossipSetup(std::size_t nodes, std::size_t cells) {
  FigureSetup setup;
  setup.Gossip = true;
  setup.Round = 1s;
  setup.Scan = 60s;
  setup.Nodes = static_cast<int>(nodes);
  setup.Cells = static_cast<int>(cells);
  return setup;
}

void measureIdle(std::ostream &out) {
  Slope reads{"leases idle, told by gossip, all nodes together",
              "reads/s",
              "nodes",
              planned::Nodes,
              {}};
  auto writes = reads;
  writes.Unit = "writes/s";
  auto rows = reads;
  rows.Unit = "rows read/s";
  for (std::size_t n : {10, 25, 50, 100}) {
    FigureFleet fleet(1, gossipSetup(n, n));
    auto figures = fleet.measure(120s);
    auto size = static_cast<double>(n);
    reads.Points.push_back({size, figures.Reads / figures.Seconds});
    writes.Points.push_back({size, figures.Writes / figures.Seconds});
    rows.Points.push_back({size, figures.RowsRead / figures.Seconds});
  }
  print(out, reads);
  print(out, writes);
  print(out, rows);
}

void measureFailover(std::ostream &out) {
  constexpr std::size_t Nodes = 10;
  Slope reads{"failover, told by gossip", "reads", "cells lost", 1, {}};
  auto writes = reads;
  writes.Unit = "writes";
  for (std::size_t cells : {10, 40, 80, 160}) {
    FigureFleet fleet(2, gossipSetup(Nodes, cells));
    auto figures = fleet.measureFailover(Departure::Killed);
    auto lost = static_cast<double>(fleet.CellsLost);
    reads.Points.push_back({lost, figures.Reads});
    writes.Points.push_back({lost, figures.Writes});
  }
  print(out, reads);
  print(out, writes);
}

} // namespace

void measureTable(std::ostream &out) {
  measureIdle(out);
  measureFailover(out);
  auto rounds = [&out](const char *what, Span every) {
    measureSlope(out, {what, "us", "nodes and cells", planned::Nodes, {}},
                 {50, 200, 580},
                 [every](std::size_t n) { return leaseRoundMicros(n, every); });
  };
  rounds("lease round that scans", Span{});
  rounds("lease round that does not scan", 60s);
  auto claims = [&out](const char *what, Span window) {
    measureSlope(out, {what, "writes/s", "claims/s", 39, {}}, {2, 10, 39, 160},
                 [window](std::size_t n) { return claimWrites(window, n); });
  };
  claims("claims of one book, window 2 ms", 2ms);
  claims("claims of one book, window 50 ms", 50ms);
  claims("claims of one book, window 200 ms", 200ms);
  measureSlope(out, {"claim with its outcome", "us", "claims", 0, {}},
               {1000, 4000, 16000}, &claimMicros);
  measureSlope(out, {"claim in flight", "bytes", "claims", 100, {}},
               {1000, 4000, 16000}, &claimsInFlightBytes);
}

} // namespace hemlockglade::bench
