#include "HeapCount.h"
#include "Slope.h"
#include "Slopes.h"

#include "Hemlockglade/Coordination/Decision/CellCore.h"

#include <limits>
#include <utility>

namespace hemlockglade::bench {

namespace {

constexpr std::uint32_t Slots = 8;
constexpr std::uint32_t Batch = 32;
/// Adapters of the planned size for each replica.
constexpr std::uint32_t AdaptersOfReplica = 4;
constexpr int Decisions = 20000;

CellCoreSettings unlimited() {
  CellCoreSettings out;
  out.QueueLimit = std::numeric_limits<std::uint32_t>::max();
  out.Queues.AdapterLimit = 0;
  out.Admission.RefuseInfeasible = false;
  return out;
}

/// A core whose orders are all carried out at once.
class DrivenCore {
public:
  DrivenCore() : Core(unlimited()) {
    drive(LeaseChanged{LeaseMode::Held});
    drive(TurnChanged{1, 1e6});
  }

  void addReplica(ReplicaKey key, std::uint32_t slots = Slots,
                  std::uint32_t batch = Batch) {
    ReplicaAdded event;
    event.Replica = key;
    event.Domain = key % 3 + 1;
    event.Slots = slots;
    event.Batch = batch;
    drive(event);
    drive(reportOf(key));
  }

  static ReplicaReport reportOf(ReplicaKey key) {
    ReplicaReport report;
    report.Replica = key;
    report.Incarnation = 1;
    return report;
  }

  /// Asks for an adapter; the request ends at once unless it is to run on.
  void request(AdapterKey adapter, bool runsOn = false) {
    RequestArrived event;
    event.Request = ++Requests;
    event.Adapter = adapter;
    event.Deadline = Now + std::chrono::hours(24);
    RunsOn = runsOn;
    drive(event);
  }

  void advance(Span span) {
    Now += span;
    drive(Tick{});
  }

  void drive(Event event) {
    if (auto *report = std::get_if<ReplicaReport>(&event))
      report->TakenAt = Now;
    std::vector<Action> actions;
    Core.handle(event, Now, actions);
    for (const auto &action : actions)
      std::visit([this](const auto &it) { apply(it); }, action);
  }

  std::size_t waiting() const { return Core.waiting(); }

private:
  void apply(const Admit &it) {
    if (!RunsOn)
      drive(RequestFinished{it.Request});
  }
  void apply(const Load &it) {
    drive(LoadDone{it.Replica, it.Adapter, it.Order});
  }
  void apply(const Evict &it) {
    drive(EvictDone{it.Replica, it.Adapter, false, it.Order});
  }
  void apply(const Refuse &) {}
  void apply(const CancelLoad &) {}

  CellCore Core;
  Instant Now = std::chrono::hours(1);
  RequestKey Requests = 0;
  bool RunsOn = false;
};

/// Bytes that a core of that many things holds beyond an empty one.
double bytesOf(std::size_t n,
               const std::function<void(DrivenCore &, std::size_t)> &fill) {
  auto before = heapBytes();
  DrivenCore core;
  fill(core, n);
  return heapBytes() - before;
}

void fillIdle(DrivenCore &core, std::size_t n) {
  for (ReplicaKey it = 1; it <= 16; ++it)
    core.addReplica(it);
  for (AdapterKey it = 1; it <= n; ++it) {
    core.request(it);
    core.advance(std::chrono::seconds(2));
  }
}

void fillLoaded(DrivenCore &core, std::size_t n) {
  core.addReplica(1, static_cast<std::uint32_t>(n));
  for (AdapterKey it = 1; it <= n; ++it)
    core.request(it);
}

void fillReplicas(DrivenCore &core, std::size_t n) {
  for (ReplicaKey it = 1; it <= n; ++it)
    core.addReplica(it);
}

void fillRunning(DrivenCore &core, std::size_t n) {
  core.addReplica(1, Slots, static_cast<std::uint32_t>(n));
  for (std::size_t it = 0; it < n; ++it)
    core.request(1, true);
}

void fillWaiting(DrivenCore &core, std::size_t n) {
  core.addReplica(1, Slots, 1);
  for (std::size_t it = 0; it <= n; ++it)
    core.request(1, true);
}

/// A cell with its share of the adapters, all asked for once.
void fillCell(DrivenCore &core, std::size_t replicas) {
  fillReplicas(core, replicas);
  auto adapters = static_cast<AdapterKey>(replicas * AdaptersOfReplica);
  for (AdapterKey it = 1; it <= adapters; ++it) {
    core.request(it);
    core.advance(std::chrono::milliseconds(100));
  }
}

double decisionMicros(std::size_t replicas) {
  DrivenCore core;
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
  DrivenCore core;
  fillCell(core, replicas);
  return microsOf([&core] {
           for (int it = 0; it < Decisions; ++it)
             core.advance(std::chrono::milliseconds(50));
         }) /
         Decisions;
}

double reportMicros(std::size_t replicas) {
  DrivenCore core;
  fillCell(core, replicas);
  auto report = DrivenCore::reportOf(1);
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
