#include "UnitTests/Platform/Soak/SoakDraining.h"

#include <catch2/catch.hpp>

using namespace hemlockglade;
using namespace hemlockglade::soak;
using std::chrono::milliseconds;

namespace {

constexpr Span Bound = milliseconds(2000);

HistoryEvent at(int ms, std::string event) {
  HistoryEvent out;
  out.At = Instant(milliseconds(ms));
  out.Event = std::move(event);
  return out;
}

/// Returns how many requests are late in a history in which a replica reports
/// at 10 s that it drains, and a request arrives there at the given time.
std::size_t lateArrivals(int arrivedAt, std::vector<HistoryEvent> others = {}) {
  auto listed = at(10'000, "listed");
  listed.Endpoint = "i-1";
  listed.Leaving = true;
  auto ran = at(arrivedAt, "ran");
  ran.Who = "i-1";
  ran.AskedAt = ran.At;
  others.insert(others.end(), {listed, ran});
  std::stable_sort(others.begin(), others.end(),
                   [](const auto &a, const auto &b) { return a.At < b.At; });
  return checkDraining(others, Bound).Late.size();
}

} // namespace

TEST_CASE("a request is late if it arrives beyond the bound after a replica "
          "reported that it drains") {
  CHECK(lateArrivals(9'000) == 0);
  CHECK(lateArrivals(12'000) == 0);
  CHECK(lateArrivals(12'001) == 1);
}

TEST_CASE("a request of a gateway that was paused is late as well") {
  auto paused = at(9'500, "paused");
  auto woken = at(12'400, "woken");
  paused.To = woken.To = "n1";
  CHECK(lateArrivals(12'500, {paused, woken}) == 1);
}

TEST_CASE("a request is not late if the store was disturbed within the bound "
          "before it") {
  CHECK(lateArrivals(12'500, {at(9'000, "silent"), at(10'600, "answering")}) ==
        0);
  CHECK(lateArrivals(12'500, {at(9'000, "silent"), at(10'400, "answering")}) ==
        1);
}
