#include "Hemlockglade/Coordination/Coordination.h"
#include "UnitTests/Coordination/FakeTable.h"

#include <catch2/catch.hpp>
#include <cstdio>

using namespace hemlockglade;
using namespace hemlockglade::test;
using namespace std::chrono_literals;

namespace {

/// Table operations per claim with its outcome.
struct ClaimCost {
  double Writes = 0;
  double Reads = 0;
};

/// Simulates a node with `perSecond` claims per second, whose requests run for
/// 20 ms each. Every `reuseInterval`-th claim uses an earlier key; none if 0.
ClaimCost costOf(Span window, double perSecond, int reuseInterval) {
  VirtualTime time;
  FakeTable table(time, 1);
  ClaimSettings settings;
  settings.Group.Window = window;
  ClaimHooks hooks;
  hooks.WallMs = [&] { return time.now().count() / 1000; };
  hooks.After = [&](Span delay, std::function<void()> call) {
    time.after(delay, std::move(call));
  };
  auto store =
      std::make_shared<ClaimStore>(settings, "n1", table.hooks(), hooks);
  constexpr int count = 2000;
  for (int it = 0; it < count; ++it) {
    bool reused = reuseInterval && it % reuseInterval == reuseInterval - 1;
    auto key = std::to_string(reused ? it - reuseInterval / 2 : it);
    store->claim({"labels", key, "body", key}, [&](const ClaimAnswer &answer) {
      if (answer.Result == ClaimResult::Claimed)
        time.after(20ms, [&, answer] {
          store->record(answer.Ticket, Outcome::Complete);
        });
    });
    time.advance(Span(static_cast<std::int64_t>(1e6 / perSecond)));
  }
  time.advance(10s);
  return {static_cast<double>(table.Writes) / count,
          static_cast<double>(table.Reads) / count};
}

} // namespace

TEST_CASE("group commit limits the writes per claim", "[claim]") {
  REQUIRE(costOf(2ms, 10, 0).Writes <= 2.0);
  auto busy = costOf(10ms, 2000, 0);
  REQUIRE(busy.Writes <= 0.13);
  REQUIRE(busy.Reads == 0);
}

// Prints the figures of docs/benchmarks/recovery.md.
TEST_CASE("figures of the claims", "[.figures]") {
  for (Span window : {Span(2ms), Span(10ms), Span(50ms)}) {
    for (double rate : {10.0, 100.0, 500.0, 2000.0}) {
      for (int reused : {0, 50}) {
        auto it = costOf(window, rate, reused);
        std::printf("window %3d ms claims/s %5.0f repeats 1/%-3d writes %.3f "
                    "reads %.3f\n",
                    static_cast<int>(window.count() / 1000), rate, reused,
                    it.Writes, it.Reads);
      }
    }
  }
}
