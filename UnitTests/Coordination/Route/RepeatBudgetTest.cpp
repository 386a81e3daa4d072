#include "Hemlockglade/Coordination/Route/RepeatBudget.h"

#include <catch2/catch.hpp>

namespace hemlockglade::test {

namespace {

RepeatBudget::Settings settings() {
  RepeatBudget::Settings out;
  out.Share = 0.2;
  out.Extra = 20;
  out.Window = std::chrono::seconds(10);
  out.Used = out.ExtraUsed = 1;
  return out;
}

int spendAll(RepeatBudget &budget, Instant now) {
  int n = 0;
  while (budget.spend("s", now))
    ++n;
  return n;
}

} // namespace

TEST_CASE("repeats are a share of the requests and a part of the number",
          "[budget]") {
  RepeatBudget budget(settings());
  Instant now = std::chrono::seconds(100);
  budget.setPart(0.25);
  for (int it = 0; it < 50; ++it)
    budget.onRequest("s", now);
  CHECK(spendAll(budget, now) == 15);
  CHECK_FALSE(budget.spend("s", now + std::chrono::seconds(9)));
}

// Of many nodes that all start together none knows of the others.
TEST_CASE("a node that has heard of no others takes none of the number",
          "[budget]") {
  RepeatBudget::Settings settings;
  settings.Extra = 320;
  RepeatBudget budget(settings);
  CHECK_FALSE(budget.spend("s", std::chrono::seconds(1000)));
}

// Nodes take turns within one window when some are lost and others serve.
TEST_CASE("nodes that serve for others stay within the number with them",
          "[budget]") {
  RepeatBudget::Settings settings;
  settings.Extra = 320;
  int spent = 0;
  // Fifteen serve; nine are lost after they have spent all, and nine others
  // take their places.
  for (int node = 0; node < 15 + 9; ++node) {
    RepeatBudget budget(settings);
    budget.setPart(1.0 / 15);
    spent += spendAll(budget, std::chrono::seconds(1000));
  }
  CHECK(spent <= 320);
  CHECK(spent >= 160);
}

TEST_CASE("the window slides", "[budget]") {
  RepeatBudget budget(settings());
  budget.setPart(1);
  Instant now = std::chrono::seconds(100);
  CHECK(spendAll(budget, now) == 20);
  CHECK(spendAll(budget, now + std::chrono::seconds(11)) == 20);
}

TEST_CASE("services have budgets of their own", "[budget]") {
  RepeatBudget budget(settings());
  budget.setPart(1);
  Instant now = std::chrono::seconds(100);
  spendAll(budget, now);
  CHECK(budget.spend("other", now));
}

} // namespace hemlockglade::test
