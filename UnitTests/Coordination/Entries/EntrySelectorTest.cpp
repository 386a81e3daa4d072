#include "Hemlockglade/Coordination/Entries/ServingEntries.h"

#include "UnitTests/Coordination/CheckMany.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <set>

namespace hemlockglade::test {

namespace {

using std::chrono::seconds;

constexpr HostCapacity Strong{0.5, 200};
constexpr HostCapacity Weak{0.12, 20};

std::vector<EntryCandidate> hosts(std::size_t strong, std::size_t weak) {
  std::vector<EntryCandidate> out;
  out.reserve(strong + weak);
  for (std::size_t n = 0; n < strong; ++n)
    out.push_back({"s" + std::to_string(n), "", Strong});
  for (std::size_t n = 0; n < weak; ++n)
    out.push_back({"w" + std::to_string(n), "", Weak});
  return out;
}

/// Load of this many requests a second, each with a response of 10 kB.
EntryLoad requests(double perSecond) { return {perSecond, perSecond * 10'000}; }

std::vector<EntryCandidate> choose(const std::vector<EntryCandidate> &ready,
                                   double perSecond) {
  EntrySelector selector({});
  return selector.choose(ready, requests(perSecond), seconds(1));
}

} // namespace

TEST_CASE("a small load is served by the few strongest nodes", "[entries]") {
  auto chosen = choose(hosts(3, 36), 100);
  REQUIRE(chosen.size() == 3);
  for (const auto &it : chosen)
    CHECK(it.Node.front() == 's');
}

// No host may get more than its maximum share of load, whatever capacity the
// other hosts have.
TEST_CASE("a load that few weak hosts cannot carry is shared by more",
          "[entries]") {
  double perSecond = GENERATE(50, 100, 200, 400);
  std::size_t strong = GENERATE(0, 3);
  auto chosen = choose(hosts(strong, 60), perSecond);
  EntrySelector::Settings setup;
  auto each = requests(perSecond / static_cast<double>(chosen.size()));
  for (const auto &it : chosen)
    CHECK(setup.Cost.shareOf(it.Host, each) <= setup.MaxShare);
}

TEST_CASE("a load that is too large for all nodes is shared by all",
          "[entries]") {
  CHECK(choose(hosts(3, 36), 1e6).size() == 39);
}

TEST_CASE("the number of chosen nodes grows at once and shrinks after a delay",
          "[entries]") {
  EntrySelector selector({});
  auto ready = hosts(0, 40);
  auto maxCount = selector.choose(ready, requests(300), seconds(1)).size();
  CHECK(maxCount > 3);
  CHECK(selector.choose(ready, requests(1), seconds(5)).size() == maxCount);
  CHECK(selector.choose(ready, requests(1), seconds(12)).size() == 3);
  CHECK(selector.choose(ready, requests(300), seconds(13)).size() == maxCount);
}

TEST_CASE("the same nodes are chosen whatever the order of the candidates",
          "[entries]") {
  CHECK(checkMany("order of candidates", 100, [] {
    auto ready = hosts(*rc::gen::inRange<std::size_t>(0, 5),
                       *rc::gen::inRange<std::size_t>(0, 40));
    auto perSecond = *rc::gen::inRange(0, 1000);
    auto first = choose(ready, perSecond);
    std::reverse(ready.begin(), ready.end());
    RC_ASSERT(choose(ready, perSecond) == first);
  }));
}

// Whichever nodes are lost, in whatever order: the chosen ones are ready, and
// there are enough of them.
TEST_CASE("random failures and returns leave callers with nodes that are ready",
          "[entries]") {
  CHECK(checkMany("losses", 100, [] {
    auto all = hosts(*rc::gen::inRange<std::size_t>(0, 4),
                     *rc::gen::inRange<std::size_t>(1, 30));
    auto perSecond = *rc::gen::inRange(0, 400);
    EntrySelector selector({});
    std::set<std::string> lost;
    Instant now = seconds(1);
    for (int step = 0; step < 12; ++step) {
      now += seconds(1);
      for (const auto &it : all)
        if (*rc::gen::inRange(0, 4) == 0 && !lost.erase(it.Node))
          lost.insert(it.Node);
      std::vector<EntryCandidate> ready;
      for (const auto &it : all)
        if (!lost.contains(it.Node))
          ready.push_back(it);
      auto chosen = selector.choose(ready, requests(perSecond), now);
      RC_ASSERT(chosen.size() >= std::min<std::size_t>(3, ready.size()));
      for (const auto &it : chosen)
        RC_ASSERT(!lost.contains(it.Node));
    }
  }));
}

TEST_CASE("the measured load follows the rate of requests", "[entries]") {
  EntryLoadMeter meter;
  Instant now = seconds(100);
  for (int n = 0; n < 400; ++n) {
    now += std::chrono::milliseconds(20);
    meter.onRequest(now);
    meter.onBytes(1000, now);
  }
  CHECK(meter.load(now).Requests == Approx(50).epsilon(0.05));
  CHECK(meter.load(now).Bytes == Approx(50'000).epsilon(0.05));
  CHECK(meter.load(now + seconds(10)).Requests < 0.1);
}

TEST_CASE("the own cell's owner takes precedence over another cell's",
          "[entries]") {
  ServingEntries entries;
  CHECK(entries.inDomain("a").empty());
  CHECK(entries.shareOf("n", "a") == 0);
  entries.update("b", {{"a", {{"old", "1", {}}}}, {"b", {{"m", "2", {}}}}});
  CHECK(entries.inDomain("a").front().Node == "old");
  entries.update("a", {{"a", {{"n", "3", {}}, {"k", "4", {}}}}});
  CHECK(entries.inDomain("a").front().Node == "n");
  CHECK(entries.serves("n", "a"));
  CHECK_FALSE(entries.serves("old", "a"));
  CHECK(entries.all().size() == 3);
  CHECK(entries.shareOf("n", "a") == Approx(1.0 / 3));
  CHECK(entries.shareOf("old", "a") == 0);
  entries.forget("a");
  CHECK(entries.inDomain("a").front().Node == "old");
}

TEST_CASE("fixed shares add up to one while failure domains can't reach each "
          "other",
          "[entries]") {
  // Each knows the nodes of its own failure domain only.
  constexpr std::size_t Domains = 4;
  double sum = 0;
  for (std::string domain : {"a", "b", "c", "d"}) {
    ServingEntries entries;
    entries.update(domain, {{domain, {{"n", "1", {}}, {"m", "2", {}}}}});
    sum += entries.fixedShareOf("n", domain, Domains);
    sum += entries.fixedShareOf("m", domain, Domains);
    CHECK(entries.fixedShareOf("k", domain, Domains) == 0);
  }
  CHECK(sum == Approx(1));
}

} // namespace hemlockglade::test
