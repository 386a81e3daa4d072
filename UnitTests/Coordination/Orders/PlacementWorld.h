#pragma once

#include "Hemlockglade/Coordination/Orders/CellPlacement.h"

#include <set>

namespace hemlockglade::test {

inline const std::string Service = "drafts";
inline const std::string Model = "base";

inline WeightsRef adapter(int n) { return {Model, "a" + std::to_string(n)}; }

inline std::shared_ptr<const RoutePlan>
planWithSlots(std::uint32_t adapterSlots, double rate) {
  EngineSpec engine;
  engine.Slots = 8;
  engine.AdapterSlots = adapterSlots;
  engine.WeightsMb = 1000;
  engine.LoadsPerSecond = rate;
  engine.Models = {{Model, 900, std::chrono::seconds(5), {}, {}, 1}};
  ServiceSpec service{Service, "/", 10, engine};
  return std::make_shared<const RoutePlan>(
      1, std::vector<Route>{}, std::vector{service}, CallerLimits{});
}

/// An engine that executes orders as real engines do.
struct FakeEngine {
  ReplicaRecord Record;
  HeldWeights Held;
  std::uint64_t Count = 0;
  std::uint32_t AdapterSlots = 2;
  bool Crashed = false;
  std::size_t LoadCount = 0;

  OrderAnswer execute(const EngineOrder &order) {
    if (order.ExpectedCount != Count)
      return OrderAnswer::Conflict;
    bool holds = Held.contains(order.Weights);
    if (order.Kind == OrderKind::Unload) {
      if (holds)
        ++Count;
      Held.erase(order.Weights);
      return OrderAnswer::Holds;
    }
    if (holds && (order.Version == 0 || Held[order.Weights] >= order.Version))
      return OrderAnswer::Holds;
    ++Count;
    ++LoadCount;
    Held[order.Weights] = order.Version;
    std::size_t adapters = 0;
    for (const auto &[weights, version] : Held)
      adapters += weights.Adapter.empty() ? 0 : 1;
    Crashed = Crashed || adapters > AdapterSlots;
    return OrderAnswer::Accepted;
  }
};

struct PlacementWorld {
  explicit PlacementWorld(int replicas, std::uint32_t adapterSlots = 2,
                          double rate = 3,
                          const CellPlacement::Settings &settings = {})
      : Plan(planWithSlots(adapterSlots, rate)), Placement(settings) {
    for (int it = 0; it < replicas; ++it) {
      FakeEngine engine;
      engine.Record.Incarnation = ReplicaIncarnation("i-" + std::to_string(it));
      engine.Record.Service = Service;
      engine.Record.Slots = 8;
      engine.Held[{Model, {}}] = 1;
      engine.Record.Held = engine.Held;
      engine.AdapterSlots = adapterSlots;
      Engines[engine.Record.Incarnation.text()] = engine;
    }
    updateReplicas();
  }

  /// Returns the engines that hold an adapter.
  std::set<std::string> holdersOf(const WeightsRef &weights) const {
    std::set<std::string> out;
    for (const auto &[id, it] : Engines)
      if (it.Held.contains(weights))
        out.insert(id);
    return out;
  }

  void updateReplicas() {
    std::vector<ReplicaPtr> records;
    for (const auto &[id, it] : Engines)
      records.push_back(std::make_shared<const ReplicaRecord>(it.Record));
    Placement.setReplicas(records, Plan, Now);
  }

  /// Executes the planned actions. `outcome` returns what happens to each
  /// order: 0 for an answer, 1 for a lost answer, 2 for a lost order, which may
  /// be executed late.
  std::size_t runRound(const std::function<int()> &outcome = [] { return 0; }) {
    auto actions = Placement.plan(true, Now);
    for (const auto &it : actions) {
      auto &engine = Engines[it.Replica];
      if (it.Type == PlacementAction::Kind::Report) {
        Placement.onReport(
            it.Replica,
            HoldingsReport{engine.Held, {}, false, engine.Count, {}}, Now);
        continue;
      }
      auto result = outcome();
      auto answer =
          result == 2 ? OrderAnswer::Unknown : engine.execute(it.Order);
      if (result == 2)
        LateOrders.emplace_back(it.Replica, it.Order);
      Placement.onOrderAnswer(it.Replica, it.Order,
                              result ? OrderAnswer::Unknown : answer, Now);
    }
    return actions.size();
  }

  void runRounds(
      int n, const std::function<int()> &outcome = [] { return 0; }) {
    for (int it = 0; it < n; ++it) {
      Now += std::chrono::milliseconds(50);
      runRound(outcome);
    }
  }

  std::size_t copies(const WeightsRef &weights) const {
    std::size_t n = 0;
    for (const auto &[id, it] : Engines)
      n += it.Held.contains(weights) ? 1 : 0;
    return n;
  }

  Instant Now = std::chrono::seconds(1000);
  std::shared_ptr<const RoutePlan> Plan;
  std::map<std::string, FakeEngine> Engines;
  CellPlacement Placement;
  std::vector<std::pair<std::string, EngineOrder>> LateOrders;
};

} // namespace hemlockglade::test
