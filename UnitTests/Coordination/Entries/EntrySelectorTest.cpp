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

/// Load of so many requests a second, each with an answer of 10 kB.
EntryLoad requests(double perSecond) { return {perSecond, perSecond * 10'000}; }

std::vector<EntryCandidate> choose(const std::vector<EntryCandidate> &ready,
                                   double perSecond) {
  EntrySelector roster({});
  return roster.choose(ready, requests(perSecond), seconds(1));
}

} // namespace

TEST_CASE("a small load is served by few, the strongest", "[entries]") {
  auto chosen = choose(hosts(3, 36), 100);
  REQUIRE(chosen.size() == 3);
  for (const auto &it : chosen)
    CHECK(it.Node.front() == 's');
}

// No host may be asked for more than a part of what it has, whatever others
// have.
TEST_CASE("a load that few weak hosts can't bear is shared by more",
          "[entries]") {
  double perSecond = GENERATE(50, 100, 200, 400);
  std::size_t strong = GENERATE(0, 3);
  auto chosen = choose(hosts(strong, 60), perSecond);
  EntrySelector::Settings setup;
  auto each = requests(perSecond / static_cast<double>(chosen.size()));
  for (const auto &it : chosen)
    CHECK(setup.Cost.shareOf(it.Host, each) <= setup.Fill);
}

TEST_CASE("a load that is too large for all is shared by all", "[entries]") {
  CHECK(choose(hosts(3, 36), 1e6).size() == 39);
}

TEST_CASE("the choice grows at once and shrinks late", "[entries]") {
  EntrySelector roster({});
  auto ready = hosts(0, 40);
  auto most = roster.choose(ready, requests(300), seconds(1)).size();
  CHECK(most > 3);
  CHECK(roster.choose(ready, requests(1), seconds(5)).size() == most);
  CHECK(roster.choose(ready, requests(1), seconds(12)).size() == 3);
  CHECK(roster.choose(ready, requests(300), seconds(13)).size() == most);
}

TEST_CASE("the same nodes are chosen whatever order they are heard in",
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

// Whatever is lost, in whatever order: those that are named are ready, and
// there are enough of them.
TEST_CASE("random losses and returns leave callers with nodes that are ready",
          "[entries]") {
  CHECK(checkMany("losses", 100, [] {
    auto all = hosts(*rc::gen::inRange<std::size_t>(0, 4),
                     *rc::gen::inRange<std::size_t>(1, 30));
    auto perSecond = *rc::gen::inRange(0, 400);
    EntrySelector roster({});
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
      auto chosen = roster.choose(ready, requests(perSecond), now);
      RC_ASSERT(chosen.size() >= std::min<std::size_t>(3, ready.size()));
      for (const auto &it : chosen)
        RC_ASSERT(!lost.contains(it.Node));
    }
  }));
}

TEST_CASE("a measured load follows the requests", "[entries]") {
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

TEST_CASE("the own cell's owner is believed before another", "[entries]") {
  ServingEntries board;
  CHECK(board.inDomain("a").empty());
  CHECK(board.shareOf("n", "a") == 0);
  board.update("b", {{"a", {{"old", "1", {}}}}, {"b", {{"m", "2", {}}}}});
  CHECK(board.inDomain("a").front().Node == "old");
  board.update("a", {{"a", {{"n", "3", {}}, {"k", "4", {}}}}});
  CHECK(board.inDomain("a").front().Node == "n");
  CHECK(board.serves("n", "a"));
  CHECK_FALSE(board.serves("old", "a"));
  CHECK(board.all().size() == 3);
  CHECK(board.shareOf("n", "a") == Approx(1.0 / 3));
  CHECK(board.shareOf("old", "a") == 0);
  board.forget("a");
  CHECK(board.inDomain("a").front().Node == "old");
}

} // namespace hemlockglade::test
