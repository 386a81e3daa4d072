#include "UnitTests/Platform/Soak/SoakLimits.h"

#include "UnitTests/Platform/Soak/SentHistory.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace hemlockglade::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Span Contact = seconds(3);

/// A replica that states a limit of 1 a second from second 10 to second 30, and
/// gateways that send to it.
struct LimitHistory : SentHistory {
  LimitHistory() {
    add("i-1", "limited", seconds(10)).Change = "1";
    // The requests of which two gateways are told the limit.
    send("g1", milliseconds(10'100));
    send("g2", milliseconds(10'200));
    for (const auto &tag : {"t1", "t2"})
      add("i-1", "told", milliseconds(10'300)).Tag = tag;
  }

  /// Sends `n` requests within one second.
  void sendMany(const std::string &gateway, int n, Instant from) {
    for (int it = 0; it < n; ++it)
      send(gateway, from + it * milliseconds(1000 / n));
  }

  LimitFindings check() {
    auto events = Events;
    std::stable_sort(events.begin(), events.end(),
                     [](const auto &a, const auto &b) { return a.At < b.At; });
    return checkLimits(events, Contact);
  }
};

} // namespace

TEST_CASE("arrivals beyond a stated limit are found, over all gateways",
          "[limits]") {
  LimitHistory it;
  it.sendMany("g1", 6, seconds(15));
  CHECK(it.check().Exceeded.empty());
  it.sendMany("g2", 6, seconds(16));
  auto findings = it.check();
  CHECK(findings.Checked == 1);
  CHECK(findings.Exceeded.size() == 1);
}

TEST_CASE("arrivals from before a gateway was told count once it was",
          "[limits]") {
  LimitHistory it;
  it.sendMany("g1", 12, milliseconds(9'500));
  it.send("g1", milliseconds(13'200));
  CHECK(it.check().Exceeded.size() == 1);
}

TEST_CASE("arrivals count neither before the contact time nor after the limit",
          "[limits]") {
  LimitHistory it;
  it.sendMany("g1", 20, seconds(11));
  it.add("i-1", "unlimited", seconds(20));
  it.sendMany("g1", 20, seconds(21));
  CHECK(it.check().Exceeded.empty());
}

TEST_CASE("gateways that were not told or were disturbed don't count",
          "[limits]") {
  LimitHistory it;
  it.sendMany("g3", 20, seconds(15));
  CHECK(it.check().Exceeded.empty());
  it.sendMany("g1", 20, seconds(16));
  REQUIRE(it.check().Exceeded.size() == 1);
  it.add("soak", "paused", seconds(15)).To = "g1";
  it.add("soak", "woken", seconds(18)).To = "g1";
  CHECK(it.check().Exceeded.empty());
}

} // namespace hemlockglade::soak
