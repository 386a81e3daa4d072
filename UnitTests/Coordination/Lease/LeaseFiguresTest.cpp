#include "UnitTests/Coordination/Lease/LeaseFigures.h"

#include <catch2/catch.hpp>
#include <cstdio>

using namespace hemlockglade;
using namespace hemlockglade::test;
using namespace std::chrono_literals;

namespace {

constexpr int Seeds = 20;

FigureSetup shortLease() {
  FigureSetup out;
  out.Duration = 3s;
  out.Margin = 300ms;
  out.Renew = 900ms;
  out.Scan = 300ms;
  out.Round = 100ms;
  return out;
}

/// The settings of a large deployment: rows are sent between nodes, and each
/// node scans once a minute.
FigureSetup gossiping(FigureSetup setup, int nodes) {
  setup.Gossip = true;
  setup.Scan = 60s;
  setup.Nodes = nodes;
  setup.Cells = nodes;
  return setup;
}

struct Range {
  double Min = 1e9;
  double Mean = 0;
  double Max = 0;

  void add(double it) {
    Min = std::min(Min, it);
    Mean += it / Seeds;
    Max = std::max(Max, it);
  }
};

Range timeWithoutOwner(const FigureSetup &setup, Departure how) {
  Range out;
  for (int seed = 1; seed <= Seeds; ++seed) {
    FigureFleet fleet(seed, setup);
    out.add(fleet.measureFailover(how).Seconds);
  }
  return out;
}

Figures idle(const FigureSetup &setup) {
  FigureFleet fleet(1, setup);
  auto span = setup.Gossip ? 60s : 30s;
  auto out = fleet.measure(span);
  double nodeSeconds = out.Seconds * setup.Nodes;
  return {out.Reads / nodeSeconds, out.Writes / nodeSeconds,
          out.RowsRead / nodeSeconds, out.Seconds};
}

/// Cells and table operations of a failover, the mean over all seeds.
struct Failover {
  double Cells = 0;
  double Reads = 0;
  double Writes = 0;
};

Failover meanFailover(const FigureSetup &setup, int seeds = Seeds) {
  Failover out;
  for (int seed = 1; seed <= seeds; ++seed) {
    FigureFleet fleet(seed, setup);
    auto it = fleet.measureFailover(Departure::Killed);
    out.Cells += static_cast<double>(fleet.CellsLost) / seeds;
    out.Reads += it.Reads / seeds;
    out.Writes += it.Writes / seeds;
  }
  return out;
}

void print(const char *name, const Range &it) {
  std::printf("%-44s least %6.2f mean %6.2f most %6.2f s\n", name, it.Min,
              it.Mean, it.Max);
}

void print(const char *name, int nodes, const Figures &it) {
  std::printf("%-24s nodes %4d reads %8.3f writes %8.3f rows %10.2f\n", name,
              nodes, it.Reads, it.Writes, it.RowsRead);
}

void print(const char *name, int nodes, const Failover &it) {
  std::printf("%-24s nodes %4d cells %.2f reads %.2f writes %.2f\n", name,
              nodes, it.Cells, it.Reads, it.Writes);
}

} // namespace

TEST_CASE("the time for which a cell has no owner is bounded", "[lease]") {
  auto longLease = FigureSetup{};
  REQUIRE(timeWithoutOwner(longLease, Departure::Killed).Max <= 12.0);
  REQUIRE(timeWithoutOwner(longLease, Departure::Frozen).Max <= 12.0);
  REQUIRE(timeWithoutOwner(longLease, Departure::Released).Max <= 1.6);
  REQUIRE(timeWithoutOwner(shortLease(), Departure::Killed).Max <= 4.0);
  REQUIRE(timeWithoutOwner(shortLease(), Departure::Frozen).Max <= 4.0);
  REQUIRE(timeWithoutOwner(shortLease(), Departure::Released).Max <= 0.7);
}

TEST_CASE("the rate of an idle node's table operations is bounded", "[lease]") {
  auto small = idle(FigureSetup{});
  REQUIRE(small.Writes <= 0.34);
  REQUIRE(small.Reads <= 2.1);
  for (int nodes : {7, 50}) {
    auto large = idle(gossiping(FigureSetup{}, nodes));
    REQUIRE(large.Writes <= 0.34);
    REQUIRE(large.Reads <= 0.04);
  }
}

TEST_CASE("a failover takes at most two reads and two writes per cell, and one "
          "more of each",
          "[lease]") {
  for (bool gossip : {false, true}) {
    auto setup = gossip ? gossiping(FigureSetup{}, 7) : FigureSetup{};
    auto it = meanFailover(setup);
    // Per cell at most one read of the owner's row, one write that marks it as
    // ended, the claim, and a read of the mark if another successor wrote it
    // first.
    REQUIRE(it.Reads <= 2 * it.Cells + 1);
    REQUIRE(it.Writes <= 2 * it.Cells + 1);
  }
}

// Prints the figures of docs/benchmarks/recovery.md.
TEST_CASE("prints lease operations and failover times", "[.figures]") {
  FigureSetup longLease;
  struct Scenario {
    const char *Name;
    Departure How;
  };
  for (auto it : {Scenario{"killed", Departure::Killed},
                  Scenario{"frozen", Departure::Frozen},
                  Scenario{"released", Departure::Released}}) {
    std::printf("%s\n", it.Name);
    print("  lease 10 s, scans", timeWithoutOwner(longLease, it.How));
    print("  lease 10 s, gossip",
          timeWithoutOwner(gossiping(longLease, 7), it.How));
    print("  lease 3 s, scans", timeWithoutOwner(shortLease(), it.How));
    print("  lease 3 s, gossip",
          timeWithoutOwner(gossiping(shortLease(), 7), it.How));
  }
  for (int nodes : {3, 7, 50}) {
    auto setup = longLease;
    setup.Nodes = setup.Cells = nodes;
    print("idle, scans, 10 s", nodes, idle(setup));
    print("failover, scans, 10 s", nodes, meanFailover(setup));
  }
  print("idle, scans, 3 s", 7, idle(shortLease()));
  for (int nodes : {3, 7, 50, 200}) {
    auto setup = gossiping(longLease, nodes);
    setup.Round = nodes > 50 ? Span(1s) : setup.Round;
    print("idle, gossip, 10 s", nodes, idle(setup));
    print("failover, gossip, 10 s", nodes,
          meanFailover(setup, nodes > 50 ? 1 : Seeds));
    std::fflush(stdout);
  }
}

TEST_CASE("prints lease operations of 580 nodes", "[.large]") {
  auto setup = gossiping(FigureSetup{}, 580);
  setup.Round = 1s;
  print("idle, gossip, 10 s", setup.Nodes, idle(setup));
}
