#include "Hemlockglade/Coordination/Orders/CellPlacement.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <numeric>
#include <random>
#include <rapidcheck.h>

namespace hemlockglade::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string Service = "drafts";
const WeightsRef Model{"base", {}};
constexpr auto Step = milliseconds(50);
constexpr auto Window = seconds(5);

/// An engine with room for one base model.
struct Engine {
  ReplicaRecord Record;
  bool Holds = false;
  /// Its host has a copy on disk.
  bool HasCopy = false;
  std::uint64_t Count = 0;
  /// The base model is being loaded until this time.
  std::optional<Instant> LoadsUntil;
};

/// A cell, its owner's placement and from when on that owner may order.
struct Cell {
  std::unique_ptr<CellPlacement> Placement;
  std::map<std::string, Engine> Engines;
  Instant OrdersFrom{};
  int Generation = 0;
};

/// Several cells whose engines start empty. Owners receive loads elsewhere
/// late, owners change, and engines are replaced by empty ones.
struct LoadWorld {
  LoadWorld(std::uint64_t seed, std::uint32_t cells, int engines, double rate)
      : Random(seed), Rate(rate) {
    EngineSpec engine;
    engine.Slots = 8;
    engine.AdapterSlots = 2;
    engine.WeightsMb = 1000;
    engine.LoadsPerSecond = rate;
    engine.Models = {{Model.Model, 900, LoadTime, FromDisk, seconds(1), 1}};
    Plan = std::make_shared<const RoutePlan>(
        1, std::vector<Route>{},
        std::vector{ServiceSpec{Service, "/", 10, engine}}, CallerLimits{});
    Cells.resize(cells);
    for (std::uint32_t it = 0; it < cells; ++it) {
      newOwner(it);
      for (int n = 0; n < engines; ++n)
        addEngine(Cells[it]);
    }
  }

  std::uint64_t randomBelow(std::uint64_t n) { return Random() % n; }

  void newOwner(std::uint32_t cell) {
    CellPlacement::Settings settings;
    settings.CellCount = static_cast<std::uint32_t>(Cells.size());
    settings.CellIndex = cell;
    Cells[cell].Placement = std::make_unique<CellPlacement>(settings);
  }

  void addEngine(Cell &cell, bool hasCopy = false) {
    Engine engine;
    engine.HasCopy = hasCopy;
    engine.Record.Incarnation =
        ReplicaIncarnation("i-" + std::to_string(NextEngine++));
    engine.Record.Service = Service;
    engine.Record.Slots = 8;
    cell.Engines[engine.Record.Incarnation.text()] = engine;
  }

  std::size_t loadingCount(const Cell &cell) const {
    return static_cast<std::size_t>(std::count_if(
        cell.Engines.begin(), cell.Engines.end(),
        [](const auto &it) { return it.second.LoadsUntil.has_value(); }));
  }

  void injectFailures() {
    constexpr std::uint64_t FailurePeriod = 40;
    for (std::uint32_t it = 0; it < Cells.size(); ++it) {
      auto &cell = Cells[it];
      if (randomBelow(FailurePeriod * 5) == 0) {
        // The owner changes: the next one may order after the handover.
        newOwner(it);
        cell.OrdersFrom = Now + milliseconds(3250);
      }
      if (randomBelow(FailurePeriod) == 0 && !cell.Engines.empty()) {
        cell.Engines.erase(cell.Engines.begin());
        addEngine(cell, randomBelow(2) == 0);
      }
    }
  }

  void step() {
    Now += Step;
    std::vector<std::size_t> loadingCounts;
    for (auto &cell : Cells) {
      for (auto &[id, it] : cell.Engines)
        if (it.LoadsUntil && *it.LoadsUntil <= Now) {
          it.LoadsUntil.reset();
          it.Holds = true;
        }
      loadingCounts.push_back(loadingCount(cell));
    }
    ReportedLoads.push_back(std::move(loadingCounts));
    constexpr std::size_t ReportDelaySteps = 6;
    if (ReportedLoads.size() > ReportDelaySteps)
      ReportedLoads.pop_front();
    for (std::size_t it = 0; it < Cells.size(); ++it)
      run(it);
  }

  void run(std::size_t number) {
    auto &cell = Cells[number];
    std::vector<ReplicaPtr> records;
    for (const auto &[id, it] : cell.Engines)
      records.push_back(std::make_shared<const ReplicaRecord>(it.Record));
    cell.Placement->setReplicas(records, Plan, Now);
    const auto &reported = ReportedLoads.front();
    auto all =
        std::accumulate(reported.begin(), reported.end(), std::size_t{0});
    cell.Placement->setModelsElsewhere(all - reported[number]);
    for (const auto &it : cell.Placement->plan(Now >= cell.OrdersFrom, Now))
      execute(cell, it);
  }

  void execute(Cell &cell, const PlacementAction &action) {
    auto &engine = cell.Engines.at(action.Replica);
    if (action.Type == PlacementAction::Kind::Report) {
      HoldingsReport report;
      if (engine.Holds)
        report.Held[Model] = 1;
      report.Busy = engine.LoadsUntil.has_value();
      report.OrderCount = engine.Count;
      if (engine.HasCopy)
        report.Local.OnDisk.insert(Model.Model);
      cell.Placement->onReport(action.Replica, report, Now);
      return;
    }
    auto answer = OrderAnswer::Conflict;
    if (engine.Holds) {
      answer = OrderAnswer::Holds;
    } else if (!engine.LoadsUntil &&
               action.Order.ExpectedCount == engine.Count) {
      answer = OrderAnswer::Accepted;
      ++engine.Count;
      engine.LoadsUntil = Now + (engine.HasCopy ? FromDisk : LoadTime);
      if (!engine.HasCopy)
        Starts.push_back(Now);
    }
    constexpr std::uint64_t LostAnswerPeriod = 10;
    bool lost = randomBelow(LostAnswerPeriod) == 0;
    cell.Placement->onOrderAnswer(action.Replica, action.Order,
                                  lost ? OrderAnswer::Unknown : answer, Now);
  }

  /// Returns the number of loads that started in the window with the most
  /// starts.
  std::size_t maxStartsInWindow() const {
    std::size_t out = 0;
    for (auto it = Starts.begin(); it != Starts.end(); ++it)
      out = std::max(
          out, static_cast<std::size_t>(
                   std::upper_bound(it, Starts.end(), *it + Window) - it));
    return out;
  }

  std::mt19937_64 Random;
  double Rate;
  Span LoadTime = seconds(5);
  Span FromDisk = seconds(2);
  std::shared_ptr<const RoutePlan> Plan;
  std::vector<Cell> Cells;
  /// Number of loads in progress in each cell, in the last steps.
  std::deque<std::vector<std::size_t>> ReportedLoads;
  std::vector<Instant> Starts;
  Instant Now = seconds(1000);
  int NextEngine = 0;
};

/// Returns how many loads the weight store allows in a window: its rate, a
/// tenth more, and three.
double allowedStarts(double rate) { return rate * inSeconds(Window) * 1.1 + 3; }

} // namespace

TEST_CASE("cells that start together keep to the rate of base model loads",
          "[desk]") {
  auto cells = GENERATE(1U, 3U, 8U, 23U, 60U);
  auto rate = GENERATE(0.5, 1.0, 2.8, 17.0, 40.0);
  LoadWorld world(1, cells, 6, rate);
  constexpr int Steps = 600;
  for (int it = 0; it < Steps; ++it)
    world.step();
  INFO(cells << " cells, " << rate << " loads a second");
  CHECK(static_cast<double>(world.maxStartsInWindow()) <= allowedStarts(rate));
  CHECK(world.Starts.size() >= 4);
}

TEST_CASE(
    "base models with local copies are loaded without waiting for the store",
    "[desk]") {
  LoadWorld world(1, 3, 0, 1);
  constexpr int Engines = 8;
  for (auto &cell : world.Cells)
    for (int it = 0; it < Engines; ++it)
      world.addEngine(cell, true);
  // Three steps until the first orders are sent, and 2 s for the load.
  constexpr int Steps = 43;
  for (int it = 0; it < Steps; ++it)
    world.step();
  std::size_t holding = 0;
  for (const auto &cell : world.Cells)
    holding += static_cast<std::size_t>(
        std::count_if(cell.Engines.begin(), cell.Engines.end(),
                      [](const auto &it) { return it.second.Holds; }));
  // One answer of ten is lost, and its engine is sent the order again.
  CHECK(holding >= 20);
  CHECK(world.Starts.empty());
}

TEST_CASE("the rate of base model loads is kept under random failures",
          "[desk]") {
  REQUIRE(rc::check([] {
    auto seed = *rc::gen::arbitrary<std::uint64_t>();
    auto cells = *rc::gen::inRange(1U, 25U);
    auto engines = *rc::gen::inRange(1, 12);
    auto rate = *rc::gen::element(0.5, 1.0, 2.8, 8.0, 17.0, 40.0);
    LoadWorld world(seed, cells, engines, rate);
    constexpr int Steps = 500;
    for (int it = 0; it < Steps; ++it) {
      world.injectFailures();
      world.step();
    }
    RC_ASSERT(static_cast<double>(world.maxStartsInWindow()) <=
              allowedStarts(rate));
  }));
}

} // namespace hemlockglade::test
