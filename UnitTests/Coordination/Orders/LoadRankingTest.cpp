#include "Hemlockglade/Coordination/Orders/LoadRanking.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <iterator>

namespace hemlockglade::test {

namespace {

using std::chrono::seconds;

LoadCandidate waitingFor(Span time, double requests = 1) {
  LoadCandidate out;
  out.Waiting = requests;
  out.WaitedFor = time;
  return out;
}

LoadCandidate inDemand(double rate, std::size_t copies) {
  LoadCandidate out;
  out.Rate = rate;
  out.Copies = copies;
  return out;
}

std::vector<std::size_t> indicesOf(const std::vector<LoadRanking::Entry> &all) {
  std::vector<std::size_t> out;
  std::transform(all.begin(), all.end(), std::back_inserter(out),
                 [](const auto &it) { return it.Index; });
  return out;
}

} // namespace

TEST_CASE("a further copy of a hot adapter comes before the first of a rare "
          "one",
          "[ranking]") {
  LoadRanking ranking;
  std::vector candidates{waitingFor(seconds(1)), inDemand(100, 3)};
  CHECK(indicesOf(ranking.order(candidates)) == std::vector<std::size_t>{1, 0});
}

TEST_CASE("an adapter whose copies begin all of its demand is not loaded",
          "[ranking]") {
  LoadRanking ranking;
  CHECK(ranking.valueOf(inDemand(9, 3)) == 0);
  CHECK(ranking.valueOf(inDemand(9, 2)) > 0);
  CHECK(ranking.order(std::vector{inDemand(9, 3)}).empty());
  SECTION("requests that wait all the same show that they do not") {
    auto congested = inDemand(9, 3);
    congested.Waiting = 2;
    CHECK(ranking.valueOf(congested) == 2);
  }
}

TEST_CASE("copies that are being loaded count for the requests that wait",
          "[ranking]") {
  LoadRanking ranking;
  auto congested = inDemand(3, 2);
  congested.Waiting = 7;
  congested.Loading = 1;
  CHECK(ranking.valueOf(congested) == Approx(1));
  congested.Loading = 2;
  CHECK(ranking.valueOf(congested) == 0);
}

TEST_CASE("a load is worth no more than one copy begins", "[ranking]") {
  LoadRanking ranking;
  CHECK(ranking.valueOf(inDemand(100, 0)) ==
        ranking.valueOf(inDemand(1000, 0)));
}

TEST_CASE("one load in four goes to the oldest wait", "[ranking]") {
  LoadRanking ranking;
  // The hot adapter always has the greatest value.
  std::vector candidates{inDemand(1000, 3), waitingFor(seconds(1)),
                         waitingFor(seconds(2))};
  int oldest = 0;
  constexpr int Loads = 400;
  for (int it = 0; it < Loads; ++it) {
    auto order = ranking.order(candidates);
    REQUIRE(order.size() == 3);
    CHECK(order.front().Index == (order.front().IsOldest ? 2 : 0));
    oldest += order.front().IsOldest ? 1 : 0;
    ranking.onLoad(order.front());
  }
  CHECK(oldest >= Loads / 4 - 1);
  CHECK(oldest <= Loads / 4);
}

TEST_CASE("a share that could not be used is not saved up", "[ranking]") {
  LoadRanking ranking;
  std::vector hot{inDemand(1000, 3)};
  for (int it = 0; it < 100; ++it)
    ranking.onLoad(ranking.order(hot).front());
  std::vector candidates{inDemand(1000, 3), waitingFor(seconds(1))};
  int oldest = 0;
  for (int it = 0; it < 4; ++it) {
    auto order = ranking.order(candidates);
    oldest += order.front().IsOldest ? 1 : 0;
    ranking.onLoad(order.front());
  }
  CHECK(oldest <= 3);
}

TEST_CASE("the order names each candidate of any value once", "[ranking]") {
  LoadRanking ranking;
  std::vector<LoadCandidate> candidates(5);
  candidates[1] = inDemand(5, 0);
  candidates[3] = waitingFor(seconds(3), 4);
  candidates[4] = waitingFor(seconds(9));
  for (int it = 0; it < 20; ++it) {
    auto order = ranking.order(candidates);
    auto indices = indicesOf(order);
    std::sort(indices.begin(), indices.end());
    CHECK(indices == std::vector<std::size_t>{1, 3, 4});
    ranking.onLoad(order.front());
  }
}

TEST_CASE("an adapter that requests wait for is loaded though nothing is known "
          "of their number",
          "[ranking]") {
  LoadRanking ranking;
  CHECK(ranking.order(std::vector{waitingFor(seconds(1), 0)}).size() == 1);
}

} // namespace hemlockglade::test
