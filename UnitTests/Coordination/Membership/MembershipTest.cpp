#include "UnitTests/Coordination/Membership/MemberWorld.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace hemlockglade;
using namespace hemlockglade::test;
using namespace std::chrono_literals;

namespace {

/// Starts `n` nodes in `regions` regions and waits until they have found each
/// other.
void startNodes(MemberWorld &world, std::size_t n, std::size_t regions = 1) {
  for (std::size_t it = 0; it < n; ++it)
    world.start(it, "region-" + std::to_string(it % regions));
  world.until([&] { return world.agreed(); });
}

} // namespace

TEST_CASE("members find each other and detect a node that goes down",
          "[membership]") {
  for (std::size_t n : {2, 3, 7, 50}) {
    MemberWorld world(n);
    startNodes(world, n, n > 10 ? 3 : 1);
    REQUIRE(world.agreed());
    world.Nodes[MemberWorld::name(1)].Up = false;
    REQUIRE(world.until([&] { return world.agreed(); }) < 30s);
    REQUIRE(world.Faults.empty());
    // It restarts under its name, with an incarnation lower than its last.
    world.start(1, "region-" + std::to_string(n > 10), 1);
    REQUIRE(world.until([&] { return world.agreed(); }) < 30s);
  }
}

TEST_CASE("lost messages make no member dead", "[membership]") {
  // Without indirect probes and without time to refute, members become dead.
  auto deaths = [](std::uint64_t seed, std::size_t helpers, Span suspectTime) {
    MemberWorld world(seed);
    world.Settings.IndirectProbes = helpers;
    world.Settings.MinSuspectTime = world.Settings.SuspectTime = suspectTime;
    startNodes(world, 20);
    world.Loss = 0.2;
    std::size_t dead = 0;
    for (int it = 0; it < 120; ++it) {
      world.run(1s);
      for (const auto &[name, node] : world.Nodes) {
        for (const auto &record : node.Member->members())
          dead += record.State == MemberState::Dead;
      }
    }
    return dead;
  };
  for (std::uint64_t seed = 11; seed < 16; ++seed)
    REQUIRE(deaths(seed, 3, 1s) == 0);
  REQUIRE(deaths(11, 0, 1us) > 0);
}

namespace {

/// Whether any node's directory still has this node's address.
bool isListed(const MemberWorld &world, std::size_t number) {
  auto address = world.Nodes.at(MemberWorld::name(number)).Record.CallerAddress;
  return !world.all([&](const MemberWorld::Node &node) {
    auto answer =
        chooseAddresses({{}, 1000}, {"c", "", "", ""}, node.Member->members());
    auto end = answer.Addresses.end();
    return std::find(answer.Addresses.begin(), end, address) == end;
  });
}

} // namespace

TEST_CASE("a draining node leaves all directories within a few rounds",
          "[membership]") {
  for (bool announced : {true, false}) {
    MemberWorld world(3);
    if (!announced)
      world.Rewrite = [](MemberMessage &message) {
        for (auto &it : message.Members)
          it.Leaving = false;
      };
    startNodes(world, 50);
    REQUIRE(isListed(world, 7));
    world.at(7).leave();
    auto span = world.until([&] { return !isListed(world, 7); }, 10s);
    REQUIRE((span < 4s) == announced);
    world.at(7).depart();
    world.run(100ms);
    world.Nodes[MemberWorld::name(7)].Up = false;
    REQUIRE(world.until([&] { return world.agreed(); }) < 8s);
    REQUIRE(world.Faults.empty());
  }
}

TEST_CASE("a node that was paused suspects no other node", "[membership]") {
  MemberWorld world(4);
  startNodes(world, 7);
  auto &node = world.Nodes[MemberWorld::name(2)];
  node.Paused = true;
  world.run(40s);
  REQUIRE(world.seen(world.Nodes[MemberWorld::name(0)], MemberWorld::name(2)) ==
          MemberState::Dead);
  node.Paused = false;
  world.run(300ms);
  for (const auto &it : node.Member->members())
    REQUIRE(it.State == MemberState::Alive);
  REQUIRE(world.until([&] { return world.agreed(); }) < 30s);
}

namespace {

/// Whether every node has the nodes of its own region as alive, and those of
/// the other as alive, or not alive if the regions are partitioned.
bool hasExpectedStates(const MemberWorld &world, bool partitioned) {
  return world.all([&](const MemberWorld::Node &node) {
    for (const auto &it : node.Member->members()) {
      bool sameRegion = it.Region == node.Record.Region;
      bool alive = it.State == MemberState::Alive;
      if (alive != (sameRegion || !partitioned))
        return false;
    }
    return true;
  });
}

/// Partitions two regions for an hour and joins them again. Returns how often,
/// during the merge, a node had a node of its own region as dead or stopped.
std::size_t partitionForAnHour(MemberWorld &world) {
  startNodes(world, 24, 2);
  bool joined = false;
  world.Joined = [&](const std::string &a, const std::string &b) {
    return joined || a == b;
  };
  world.run(1h);
  REQUIRE(hasExpectedStates(world, true));
  joined = true;
  std::size_t flaps = 0;
  auto merged = [&] {
    for (const auto &[name, node] : world.Nodes) {
      for (const auto &it : node.Member->members())
        flaps += it.Region == node.Record.Region &&
                 it.State != MemberState::Alive &&
                 it.State != MemberState::Suspect;
    }
    return hasExpectedStates(world, false);
  };
  REQUIRE(world.until(merged) < 90s);
  return flaps;
}

} // namespace

TEST_CASE("a probe whose timeout passed during a pause causes no suspicion",
          "[membership]") {
  for (Span pause : {Span(0), Span(10s)}) {
    Instant now = 100s;
    std::vector<std::function<void()>> calls;
    MembershipHooks hooks;
    hooks.Now = [&] { return now; };
    hooks.After = [&](Span, auto call) { calls.push_back(call); };
    hooks.Ask = [](const auto &, auto, auto) {};
    hooks.Seeds = [] { return std::vector<std::string>(); };
    hooks.InForce = [] { return Revision{0}; };
    MembershipSettings settings;
    MemberRecord self;
    self.Name = "entry-0";
    MemberRecord peer;
    peer.Name = "entry-1";
    auto member = std::make_shared<Membership>(settings, self, hooks, 1);
    MemberMessage hello;
    hello.From = "entry-1";
    hello.Members.push_back(peer);
    member->serve(hello, [](const auto &) {});
    member->round();
    now += settings.ProbeTimeout + pause;
    auto timeouts = std::exchange(calls, {});
    for (auto &it : timeouts)
      it();
    now += 2 * settings.ProbeTimeout;
    for (auto &it : calls)
      it();
    REQUIRE(member->find("entry-1")->State ==
            (pause == Span(0) ? MemberState::Suspect : MemberState::Alive));
  }
}

TEST_CASE("regions merge again after a network partition of an hour",
          "[membership]") {
  MemberWorld world(5);
  REQUIRE(partitionForAnHour(world) == 0);
  REQUIRE(world.Faults.empty());
  // If the other region's reports of dead members were accepted without a
  // probe, members would change state back and forth.
  MemberWorld unverified(5);
  unverified.Rewrite = [](MemberMessage &message) {
    for (auto &it : message.Members) {
      if (it.State == MemberState::Dead)
        it.State = MemberState::Left;
    }
  };
  REQUIRE(partitionForAnHour(unverified) > 0);
}

TEST_CASE("cell owners and revisions reach every node", "[membership]") {
  MemberWorld world(6);
  startNodes(world, 30);
  world.at(3).announceCell({"assistant/0", "entry-3", 5});
  world.at(4).announceCell({"assistant/0", "entry-4", 4});
  world.Nodes[MemberWorld::name(9)].InForce = 17;
  world.at(9).watchRevision(17, world.Time.now() + 60s);
  auto known = [&] {
    return world.all([&](const MemberWorld::Node &node) {
      return node.Member->ownerOf("assistant/0") ==
             CellOwner{"assistant/0", "entry-3", 5};
    });
  };
  REQUIRE(world.until(known) < 10s);
  REQUIRE(world.at(9).lagging(17).size() == 29);
  for (auto &[name, node] : world.Nodes) {
    REQUIRE((name == MemberWorld::name(9) || world.Heard[name] == 17));
    node.InForce = 17;
  }
  REQUIRE(world.until([&] { return world.at(9).lagging(17).empty(); }) < 3s);
}

TEST_CASE("new cell owners spread at once and several share a message",
          "[membership]") {
  MemberWorld world(7);
  startNodes(world, 7);
  auto &announcer = world.Nodes[MemberWorld::name(3)];
  announcer.Bytes = 0;
  for (int it = 0; it < 20; ++it)
    world.at(3).announceCell({"assistant/" + std::to_string(it), "entry-3", 5});
  world.run(50ms);
  REQUIRE(world.all([](const MemberWorld::Node &node) {
    return node.Member->ownerOf("assistant/19").has_value();
  }));
  REQUIRE(announcer.Bytes < 8000);
}

TEST_CASE("bytes sent per node are bounded for any number of nodes",
          "[membership]") {
  constexpr std::uint64_t Seconds = 30;
  for (std::size_t n : {7, 50, 200}) {
    MemberWorld world(n);
    startNodes(world, n, n > 100 ? 3 : 1);
    for (auto &[name, node] : world.Nodes)
      node.Bytes = node.MaxRoundBytes = 0;
    // Many changes at once: a tenth of the nodes go down together.
    for (std::size_t it = 0; it < n / 10; ++it)
      world.Nodes[MemberWorld::name(it * 10)].Up = false;
    world.run(std::chrono::seconds(Seconds));
    for (const auto &[name, node] : world.Nodes) {
      REQUIRE(node.Bytes / Seconds < 8000);
      REQUIRE(node.MaxRoundBytes < 23000);
    }
  }
}

TEST_CASE("regions that merge again stay within the bound per round",
          "[membership]") {
  MemberWorld world(8);
  startNodes(world, 90, 3);
  bool joined = false;
  world.Joined = [&](const std::string &a, const std::string &b) {
    return joined || a == b;
  };
  world.run(5min);
  for (auto &[name, node] : world.Nodes)
    node.MaxRoundBytes = 0;
  joined = true;
  REQUIRE(world.until([&] { return hasExpectedStates(world, false); }) < 60s);
  world.run(5s);
  for (const auto &[name, node] : world.Nodes)
    REQUIRE(node.MaxRoundBytes < 23000);
}

TEST_CASE("nodes that start together find each other within seconds",
          "[membership]") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    MemberWorld world(seed);
    for (int it = 0; it < 20; ++it)
      world.start(it);
    REQUIRE(world.until([&] { return world.agreed(); }) < 15s);
  }
}

TEST_CASE("members agree after any schedule of failures", "[membership]") {
  REQUIRE(rc::check("after the failures have ended", [] {
    MemberWorld world(*rc::gen::arbitrary<std::uint64_t>());
    auto n = *rc::gen::inRange<std::size_t>(3, 10);
    startNodes(world, n, 2);
    bool partitioned = false;
    world.Joined = [&](const std::string &a, const std::string &b) {
      return !partitioned || a == b;
    };
    for (int it = 0; it < 12; ++it) {
      auto number = world.Random() % n;
      auto &node = world.Nodes[MemberWorld::name(number)];
      auto what = world.Random() % 6;
      if (what == 0)
        world.Loss = (world.Random() % 3) * 0.2;
      else if (what == 1)
        node.Paused = !node.Paused;
      else if (what == 2)
        partitioned = !partitioned;
      else if (what == 3 && node.Up)
        node.Up = false;
      else if (!node.Up)
        world.start(number, node.Record.Region);
      world.run(std::chrono::seconds(world.Random() % 15));
    }
    world.Loss = 0;
    partitioned = false;
    for (auto &[name, node] : world.Nodes)
      node.Paused = false;
    auto span = world.until([&] { return world.agreed(); });
    RC_ASSERT(span < Span(120s));
    RC_ASSERT(world.Faults.empty());
  }));
}
