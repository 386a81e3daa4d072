// The retry budget over several lives of nodes, sets of nodes in service and
// links that deliver late.

#include "Hemlockglade/Coordination/Route/SharedRetryBudget.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <random>
#include <rapidcheck.h>

namespace hemlockglade::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto Window = seconds(10);
constexpr double FixedRetries = 56;
constexpr double RetriesPerRequest = 0.2;
/// Longest silence of a connection, for which a link may hold a retry back.
constexpr auto MaxLate = milliseconds(3500);

SharedRetryBudget::Settings settings() {
  SharedRetryBudget::Settings out;
  out.RetriesPerRequest = RetriesPerRequest;
  out.FixedRetries = FixedRetries;
  out.Window = Window;
  return out;
}

/// Counts requests and retries of all nodes, and what the rule allows.
class RetryCount {
public:
  void onRequest(Instant at) { Requests.push_back(at); }
  void onArrived(Instant at) { Retries.push_back(at); }

  /// Returns the largest excess of the retries in a window that ends with one
  /// of them, above what is allowed; negative if there is none.
  double maxExcess() {
    std::sort(Requests.begin(), Requests.end());
    std::sort(Retries.begin(), Retries.end());
    double out = -FixedRetries;
    for (auto at : Retries) {
      auto requests =
          std::max({countIn(Requests, at), countIn(Requests, at - Window),
                    countIn(Requests, at - Window / 2)});
      out = std::max(out, countIn(Retries, at) - RetriesPerRequest * requests -
                              FixedRetries);
    }
    return out;
  }

private:
  static double countIn(const std::vector<Instant> &all, Instant end) {
    auto from = std::upper_bound(all.begin(), all.end(), end - Window);
    auto to = std::upper_bound(all.begin(), all.end(), end);
    return static_cast<double>(to - from);
  }

  std::vector<Instant> Requests;
  std::vector<Instant> Retries;
};

/// A set of nodes that share one service's requests evenly.
class NodeSet {
public:
  NodeSet(std::size_t count, RetryCount &total, Instant now)
      : Nodes(count, SharedRetryBudget(settings())), Total(total) {
    for (auto &it : Nodes)
      it.setTrafficShare(1.0 / static_cast<double>(count));
    (void)now;
  }

  void request(Instant now) {
    Nodes[Next++ % Nodes.size()].onRequest("s", now);
    Total.onRequest(now);
  }
  /// Sends as many retries as the nodes may; they arrive at `arriveAt`.
  void retryAll(Instant now, Instant arriveAt) {
    for (auto &it : Nodes)
      while (it.tryReserve("s", now)) {
        it.onSent("s", now);
        Total.onArrived(arriveAt);
      }
  }

private:
  std::vector<SharedRetryBudget> Nodes;
  RetryCount &Total;
  std::size_t Next = 0;
};

} // namespace

TEST_CASE("sets of nodes that serve one after another use the fixed number of "
          "retries once",
          "[budget-lives]") {
  RetryCount total;
  Instant now = seconds(1000);
  for (int set = 0; set < 3; ++set, now += seconds(3)) {
    NodeSet nodes(4, total, now);
    nodes.retryAll(now, now);
  }
  CHECK(total.maxExcess() <= 0);
}

TEST_CASE("sets of nodes that serve one after another retry no more than one "
          "window's requests allow",
          "[budget-lives]") {
  RetryCount total;
  Instant now = seconds(1000);
  for (int set = 0; set < 2; ++set) {
    NodeSet nodes(4, total, now);
    for (int it = 0; it < 1500; ++it, now += milliseconds(6))
      nodes.request(now);
    nodes.retryAll(now, now);
  }
  CHECK(total.maxExcess() <= 0);
}

TEST_CASE("retries that a link holds back arrive within the budget",
          "[budget-lives]") {
  RetryCount total;
  Instant now = seconds(1000);
  Instant healsAt = seconds(1020);
  NodeSet nodes(4, total, now);
  for (int it = 0; it < 120'000; ++it) {
    now += std::chrono::microseconds(250);
    nodes.request(now);
    bool isHeld = now >= healsAt - MaxLate && now < healsAt;
    nodes.retryAll(now, isHeld ? healsAt : now);
  }
  CHECK(total.maxExcess() <= 0);
}

TEST_CASE("no history of lives, loads and late arrivals exceeds the retry "
          "budget",
          "[budget-lives]") {
  REQUIRE(rc::check([](std::uint32_t seed) {
    std::mt19937 random(seed);
    auto oneIn = [&random](std::uint32_t n) { return random() % n == 0; };
    RetryCount total;
    Instant now = seconds(1000);
    const auto requestsPerStep = 1 + random() % 60;
    std::deque<NodeSet> sets;
    Instant healsAt{};
    constexpr int Steps = 160;
    for (int step = 0; step < Steps; ++step) {
      now += milliseconds(250);
      if (sets.empty() || oneIn(10))
        sets.emplace_back(1 + random() % 6, total, now);
      for (std::uint32_t it = 0; it < requestsPerStep; ++it)
        sets.back().request(now);
      if (now >= healsAt && oneIn(10))
        healsAt = now + milliseconds(random() % MaxLate.count());
      if (oneIn(3))
        sets.back().retryAll(now, std::max(now, healsAt));
    }
    RC_ASSERT(total.maxExcess() <= 0);
  }));
}

} // namespace hemlockglade::test
