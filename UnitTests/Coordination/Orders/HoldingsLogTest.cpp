#include "Hemlockglade/Coordination/Orders/HoldingsLog.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace hemlockglade::test {

namespace {

WeightsRef adapter(int n) { return {"m", "a" + std::to_string(n)}; }

/// What a node knows that takes each change on top of those before.
struct Follower {
  std::map<std::string, Residency> Known;
  std::uint64_t Told = 0;

  void hear(const HoldingsLog &log) {
    for (const auto &it : log.since(Told)) {
      auto &held = Known[it.Replica];
      if (it.Complete)
        held.clear();
      for (const auto &[weights, at] : it.Held)
        held[weights] = at;
      for (const auto &weights : it.Dropped)
        held.erase(weights);
    }
    Told = log.revision();
  }
};

} // namespace

TEST_CASE("a node is told only what has changed", "[holdings]") {
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
  // Who joins now hears all that is held, and nothing of what was dropped.
  auto all = log.since(0);
  CHECK(all[0].Complete);
  CHECK(all[0].Dropped.empty());
}

TEST_CASE("an entry that a node may have struck out is told again",
          "[holdings]") {
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

TEST_CASE("nodes that hear now and then know what the owner knows",
          "[holdings]") {
  bool held = rc::check([] {
    HoldingsLog log({3});
    std::map<std::string, Residency> truth;
    std::vector<Follower> followers(3);
    auto draw = [](int most) { return *rc::gen::inRange(0, most); };
    for (int step = 0; step < 80; ++step) {
      auto replica = "i-" + std::to_string(draw(3));
      auto weights = adapter(draw(9));
      if (draw(10) == 0)
        truth.erase(replica);
      else if (draw(2) == 0)
        truth[replica].erase(weights);
      else
        truth[replica][weights] = {std::uint64_t(draw(3)), {}, draw(2) == 0};
      std::set<std::string> names;
      for (const auto &[name, all] : truth)
        names.insert(name);
      log.keepOnly(names);
      for (const auto &[name, all] : truth)
        log.update(name, all);
      log.commit();
      auto &follower = followers[draw(3)];
      if (draw(15) == 0)
        follower = {};
      follower.hear(log);
      // A replica that is gone is another part's news.
      for (const auto &[name, all] : truth)
        RC_ASSERT(follower.Known[name] == all);
    }
  });
  CHECK(held);
}

} // namespace hemlockglade::test
