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

/// As the large size would have it: gossip, and a scan a minute.
FigureSetup gossiping(FigureSetup setup, int nodes) {
  setup.Gossip = true;
  setup.Scan = 60s;
  setup.Nodes = nodes;
  setup.Cells = nodes;
  return setup;
}

struct Spread {
  double Least = 1e9;
  double Mean = 0;
  double Most = 0;

  void add(double it) {
    Least = std::min(Least, it);
    Mean += it / Seeds;
    Most = std::max(Most, it);
  }
};

Spread withoutOwner(const FigureSetup &setup, Going how) {
  Spread out;
  for (int seed = 1; seed <= Seeds; ++seed) {
    FigureFleet fleet(seed, setup);
    out.add(fleet.lose(how).Seconds);
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

/// Operations of a failover, the mean of all seeds.
struct Failover {
  double Cells = 0;
  double Reads = 0;
  double Writes = 0;
};

Failover failover(const FigureSetup &setup, int seeds = Seeds) {
  Failover out;
  for (int seed = 1; seed <= seeds; ++seed) {
    FigureFleet fleet(seed, setup);
    auto it = fleet.lose(Going::Killed);
    out.Cells += static_cast<double>(fleet.Lost) / seeds;
    out.Reads += it.Reads / seeds;
    out.Writes += it.Writes / seeds;
  }
  return out;
}

void print(const char *name, const Spread &it) {
  std::printf("%-44s least %6.2f mean %6.2f most %6.2f s\n", name, it.Least,
              it.Mean, it.Most);
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

TEST_CASE("time without an owner stays within its bounds", "[lease]") {
  auto longLease = FigureSetup{};
  REQUIRE(withoutOwner(longLease, Going::Killed).Most <= 12.0);
  REQUIRE(withoutOwner(longLease, Going::Frozen).Most <= 12.0);
  REQUIRE(withoutOwner(longLease, Going::Released).Most <= 1.6);
  REQUIRE(withoutOwner(shortLease(), Going::Killed).Most <= 4.0);
  REQUIRE(withoutOwner(shortLease(), Going::Frozen).Most <= 4.0);
  REQUIRE(withoutOwner(shortLease(), Going::Released).Most <= 0.7);
}

TEST_CASE("table operations of an idle node stay within bounds", "[lease]") {
  auto small = idle(FigureSetup{});
  REQUIRE(small.Writes <= 0.34);
  REQUIRE(small.Reads <= 2.1);
  for (int nodes : {7, 50}) {
    auto large = idle(gossiping(FigureSetup{}, nodes));
    REQUIRE(large.Writes <= 0.34);
    REQUIRE(large.Reads <= 0.04);
  }
}

TEST_CASE("a failover costs a few operations a cell", "[lease]") {
  for (bool gossip : {false, true}) {
    auto setup = gossip ? gossiping(FigureSetup{}, 7) : FigureSetup{};
    auto it = failover(setup);
    // For each cell at most a read and a mark of its owner, the claim, and
    // a read of the mark that another successor made first.
    REQUIRE(it.Reads <= 2 * it.Cells + 1);
    REQUIRE(it.Writes <= 2 * it.Cells + 1);
  }
}

// Prints the figures of docs/benchmarks/recovery.md.
TEST_CASE("figures of the leases", "[.figures]") {
  FigureSetup longLease;
  struct Named {
    const char *Name;
    Going How;
  };
  for (auto it :
       {Named{"killed", Going::Killed}, Named{"frozen", Going::Frozen},
        Named{"released", Going::Released}}) {
    std::printf("%s\n", it.Name);
    print("  lease 10 s, scans", withoutOwner(longLease, it.How));
    print("  lease 10 s, gossip",
          withoutOwner(gossiping(longLease, 7), it.How));
    print("  lease 3 s, scans", withoutOwner(shortLease(), it.How));
    print("  lease 3 s, gossip",
          withoutOwner(gossiping(shortLease(), 7), it.How));
  }
  for (int nodes : {3, 7, 50}) {
    auto setup = longLease;
    setup.Nodes = setup.Cells = nodes;
    print("idle, scans, 10 s", nodes, idle(setup));
    print("failover, scans, 10 s", nodes, failover(setup));
  }
  print("idle, scans, 3 s", 7, idle(shortLease()));
  for (int nodes : {3, 7, 50, 200}) {
    auto setup = gossiping(longLease, nodes);
    setup.Round = nodes > 50 ? Span(1s) : setup.Round;
    print("idle, gossip, 10 s", nodes, idle(setup));
    print("failover, gossip, 10 s", nodes,
          failover(setup, nodes > 50 ? 1 : Seeds));
    std::fflush(stdout);
  }
}

TEST_CASE("figures of the leases of 580 nodes", "[.large]") {
  auto setup = gossiping(FigureSetup{}, 580);
  setup.Round = 1s;
  print("idle, gossip, 10 s", setup.Nodes, idle(setup));
}
