#include "UnitTests/Platform/Soak/SoakRetries.h"

#include <catch2/catch.hpp>

using namespace hemlockglade;
using namespace hemlockglade::soak;
using std::chrono::milliseconds;

namespace {

constexpr RetryBounds Bounds{0.2, 4, std::chrono::seconds(10)};

/// A history of requests for one service, a tenth of a second apart.
struct RetryHistory {
  void send(int n, int arrivalsOfEach) {
    for (int it = 0; it < n; ++it) {
      Now += milliseconds(100);
      auto tag = std::to_string(Events.size());
      add("sent", tag);
      for (int arrival = 0; arrival < arrivalsOfEach; ++arrival)
        add("arrived", tag);
    }
  }
  void add(std::string event, const std::string &tag) {
    HistoryEvent it;
    it.At = Now;
    it.Event = std::move(event);
    it.Tag = tag;
    it.Service = "s";
    Events.push_back(std::move(it));
  }

  Instant Now = std::chrono::seconds(100);
  std::vector<HistoryEvent> Events;
};

} // namespace

TEST_CASE("first arrivals are no retries", "[retries]") {
  RetryHistory it;
  it.send(100, 1);
  auto findings = checkRetries(it.Events, Bounds);
  CHECK(findings.Retries == 0);
  CHECK(findings.Exceeded.empty());
}

TEST_CASE("retries beyond the budget of a window are found", "[retries]") {
  RetryHistory it;
  it.send(100, 1);
  it.send(24, 2);
  CHECK(checkRetries(it.Events, Bounds).Exceeded.empty());
  it.send(1, 2);
  CHECK(checkRetries(it.Events, Bounds).Exceeded.size() == 1);
}

TEST_CASE("requests of the window before count towards the budget",
          "[retries]") {
  RetryHistory it;
  it.send(100, 1);
  it.Now += milliseconds(9900);
  it.send(1, 25);
  CHECK(checkRetries(it.Events, Bounds).Exceeded.empty());
  it.Now += std::chrono::seconds(20);
  it.send(1, 25);
  CHECK(checkRetries(it.Events, Bounds).Exceeded.size() == 1);
}
