#include "UnitTests/Coordination/Config/ConfigWorld.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace hemlockglade;
using namespace hemlockglade::test;

namespace {

constexpr std::uint64_t SchedulesPerCase = 10;
constexpr std::uint64_t SeedStride = 1'000'003;

std::string nodeName(std::uint64_t number) {
  return "entry-" + std::to_string(number);
}

ConfigChange adapterChange(std::uint64_t number, std::uint32_t current) {
  AdapterConfig it{
      "adapter-" + std::to_string(number), "assistant", current, {current}};
  return {it, current % 5 == 0};
}

/// A few changes; with a probability of 0.1 more than fit into a row.
std::vector<ConfigChange> someChanges(ConfigWorld &world) {
  std::vector<ConfigChange> out;
  auto n = world.chance(0.1) ? 30 : 1 + world.Random() % 3;
  for (std::uint64_t it = 0; it < n; ++it)
    out.push_back(adapterChange(
        world.Random() % 40, static_cast<std::uint32_t>(world.Random() % 99)));
  return out;
}

/// One random step of a schedule: a fault, a restart or proposals, then a few
/// seconds pass.
void step(ConfigWorld &world, int &commands) {
  auto any = [&] { return nodeName(world.Random() % 4); };
  switch (world.Random() % 8) {
  case 0:
    world.Table.Down = world.chance(0.5);
    break;
  case 1:
    world.Nodes[any()].Isolated ^= true;
    break;
  case 2:
    world.start(any());
    break;
  case 3:
    if (commands > 0)
      world.propose(any(), 'c' + std::to_string(world.Random() % commands));
    break;
  default: {
    // Two operators, often against the same revision at different nodes.
    for (int it = 0; it < 2; ++it) {
      auto node = any();
      world.propose(node, 'c' + std::to_string(commands++), someChanges(world));
    }
  }
  }
  world.run(static_cast<int>(world.Random() % 4));
}

/// Runs one schedule and returns the violations found.
std::vector<std::string>
schedule(std::uint64_t seed,
         DisabledMechanism disabled = DisabledMechanism::None) {
  ConfigWorld world(seed, disabled);
  world.Table.Faults.NotSent = 0.05;
  world.Table.Faults.LoseAnswer = 0.15;
  world.Table.Faults.LoseRequest = 0.1;
  world.Table.Faults.MaxDelay = std::chrono::milliseconds(400);
  world.ObjectLoss = 0.02;
  world.ReplayProbability = 0.2;
  for (int it = 0; it < 4; ++it)
    world.start(nodeName(it));
  int commands = 0;
  for (int it = 0; it < 40; ++it)
    step(world, commands);
  world.settle();
  return world.Violations;
}

/// Two nodes that have revision 3 in force.
struct SettledWorld : ConfigWorld {
  explicit SettledWorld(DisabledMechanism disabled = DisabledMechanism::None)
      : ConfigWorld(7, disabled) {
    start("entry-0");
    start("entry-1");
    for (int it = 0; it < 3; ++it) {
      propose("entry-0", "c" + std::to_string(it), {adapterChange(it, 1)});
      run(3);
    }
    REQUIRE(Nodes["entry-0"].InForce == 3);
  }
};

} // namespace

TEST_CASE("the configuration stays consistent under any schedule of failures",
          "[config]") {
  REQUIRE(rc::check("no violations are found", [] {
    auto seed = *rc::gen::arbitrary<std::uint64_t>();
    for (std::uint64_t it = 0; it < SchedulesPerCase; ++it) {
      auto violations = schedule(seed + it * SeedStride);
      if (!violations.empty())
        RC_FAIL(violations.front());
    }
  }));
}

TEST_CASE("schedules find violations when a mechanism is disabled",
          "[config]") {
  for (auto disabled :
       {DisabledMechanism::CompareAndSet, DisabledMechanism::ReadBack,
        DisabledMechanism::PeerRevisions}) {
    bool found = false;
    for (std::uint64_t seed = 1; seed <= 10 && !found; ++seed)
      found = !schedule(seed, disabled).empty();
    INFO(static_cast<int>(disabled));
    REQUIRE(found);
  }
}

TEST_CASE("a retry of a command whose answer was lost returns its revision",
          "[config]") {
  ConfigWorld world(1);
  world.start("entry-0");
  world.Table.Faults.LoseAnswer = 0.7;
  world.propose("entry-0", "c", {adapterChange(1, 1)});
  world.run(20);
  world.settle();
  world.propose("entry-0", "c");
  world.run(1);
  auto &results = world.Commands["c"].Results;
  REQUIRE(results.size() == 2);
  REQUIRE(results.back());
  REQUIRE(results.back()->Number == 1);
  REQUIRE(world.Nodes["entry-0"].Replicator->current()->number() == 1);
  REQUIRE(world.Violations.empty());
}

TEST_CASE("of two commands on one base the second gets a conflict",
          "[config]") {
  SettledWorld world;
  world.propose("entry-0", "first", {adapterChange(1, 2)}, 3);
  world.propose("entry-1", "second", {adapterChange(2, 2)}, 3);
  world.run(2);
  auto &first = world.Commands["first"].Results;
  auto &second = world.Commands["second"].Results;
  REQUIRE((first.size() == 1 && second.size() == 1));
  REQUIRE(first[0].has_value() != second[0].has_value());
  auto &loser = first[0] ? second[0] : first[0];
  std::string winner = first[0] ? "first" : "second";
  REQUIRE(loser.error().Kind == ConfigErrorKind::Conflict);
  REQUIRE(loser.error().First ==
          ConfigCommitRecord{4, winner, "operator-of-" + winner});
  world.settle();
  REQUIRE(world.Violations.empty());
}

TEST_CASE("a node that starts while the table is down fetches from peers",
          "[config]") {
  for (auto disabled : {DisabledMechanism::None, DisabledMechanism::Peers}) {
    SettledWorld world(disabled);
    world.Table.Down = true;
    auto &late = world.start("entry-2");
    world.run(10);
    bool canFetch = disabled == DisabledMechanism::None;
    REQUIRE(late.Replicator->caughtUp() == canFetch);
    REQUIRE(late.InForce == (canFetch ? 3 : 0));
  }
}

TEST_CASE("proposals are refused when the table is behind the node",
          "[config]") {
  SettledWorld world;
  auto old = world.Table.Rows;
  world.propose("entry-0", "c3", {adapterChange(9, 1)});
  world.run(15);
  world.Table.Rows = old;
  world.propose("entry-0", "c4", {adapterChange(9, 2)});
  // Based on the table's old revision, this would make a second revision 4.
  world.propose("entry-0", "c5", {adapterChange(9, 3)}, 3);
  world.run(30);
  for (const auto *id : {"c4", "c5"})
    REQUIRE(world.Commands[id].Results[0].error().Kind ==
            ConfigErrorKind::StoreBehind);
  REQUIRE(world.Nodes["entry-0"].InForce == 4);
  REQUIRE(world.Nodes["entry-1"].InForce == 4);
}

TEST_CASE("commits are refused when no snapshot can be written", "[config]") {
  ConfigWorld world(3);
  world.Settings.MaxRows = 12;
  world.ObjectLoss = 1;
  world.start("entry-0");
  for (int it = 0; it < 14; ++it) {
    world.propose("entry-0", "c" + std::to_string(it), {adapterChange(it, 1)});
    world.run(1);
  }
  REQUIRE(world.Nodes["entry-0"].InForce == 12);
  REQUIRE(world.Commands["c13"].Results[0].error().Kind ==
          ConfigErrorKind::Full);
  world.ObjectLoss = 0;
  REQUIRE(world.Violations.empty());
}

TEST_CASE("restarted nodes recover from the table and the snapshot",
          "[config]") {
  ConfigWorld world(5);
  world.start("entry-0");
  for (int it = 0; it < 11; ++it) {
    world.propose("entry-0", "c" + std::to_string(it), {adapterChange(it, 1)});
    world.run(1);
  }
  // The first rows are trimmed although the number of missing deltas is small.
  REQUIRE_FALSE(world.Table.Rows.contains(configDeltaKey(1)));
  world.start("entry-0");
  world.start("entry-1");
  world.settle();
  REQUIRE(world.Violations.empty());
}
