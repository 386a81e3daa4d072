// The retry budget over several lives of nodes, sets of nodes in service and
// links that deliver late.

#include "Hemlockglade/Coordination/Route/SharedRetryBudget.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <random>
#include <rapidcheck.h>
#include <set>

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

/// Nodes of which some are in service and share one service's requests evenly.
class Nodes {
public:
  Nodes(std::size_t count, RetryCount &total) : Total(total) {
    for (std::size_t it = 0; it < count; ++it)
      All.emplace_back(settings());
  }

  /// Puts these nodes, by index, in service; the others leave it.
  void serve(const std::set<std::size_t> &nodes, Instant now) {
    Serving.assign(nodes.begin(), nodes.end());
    for (std::size_t it = 0; it < All.size(); ++it)
      All[it].setFixedShare(
          nodes.contains(it) ? 1.0 / static_cast<double>(nodes.size()) : 0,
          now);
  }
  /// Puts all nodes in service.
  void serveAll(Instant now) {
    std::set<std::size_t> nodes;
    for (std::size_t it = 0; it < All.size(); ++it)
      nodes.insert(it);
    serve(nodes, now);
  }
  /// A new process takes the place of the node's old one.
  void restart(std::size_t node) { All[node] = SharedRetryBudget(settings()); }
  void request(Instant now) {
    All[Serving[Next++ % Serving.size()]].onRequest("s", now);
    Total.onRequest(now);
  }
  /// Sends as many retries as all nodes may; they arrive at `arriveAt`.
  int retryAll(Instant now, Instant arriveAt) {
    int n = 0;
    for (auto &it : All)
      while (it.tryReserve("s", now)) {
        if (!it.trySend("s", now)) {
          it.release("s");
          break;
        }
        Total.onArrived(arriveAt);
        ++n;
      }
    return n;
  }

private:
  std::deque<SharedRetryBudget> All;
  std::vector<std::size_t> Serving;
  RetryCount &Total;
  std::size_t Next = 0;
};

} // namespace

TEST_CASE("sets of nodes that serve one after another use the fixed number of "
          "retries once",
          "[budget-lives]") {
  RetryCount total;
  Instant now = seconds(1000);
  Nodes nodes(12, total);
  nodes.serve({0, 1, 2, 3}, now);
  now += seconds(20);
  CHECK(nodes.retryAll(now, now) == 28);
  for (std::size_t set = 1; set < 3; ++set) {
    now += seconds(3);
    nodes.serve({4 * set, 4 * set + 1, 4 * set + 2, 4 * set + 3}, now);
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
    Nodes nodes(4, total);
    nodes.serveAll(now);
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
  Nodes nodes(4, total);
  nodes.serveAll(now);
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
    constexpr std::size_t Count = 8;
    Nodes nodes(Count, total);
    nodes.serveAll(now);
    Instant healsAt{};
    constexpr int Steps = 240;
    for (int step = 0; step < Steps; ++step) {
      now += milliseconds(250);
      if (oneIn(8))
        nodes.restart(random() % Count);
      if (oneIn(10)) {
        std::set<std::size_t> serving{random() % Count};
        while (!oneIn(4))
          serving.insert(random() % Count);
        nodes.serve(serving, now);
      }
      for (std::uint32_t it = 0; it < requestsPerStep; ++it)
        nodes.request(now);
      if (now >= healsAt && oneIn(10))
        healsAt = now + milliseconds(random() % MaxLate.count());
      if (oneIn(3))
        nodes.retryAll(now, std::max(now, healsAt));
    }
    RC_ASSERT(total.maxExcess() <= 0);
  }));
}

} // namespace hemlockglade::test
