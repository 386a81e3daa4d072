#include "UnitTests/Coordination/CheckMany.h"
#include "UnitTests/Coordination/Decision/CoreSimulation.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace hemlockglade;
using namespace hemlockglade::test;

namespace {

CoreSimulation::Options anyOptions() {
  CoreSimulation::Options options;
  options.Seed = *rc::gen::arbitrary<std::uint64_t>();
  options.Replicas = *anyIn(1U, 6U);
  options.Slots = *anyIn(1U, 5U);
  options.Batch = *anyIn(1U, 6U);
  options.Adapters = *anyIn(2U, 20U);
  options.Faults = *rc::gen::element(0U, 5U, 15U, 40U);
  return options;
}

} // namespace

TEST_CASE("random sequences of events violate no invariant", "[core]") {
  REQUIRE(rc::check([] {
    CellCoreSettings settings;
    settings.Objective = *rc::gen::element(0.0, 0.5, 1.0);
    settings.QueueLimit = *rc::gen::element(3U, 2000U);
    CoreSimulation simulation(anyOptions(), settings);
    simulation.run(*anyIn(1U, 400U));
    for (const auto &it : simulation.violations())
      RC_LOG(it);
    RC_ASSERT(simulation.violations().empty());
  }));
}

TEST_CASE("the same events result in the same actions", "[core]") {
  REQUIRE(rc::check([] {
    auto options = anyOptions();
    CoreSimulation first(options);
    CoreSimulation second(options);
    first.run(100);
    second.run(100);
    RC_ASSERT(first.hash() == second.hash());
  }));
}

TEST_CASE("each injected fault is detected by its check", "[core]") {
  auto [fault, message] = GENERATE(table<InjectedFault, std::string>({
      {InjectedFault::EarlyFinish, "batch exceeded"},
      {InjectedFault::ExtraSlot, "slots exceeded"},
      {InjectedFault::ExtraBatch, "batch exceeded"},
      {InjectedFault::EarlyLoadDone,
       "admitted where the adapter is not loaded"},
      {InjectedFault::NoPins, "evicted a pinned adapter"},
      {InjectedFault::NoDoubtfulLease, "evicted without a certain lease"},
      {InjectedFault::NoTicks, "request without an answer"},
      {InjectedFault::DuplicateRequest, "two answers"},
  }));
  std::set<std::string> violations;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    CoreSimulation::Options options;
    options.Seed = seed;
    options.Fault = fault;
    CoreSimulation simulation(options);
    simulation.run(200);
    violations.insert(simulation.violations().begin(),
                      simulation.violations().end());
  }
  CAPTURE(violations);
  CHECK(violations.contains(message));
  if (fault == InjectedFault::EarlyFinish)
    CHECK(violations.contains("evicted while serving"));
}
