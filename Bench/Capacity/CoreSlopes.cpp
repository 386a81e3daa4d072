#include "HeapCount.h"
#include "Slope.h"
#include "Slopes.h"

#include "Bench/Core/ObedientCore.h"

namespace hemlockglade::bench {

namespace {

constexpr std::uint32_t Slots = 8;
constexpr std::uint32_t Batch = 32;
/// Adapters per replica in a deployment of the planned size.
constexpr std::uint32_t AdaptersOfReplica = 4;
constexpr int Decisions = 20000;

/// Returns the heap bytes of a core that `fill` has filled with `n` items.
double bytesOf(std::size_t n,
               const std::function<void(ObedientCore &, std::size_t)> &fill) {
  auto before = heapBytes();
  ObedientCore core;
  fill(core, n);
  return heapBytes() - before;
}

void fillIdle(ObedientCore &core, std::size_t n) {
  for (ReplicaKey it = 1; it <= 16; ++it)
    core.addReplica(it, Slots, Batch);
  for (AdapterKey it = 1; it <= n; ++it) {
    core.request(it);
    core.advance(std::chrono::seconds(2));
  }
}

void fillLoaded(ObedientCore &core, std::size_t n) {
  core.addReplica(1, static_cast<std::uint32_t>(n), Batch);
  for (AdapterKey it = 1; it <= n; ++it)
    core.request(it);
}

void fillReplicas(ObedientCore &core, std::size_t n) {
  for (ReplicaKey it = 1; it <= n; ++it)
    core.addReplica(it, Slots, Batch);
}

void fillRunning(ObedientCore &core, std::size_t n) {
  core.addReplica(1, Slots, static_cast<std::uint32_t>(n));
  for (std::size_t it = 0; it < n; ++it)
    core.request(1, true);
}

void fillWaiting(ObedientCore &core, std::size_t n) {
  core.addReplica(1, Slots, 1);
  for (std::size_t it = 0; it <= n; ++it)
    core.request(1, true);
}

/// Fills a cell with replicas and their share of the adapters, each of which is
/// requested once.
void fillCell(ObedientCore &core, std::size_t replicas) {
  fillReplicas(core, replicas);
  auto adapters = static_cast<AdapterKey>(replicas * AdaptersOfReplica);
  for (AdapterKey it = 1; it <= adapters; ++it) {
    core.request(it);
    core.advance(std::chrono::milliseconds(100));
  }
}

double decisionMicros(std::size_t replicas) {
  ObedientCore core;
  fillCell(core, replicas);
  auto adapters = replicas * AdaptersOfReplica;
  AdapterKey next = 0;
  return microsOf([&] {
           for (int it = 0; it < Decisions; ++it) {
             next = static_cast<AdapterKey>((next + 7919) % adapters);
             core.request(next + 1);
           }
         }) /
         Decisions;
}

double tickMicros(std::size_t replicas) {
  ObedientCore core;
  fillCell(core, replicas);
  return microsOf([&core] {
           for (int it = 0; it < Decisions; ++it)
             core.advance(std::chrono::milliseconds(50));
         }) /
         Decisions;
}

double reportMicros(std::size_t replicas) {
  ObedientCore core;
  fillCell(core, replicas);
  auto report = ObedientCore::reportOf(1);
  for (AdapterKey it = 1; it <= Slots; ++it)
    report.Resident.push_back({it, 0});
  return microsOf([&] {
           for (int it = 0; it < Decisions; ++it) {
             report.Replica = static_cast<ReplicaKey>(it % replicas + 1);
             core.drive(report);
           }
         }) /
         Decisions;
}

} // namespace

void measureCore(std::ostream &out) {
  auto bytes = [&out](const char *what, const char *by, double planned,
                      const std::vector<std::size_t> &sizes, auto fill) {
    measureSlope(out, {what, "bytes", by, planned, {}}, sizes,
                 [fill](std::size_t n) { return bytesOf(n, fill); });
  };
  bytes("core, idle adapter", "adapters", 86, {5000, 20000, 80000}, &fillIdle);
  bytes("core, loaded adapter", "adapters", 168, {5000, 20000, 80000},
        &fillLoaded);
  bytes("core, replica", "replicas", planned::ReplicasOfCell, {256, 1024, 4096},
        &fillReplicas);
  bytes("core, running request", "requests", planned::RunningOfNode,
        {5000, 20000, 80000}, &fillRunning);
  bytes("core, waiting request", "requests", 2000, {5000, 20000, 80000},
        &fillWaiting);
  std::vector<std::size_t> cells{8, 21, 64, 128};
  auto micros = [&](const char *what, auto value) {
    measureSlope(
        out, {what, "us", "replicas of the cell", planned::ReplicasOfCell, {}},
        cells, value);
  };
  micros("core, request admitted and ended", &decisionMicros);
  micros("core, tick", &tickMicros);
  micros("core, report of a replica", &reportMicros);
}

} // namespace hemlockglade::bench
