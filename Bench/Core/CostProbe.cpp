#include "Bench/Core/CostProbe.h"

#include "Bench/Core/ObedientCore.h"
#include "Bench/Core/Popularity.h"
#include "Bench/Core/VirtualLoop.h"

#include <algorithm>
#include <chrono>
#include <malloc.h>

namespace hemlockglade::bench {

namespace {

/// Returns the bytes that the program has allocated and not freed.
double allocated() {
  auto info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

/// A core that records the duration of each of its calls.
class ProbedCore : public ObedientCore {
public:
  ProbedCore() {
    CallWrapper = [this](const std::function<void()> &call) {
      auto before = std::chrono::steady_clock::now();
      call();
      auto spent =
          std::chrono::nanoseconds(std::chrono::steady_clock::now() - before);
      Times.push_back(static_cast<std::uint32_t>(spent.count()));
    };
  }
  ProbedCore(const ProbedCore &) = delete;
  ProbedCore &operator=(const ProbedCore &) = delete;

  /// Returns the durations of the calls since the last `takeTimes`, in
  /// nanoseconds.
  std::vector<std::uint32_t> takeTimes() { return std::exchange(Times, {}); }

private:
  std::vector<std::uint32_t> Times;
};

constexpr std::uint32_t CellReplicas = 64;
constexpr std::uint32_t CellSlots = 8;
constexpr std::uint32_t CellBatch = 32;

void addCell(ProbedCore &core) {
  for (ReplicaKey it = 1; it <= CellReplicas; ++it)
    core.addReplica(it, CellSlots, CellBatch);
}

/// Calls `add` `n` times and returns the mean growth of memory in bytes.
template <typename F>
double bytesEach(std::uint32_t n, ProbedCore &core, F add) {
  core.takeTimes();
  double before = allocated();
  for (std::uint32_t it = 1; it <= n; ++it)
    add(it);
  core.takeTimes();
  return std::max(0.0, (allocated() - before) / n);
}

double bytesPerReplica() {
  ProbedCore core;
  return bytesEach(4096, core, [&core](std::uint32_t it) {
    core.addReplica(it, CellSlots, CellBatch);
  });
}

/// Each adapter is requested once, served, and evicted for a later one.
double bytesPerIdleAdapter() {
  ProbedCore core;
  addCell(core);
  return bytesEach(200000, core, [&core](std::uint32_t it) {
    core.request(it);
    core.advance(seconds(2));
  });
}

/// Each adapter stays resident without running requests.
double bytesPerLoadedAdapter() {
  constexpr std::uint32_t Adapters = 50000;
  ProbedCore core;
  core.addReplica(1, Adapters, CellBatch);
  return bytesEach(Adapters, core,
                   [&core](std::uint32_t it) { core.request(it); });
}

/// All requests run on one adapter.
nlohmann::json bytesPerRunningRequest() {
  constexpr std::uint32_t Requests = 100000;
  ProbedCore core;
  core.addReplica(1, CellSlots, Requests);
  core.request(1);
  double bytes = bytesEach(Requests, core,
                           [&core](std::uint32_t) { core.request(1, true); });
  return {{"bytes", bytes}, {"running", core.running()}};
}

/// All requests wait, since the batch of the only replica is full.
nlohmann::json bytesPerWaitingRequest() {
  ProbedCore core;
  core.addReplica(1, CellSlots, 1);
  core.request(1, true);
  double bytes =
      bytesEach(100000, core, [&core](std::uint32_t) { core.request(1); });
  return {{"bytes", bytes}, {"waiting", core.waiting()}};
}

double quantile(std::vector<std::uint32_t> &values, double part) {
  auto rank = static_cast<std::ptrdiff_t>(
      part * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + rank, values.end());
  return values[static_cast<std::size_t>(rank)];
}

/// Measures decisions for requests with Zipf-distributed adapters, after each
/// adapter was requested once.
nlohmann::json decisionTimes(std::uint32_t adapters) {
  ProbedCore core;
  addCell(core);
  for (AdapterKey it = 1; it <= adapters; ++it) {
    core.request(it);
    core.advance(seconds(0.1));
  }
  Random draw(1);
  Popularity popularity(adapters, 0, 1.0, draw);
  core.takeTimes();
  for (int it = 0; it < 100000; ++it) {
    core.request(popularity.draw(draw));
    core.advance(seconds(0.02));
  }
  auto times = core.takeTimes();
  return {{"adapters", adapters},
          {"decisions", times.size()},
          {"ns_p50", quantile(times, 0.5)},
          {"ns_p99", quantile(times, 0.99)},
          {"ns_p999", quantile(times, 0.999)}};
}

} // namespace

nlohmann::json measureCosts() {
  nlohmann::json out;
  out["bytes_per_replica"] = bytesPerReplica();
  out["bytes_per_idle_adapter"] = bytesPerIdleAdapter();
  out["bytes_per_loaded_adapter"] = bytesPerLoadedAdapter();
  out["per_running_request"] = bytesPerRunningRequest();
  out["per_waiting_request"] = bytesPerWaitingRequest();
  for (std::uint32_t it : {100U, 1000U, 10000U, 100000U})
    out["decision_times"].push_back(decisionTimes(it));
  return out;
}

} // namespace hemlockglade::bench
