#include "Hemlockglade/Coordination/Orders/HoldingsLog.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace hemlockglade::test {

namespace {

WeightsRef adapter(int n) { return {"m", "a" + std::to_string(n)}; }

/// A node's view, to which each received change is applied in turn.
struct Follower {
  std::map<std::string, Residency> Known;
  std::uint64_t Revision = 0;

  void receive(const HoldingsLog &log) {
    for (const auto &it : log.since(Revision)) {
      auto &held = Known[it.Replica];
      if (it.Complete)
        held.clear();
      for (const auto &[weights, at] : it.Held)
        held[weights] = at;
      for (const auto &weights : it.Dropped)
        held.erase(weights);
    }
    Revision = log.revision();
  }
};

} // namespace

TEST_CASE("a node receives only what has changed", "[holdings]") {
  HoldingsLog log;
  CHECK(log.update("i-1", {{adapter(1), {1, {}, false}}}));
  log.commit();
  auto first = log.since(0);
  REQUIRE(first.size() == 1);
  CHECK(first[0].Complete);
  CHECK_FALSE(log.update("i-1", {{adapter(1), {1, {}, false}}}));
  log.commit();
  CHECK(log.since(1).empty());
  CHECK(log.update("i-1", {{adapter(2), {1, {}, false}}}));
  log.commit();
  auto next = log.since(1);
  REQUIRE(next.size() == 1);
  CHECK_FALSE(next[0].Complete);
  CHECK(next[0].Held.size() == 1);
  CHECK(next[0].Held.contains(adapter(2)));
  CHECK(next[0].Dropped == std::vector<WeightsRef>{adapter(1)});
  // A node that joins now receives all that is held, and nothing of what was
  // dropped.
  auto all = log.since(0);
  CHECK(all[0].Complete);
  CHECK(all[0].Dropped.empty());
}

TEST_CASE("an entry that a node may have removed is sent again", "[holdings]") {
  HoldingsLog log;
  log.update("i-1", {{adapter(1), {1, {}, false}}});
  log.commit();
  log.markChanged("i-1", adapter(1));
  log.markChanged("i-1", adapter(2));
  log.markChanged("i-2", adapter(1));
  log.commit();
  auto again = log.since(1);
  REQUIRE(again.size() == 1);
  CHECK(again[0].Held.contains(adapter(1)));
  CHECK(again[0].Dropped.empty());
}

TEST_CASE("nodes that receive updates irregularly have the owner's state",
          "[holdings]") {
  bool held = rc::check([] {
    HoldingsLog log({3});
    std::map<std::string, Residency> expected;
    std::vector<Follower> followers(3);
    auto randomInt = [](int bound) { return *rc::gen::inRange(0, bound); };
    for (int step = 0; step < 80; ++step) {
      auto replica = "i-" + std::to_string(randomInt(3));
      auto weights = adapter(randomInt(9));
      if (randomInt(10) == 0)
        expected.erase(replica);
      else if (randomInt(2) == 0)
        expected[replica].erase(weights);
      else
        expected[replica][weights] = {
            std::uint64_t(randomInt(3)), {}, randomInt(2) == 0};
      std::set<std::string> names;
      for (const auto &[name, all] : expected)
        names.insert(name);
      log.keepOnly(names);
      for (const auto &[name, all] : expected)
        log.update(name, all);
      log.commit();
      auto &follower = followers[randomInt(3)];
      if (randomInt(15) == 0)
        follower = {};
      follower.receive(log);
      // Removed replicas are reported elsewhere.
      for (const auto &[name, all] : expected)
        RC_ASSERT(follower.Known[name] == all);
    }
  });
  CHECK(held);
}

} // namespace hemlockglade::test
