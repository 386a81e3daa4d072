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

/// One load at a time on each replica. More would be unfair to the baseline:
/// slots that wait for a load hold nothing, and the stalls grow.
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

Policy makeOracle(const Workload &workload, const Trace &trace) {
  LruCoreSettings settings;
  settings.ParallelLoads = 1;
  settings.Worth = trueDemand(workload, trace);
  return policyOf(std::make_shared<LruCore>(settings));
}

Policy makeClairvoyant(const Workload &, const Trace &trace) {
  LruCoreSettings settings;
  settings.ParallelLoads = 1;
  settings.Worth = nextUses(trace);
  return policyOf(std::make_shared<LruCore>(settings));
}

Policy makeOurs(const Workload &, const Trace &) {
  return policyOf(std::make_shared<CellCore>(CellCoreSettings{}));
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
    {"oracle", "lru-turn that evicts by the true expected demand", makeOracle},
    {"clairvoyant", "lru-turn that evicts what is used again last",
     makeClairvoyant},
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
