#include "Bench/Core/Baselines/FaultyPolicy.h"
#include "Bench/Core/Baselines/Foresight.h"
#include "Bench/Core/Baselines/LruCore.h"
#include "Bench/Core/Policy.h"
#include "Hemlockglade/Coordination/Decision/CellCore.h"

#include <memory>

namespace hemlockglade::bench {

namespace {

template <typename Core> Policy policyOf(std::shared_ptr<Core> core) {
  return [core = std::move(core)](const Event &event, Instant now,
                                  std::vector<Action> &actions) {
    core->handle(event, now, actions);
  };
}

/// Allows one load per replica on average. More would be unfair to the
/// baseline: slots that wait for a load are empty, which makes stalls longer.
Policy makeLru(const Workload &workload, const Trace &) {
  LruCoreSettings settings;
  settings.ParallelLoads = workload.replicas();
  return policyOf(std::make_shared<LruCore>(settings));
}

Policy makeLruTurn(const Workload &, const Trace &) {
  LruCoreSettings settings;
  settings.ParallelLoads = 1;
  return policyOf(std::make_shared<LruCore>(settings));
}

Policy makePlainOracle(const Workload &workload, const Trace &trace) {
  LruCoreSettings settings;
  settings.ParallelLoads = 1;
  settings.Worth = trueDemand(workload, trace);
  return policyOf(std::make_shared<LruCore>(settings));
}

Policy makePlainClairvoyant(const Workload &, const Trace &trace) {
  LruCoreSettings settings;
  settings.ParallelLoads = 1;
  settings.Worth = nextUses(trace);
  return policyOf(std::make_shared<LruCore>(settings));
}

/// Returns the core's settings for the workload's objective.
CellCoreSettings coreSettings(const Workload &workload) {
  CellCoreSettings out;
  out.Objective = workload.Objective == "batch" ? 1 : 0;
  return out;
}

Policy makeOurs(const Workload &workload, const Trace &) {
  return policyOf(std::make_shared<CellCore>(coreSettings(workload)));
}

Policy makeWithObjective(const Workload &workload, double objective) {
  auto settings = coreSettings(workload);
  settings.Objective = objective;
  return policyOf(std::make_shared<CellCore>(settings));
}

Policy makeOursStall(const Workload &workload, const Trace &) {
  return makeWithObjective(workload, 0);
}

Policy makeOursHalf(const Workload &workload, const Trace &) {
  return makeWithObjective(workload, 0.5);
}

Policy makeOursBatch(const Workload &workload, const Trace &) {
  return makeWithObjective(workload, 1);
}

Policy makeOursLru(const Workload &workload, const Trace &) {
  auto settings = coreSettings(workload);
  settings.Eviction.LeastRecentlyUsed = true;
  return policyOf(std::make_shared<CellCore>(settings));
}

Policy makeOracle(const Workload &workload, const Trace &trace) {
  CellCoreHooks hooks;
  hooks.Eviction.ValueOf = trueDemand(workload, trace);
  return policyOf(std::make_shared<CellCore>(coreSettings(workload), hooks));
}

Policy makeClairvoyant(const Workload &workload, const Trace &trace) {
  CellCoreHooks hooks;
  hooks.Eviction.ValueOf = nextUses(trace);
  return policyOf(std::make_shared<CellCore>(coreSettings(workload), hooks));
}

Policy makeFaultyLru(const Workload &workload, const Trace &trace) {
  return makeFaulty(makeLru(workload, trace));
}

constexpr PolicyEntry Policies[] = {
    {"lru",
     "least recently used, a load on each replica at once, fewest in flight, "
     "FIFO",
     makeLru},
    {"lru-turn", "lru with one load at a time", makeLruTurn},
    {"ours", "the decision core with the scenario's objective", makeOurs},
    {"ours-stall", "ours with short load stalls as its objective",
     makeOursStall},
    {"ours-half", "ours with the objective half way between the two",
     makeOursHalf},
    {"ours-batch", "ours with full batches as its objective", makeOursBatch},
    {"ours-lru", "ours that evicts the least recently used", makeOursLru},
    {"oracle", "ours that evicts by the true expected demand", makeOracle},
    {"clairvoyant", "ours that evicts what is used again last",
     makeClairvoyant},
    {"plain-oracle", "lru-turn that evicts by the true expected demand",
     makePlainOracle},
    {"plain-clairvoyant", "lru-turn that evicts what is used again last",
     makePlainClairvoyant},
    {"faulty", "lru that breaks its promises, to prove the checker",
     makeFaultyLru},
};

} // namespace

std::span<const PolicyEntry> policies() { return Policies; }

const PolicyEntry *findPolicy(std::string_view name) {
  for (const auto &it : Policies) {
    if (it.Name == name)
      return &it;
  }
  return nullptr;
}

} // namespace hemlockglade::bench
