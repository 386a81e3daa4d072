#include "PlanRuns.h"

#include "Hemlockglade/Coordination/Orders/CellPlacement.h"

#include <cmath>
#include <ctime>
#include <random>

namespace hemlockglade::bench {

namespace {

using std::chrono::milliseconds;

const std::string Service = "drafts";
const std::string Model = "base";
constexpr std::uint32_t AdapterSlots = 9;
constexpr int Adapters = 10'000;

/// Requests a second for each engine in a burst.
constexpr double RatePerEngine = 15;
/// Loads in progress for each engine that the store serves at full speed.
constexpr double LoadsPerEngine = 0.33;

/// An engine that carries orders out at once.
struct PlacedEngine {
  HeldWeights Held{{{Model, {}}, 1}};
  std::uint64_t Count = 0;

  OrderAnswer execute(const EngineOrder &order) {
    if (order.ExpectedCount != Count)
      return OrderAnswer::Conflict;
    ++Count;
    if (order.Kind == OrderKind::Unload) {
      Held.erase(order.Weights);
      return OrderAnswer::Holds;
    }
    Held[order.Weights] = order.Version;
    return OrderAnswer::Accepted;
  }
};

CellPlacement::Settings settingsFor(std::size_t engines, bool ranked) {
  CellPlacement::Settings out;
  out.RankLoads = ranked;
  out.Concurrency.Least = LoadsPerEngine * static_cast<double>(engines);
  return out;
}

/// A failure domain in virtual time.
struct PlannedCell {
  PlannedCell(std::size_t engines, bool ranked)
      : Placement(settingsFor(engines, ranked)) {
    EngineSpec engine;
    engine.Slots = 16;
    engine.AdapterSlots = AdapterSlots;
    engine.WeightsMb = 1000;
    engine.LoadsPerSecond = 1;
    engine.Models = {{Model, 900, std::chrono::seconds(5), {}, {}, 1}};
    auto plan = std::make_shared<const RoutePlan>(
        1, std::vector<Route>{},
        std::vector{ServiceSpec{Service, "/", 10, engine}}, CallerLimits{});
    std::vector<ReplicaPtr> records;
    for (std::size_t it = 0; it < engines; ++it) {
      ReplicaRecord record;
      record.Incarnation = ReplicaIncarnation("i-" + std::to_string(it));
      record.Service = Service;
      record.Slots = engine.Slots;
      record.Held = Engines[record.Incarnation.text()].Held;
      records.push_back(std::make_shared<const ReplicaRecord>(record));
    }
    Placement.setReplicas(records, plan, Now);
    constexpr double Exponent = 1.2;
    std::vector<double> weights;
    for (int it = 1; it <= Adapters; ++it)
      weights.push_back(std::pow(it, -Exponent));
    Zipf = std::discrete_distribution<int>(weights.begin(), weights.end());
  }

  void request() {
    WeightsRef weights{Model, "a" + std::to_string(Zipf(Random))};
    Placement.onDemand(Service, weights, 1, Now);
    for (const auto &[id, it] : Engines)
      if (it.Held.contains(weights))
        return;
    Placement.onWaiting(Service, weights, Now);
  }

  void execute(const std::vector<PlacementAction> &actions) {
    for (const auto &it : actions) {
      auto &engine = Engines.at(it.Replica);
      if (it.Type == PlacementAction::Kind::Order)
        Placement.onOrderAnswer(it.Replica, it.Order, engine.execute(it.Order),
                                Now);
      else
        Placement.onReport(
            it.Replica,
            HoldingsReport{engine.Held, {}, false, engine.Count, {}}, Now);
    }
  }

  Instant Now = std::chrono::seconds(1000);
  CellPlacement Placement;
  std::map<std::string, PlacedEngine> Engines;
  std::discrete_distribution<int> Zipf;
  std::mt19937_64 Random{1};
};

} // namespace

double threadMicros() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) * 1e6 +
         static_cast<double>(now.tv_nsec) / 1e3;
}

CallTimes planTimes(std::size_t engines, bool ranked) {
  constexpr auto Step = milliseconds(10);
  constexpr int Steps = 1000;
  // By then the slots are full.
  constexpr int FirstMeasured = 300;
  PlannedCell cell(engines, ranked);
  double perStep =
      RatePerEngine * static_cast<double>(engines) * inSeconds(Step);
  double due = 0;
  CallTimes out;
  for (int it = 0; it < Steps; ++it) {
    cell.Now += Step;
    for (due += perStep; due >= 1; --due)
      cell.request();
    auto before = threadMicros();
    auto actions = cell.Placement.plan(true, cell.Now);
    if (it >= FirstMeasured)
      out.push_back(threadMicros() - before);
    cell.execute(actions);
  }
  return out;
}

} // namespace hemlockglade::bench
