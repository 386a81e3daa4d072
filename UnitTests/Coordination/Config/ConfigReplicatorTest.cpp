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

/// A few changes; now and then so many that they don't fit a row.
std::vector<ConfigChange> someChanges(ConfigWorld &world) {
  std::vector<ConfigChange> out;
  auto n = world.chance(0.1) ? 30 : 1 + world.Random() % 3;
  for (std::uint64_t it = 0; it < n; ++it)
    out.push_back(adapterChange(
        world.Random() % 40, static_cast<std::uint32_t>(world.Random() % 99)));
  return out;
}

/// One step of a schedule: something fails, somebody proposes, time passes.
void step(ConfigWorld &world, int &commands) {
  auto any = [&] { return nodeName(world.Random() % 4); };
  switch (world.Random() % 8) {
  case 0:
    world.Table.Down = world.chance(0.5);
    break;
  case 1:
    world.Nodes[any()].Cut ^= true;
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

/// Runs one schedule and gives what was wrong with it.
std::vector<std::string> schedule(std::uint64_t seed,
                                  Without without = Without::Nothing) {
  ConfigWorld world(seed, without);
  world.Table.Faults.NotSent = 0.05;
  world.Table.Faults.LoseAnswer = 0.15;
  world.Table.Faults.LoseRequest = 0.1;
  world.Table.Faults.MaxDelay = std::chrono::milliseconds(400);
  world.ObjectLoss = 0.02;
  world.OldAnswers = 0.2;
  for (int it = 0; it < 4; ++it)
    world.start(nodeName(it));
  int commands = 0;
  for (int it = 0; it < 40; ++it)
    step(world, commands);
  world.settle();
  return world.Wrong;
}

/// A world of two nodes that agree on revision 3.
struct Settled : ConfigWorld {
  explicit Settled(Without without = Without::Nothing)
      : ConfigWorld(7, without) {
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

TEST_CASE("the configuration holds under any schedule of failures",
          "[config]") {
  REQUIRE(rc::check("nothing is found wrong", [] {
    auto seed = *rc::gen::arbitrary<std::uint64_t>();
    for (std::uint64_t it = 0; it < SchedulesPerCase; ++it) {
      auto wrong = schedule(seed + it * SeedStride);
      if (!wrong.empty())
        RC_FAIL(wrong.front());
    }
  }));
}

TEST_CASE("without its mechanisms the schedules find the fault", "[config]") {
  for (auto without :
       {Without::CompareAndSet, Without::ReadBack, Without::PeerRevisions}) {
    bool found = false;
    for (std::uint64_t seed = 1; seed <= 10 && !found; ++seed)
      found = !schedule(seed, without).empty();
    INFO(static_cast<int>(without));
    REQUIRE(found);
  }
}

TEST_CASE("an accepted command whose answer was lost is known by its id",
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
  REQUIRE(world.Nodes["entry-0"].Keeper->current()->number() == 1);
  REQUIRE(world.Wrong.empty());
}

TEST_CASE("the second of two operators hears of the first", "[config]") {
  Settled world;
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
  REQUIRE(world.Wrong.empty());
}

TEST_CASE("a node that starts while the store is down learns from peers",
          "[config]") {
  for (auto without : {Without::Nothing, Without::Peers}) {
    Settled world(without);
    world.Table.Down = true;
    auto &late = world.start("entry-2");
    world.run(10);
    bool learns = without == Without::Nothing;
    REQUIRE(late.Keeper->caughtUp() == learns);
    REQUIRE(late.InForce == (learns ? 3 : 0));
  }
}

TEST_CASE("a table that is older than what is in force changes nothing",
          "[config]") {
  Settled world;
  auto old = world.Table.Rows;
  world.propose("entry-0", "c3", {adapterChange(9, 1)});
  world.run(15);
  world.Table.Rows = old;
  world.propose("entry-0", "c4", {adapterChange(9, 2)});
  // Against the table's own revision it would make another fourth one.
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
  REQUIRE(world.Wrong.empty());
}

TEST_CASE("when all nodes start anew the table and the snapshot are enough",
          "[config]") {
  ConfigWorld world(5);
  world.start("entry-0");
  for (int it = 0; it < 11; ++it) {
    world.propose("entry-0", "c" + std::to_string(it), {adapterChange(it, 1)});
    world.run(1);
  }
  // The first rows are trimmed, yet the gap is small.
  REQUIRE_FALSE(world.Table.Rows.contains(configDeltaKey(1)));
  world.start("entry-0");
  world.start("entry-1");
  world.settle();
  REQUIRE(world.Wrong.empty());
}
