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

TEST_CASE("a request that a gateway sends to a replica which told it that it "
          "leaves is late, whatever happens to the store") {
  auto sent = [](int ms, std::string tag, std::string gateway) {
    auto out = at(ms, "sent");
    out.Tag = std::move(tag);
    out.To = std::move(gateway);
    return out;
  };
  auto byReplica = [](int ms, std::string event, std::string tag) {
    auto out = at(ms, std::move(event));
    out.Who = "i-1";
    out.Tag = std::move(tag);
    return out;
  };
  auto lateCount = [&](int sentMs, const std::string &gateway,
                       std::vector<HistoryEvent> between = {}) {
    std::vector<HistoryEvent> all{sent(9'900, "t1", "n1"),
                                  byReplica(10'000, "told_leaving", "t1")};
    all.insert(all.end(), between.begin(), between.end());
    all.push_back(sent(sentMs, "t2", gateway));
    all.push_back(byReplica(sentMs + 5, "arrived", "t2"));
    return checkLeaving(all, Bound).Late.size();
  };
  CHECK(lateCount(12'000, "n1") == 0);
  CHECK(lateCount(12'001, "n1") == 1);
  CHECK(lateCount(13'000, "n2") == 0);
  CHECK(lateCount(13'000, "n1", {at(10'500, "silent")}) == 1);
  auto killed = at(10'500, "killed");
  killed.To = "n1";
  CHECK(lateCount(13'000, "n1", {killed}) == 0);
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
