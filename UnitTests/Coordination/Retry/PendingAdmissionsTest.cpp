#include "Hemlockglade/Coordination/Coordination.h"

#include <catch2/catch.hpp>

using namespace hemlockglade;
using namespace std::chrono_literals;

namespace {

const std::string Cell = "assistant/0";

/// One asking of an owner, and what came of it.
struct AskBench {
  AskBench() {
    Ticket = Asks.add(Cell, "owner:1", Instant(20s),
                      [this](AdmissionFailure it) { Failures.push_back(it); });
  }

  void tick(Instant now) {
    Asks.tick(now, [this](const std::string &) { return Owner; });
  }

  PendingAdmissions Asks;
  PendingAdmissions::Ticket Ticket = 0;
  std::string Owner = "owner:1";
  std::vector<AdmissionFailure> Failures;
};

} // namespace

TEST_CASE("an owner that answers nothing is waited for until its cell has "
          "another",
          "[asks]") {
  AskBench bench;
  bench.tick(Instant(10s));
  REQUIRE(bench.Failures.empty());
  bench.Owner = GENERATE("", "heir:1");
  bench.tick(Instant(11s));
  bench.tick(Instant(30s));
  REQUIRE(bench.Failures == std::vector{AdmissionFailure::OwnerChanged});
}

TEST_CASE("no owner is waited for past the deadline", "[asks]") {
  AskBench bench;
  bench.tick(Instant(20s) - Span(1));
  REQUIRE(bench.Failures.empty());
  bench.tick(Instant(20s));
  bench.tick(Instant(21s));
  REQUIRE(bench.Failures == std::vector{AdmissionFailure::DeadlinePassed});
}

TEST_CASE("an answered asking does not fail, one made meanwhile may",
          "[asks]") {
  AskBench bench;
  bench.Asks.remove(bench.Ticket);
  bool again = false;
  bench.Asks.add(Cell, "owner:1", Instant(5s), [&](AdmissionFailure) {
    bench.Asks.add(Cell, "heir:1", Instant(20s),
                   [&](AdmissionFailure) { again = true; });
  });
  bench.Owner = "heir:1";
  bench.tick(Instant(1s));
  bench.tick(Instant(2s));
  REQUIRE_FALSE(again);
  bench.tick(Instant(20s));
  REQUIRE(again);
  REQUIRE(bench.Failures.empty());
}
