#include "UnitTests/Coordination/CheckMany.h"
#include "UnitTests/Coordination/Decision/CoreWorld.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace hemlockglade;
using namespace hemlockglade::test;

namespace {

CoreWorld::Shape anyShape() {
  CoreWorld::Shape shape;
  shape.Seed = *rc::gen::arbitrary<std::uint64_t>();
  shape.Replicas = *anyIn(1U, 6U);
  shape.Slots = *anyIn(1U, 5U);
  shape.Batch = *anyIn(1U, 6U);
  shape.Adapters = *anyIn(2U, 20U);
  shape.Faults = *rc::gen::element(0U, 5U, 15U, 40U);
  return shape;
}

} // namespace

TEST_CASE("random orders of events break no invariant", "[core]") {
  REQUIRE(rc::check([] {
    CellCoreSettings settings;
    settings.Objective = *rc::gen::element(0.0, 0.5, 1.0);
    settings.QueueLimit = *rc::gen::element(3U, 2000U);
    CoreWorld world(anyShape(), settings);
    world.run(*anyIn(1U, 400U));
    for (const auto &it : world.broken())
      RC_LOG(it);
    RC_ASSERT(world.broken().empty());
  }));
}

TEST_CASE("the same events give the same actions", "[core]") {
  REQUIRE(rc::check([] {
    auto shape = anyShape();
    CoreWorld first(shape);
    CoreWorld second(shape);
    first.run(100);
    second.run(100);
    RC_ASSERT(first.hash() == second.hash());
  }));
}

TEST_CASE("the checks notice what they are for", "[core]") {
  auto [mutant, message] = GENERATE(table<Mutant, std::string>({
      {Mutant::EarlyFinish, "batch exceeded"},
      {Mutant::ExtraSlot, "slots exceeded"},
      {Mutant::ExtraBatch, "batch exceeded"},
      {Mutant::EarlyLoadDone, "admitted where the adapter is not loaded"},
      {Mutant::NoPins, "evicted a pinned adapter"},
      {Mutant::NoDoubt, "evicted without a certain lease"},
      {Mutant::NoTicks, "request without an answer"},
      {Mutant::Doubled, "two answers"},
  }));
  std::set<std::string> seen;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    CoreWorld::Shape shape;
    shape.Seed = seed;
    shape.Fault = mutant;
    CoreWorld world(shape);
    world.run(200);
    seen.insert(world.broken().begin(), world.broken().end());
  }
  CAPTURE(seen);
  CHECK(seen.contains(message));
  if (mutant == Mutant::EarlyFinish)
    CHECK(seen.contains("evicted while serving"));
}
