#include "Hemlockglade/Coordination/Route/SharedRetryBudget.h"

#include <catch2/catch.hpp>

namespace hemlockglade::test {

namespace {

SharedRetryBudget::Settings settings() {
  SharedRetryBudget::Settings out;
  out.RetriesPerRequest = 0.2;
  out.FixedRetries = 20;
  out.Window = std::chrono::seconds(10);
  out.UsedShare = out.UsedFixedShare = 1;
  return out;
}

int spendAll(SharedRetryBudget &budget, Instant now) {
  int n = 0;
  while (budget.tryConsume("s", now))
    ++n;
  return n;
}

} // namespace

TEST_CASE("repeats are a share of the requests and a part of the number",
          "[budget]") {
  SharedRetryBudget budget(settings());
  Instant now = std::chrono::seconds(100);
  budget.setTrafficShare(0.25);
  for (int it = 0; it < 50; ++it)
    budget.onRequest("s", now);
  CHECK(spendAll(budget, now) == 15);
  CHECK_FALSE(budget.tryConsume("s", now + std::chrono::seconds(9)));
}

// Of many nodes that all start together none knows of the others.
TEST_CASE("a node that has heard of no others takes none of the number",
          "[budget]") {
  SharedRetryBudget::Settings settings;
  settings.FixedRetries = 320;
  SharedRetryBudget budget(settings);
  CHECK_FALSE(budget.tryConsume("s", std::chrono::seconds(1000)));
}

// Nodes take turns within one window when some are lost and others serve.
TEST_CASE("nodes that serve for others stay within the number with them",
          "[budget]") {
  SharedRetryBudget::Settings settings;
  settings.FixedRetries = 320;
  int spent = 0;
  // Fifteen serve; nine are lost after they have spent all, and nine others
  // take their places.
  for (int node = 0; node < 15 + 9; ++node) {
    SharedRetryBudget budget(settings);
    budget.setTrafficShare(1.0 / 15);
    spent += spendAll(budget, std::chrono::seconds(1000));
  }
  CHECK(spent <= 320);
  CHECK(spent >= 160);
}

TEST_CASE("the window slides", "[budget]") {
  SharedRetryBudget budget(settings());
  budget.setTrafficShare(1);
  Instant now = std::chrono::seconds(100);
  CHECK(spendAll(budget, now) == 20);
  CHECK(spendAll(budget, now + std::chrono::seconds(11)) == 20);
}

TEST_CASE("services have budgets of their own", "[budget]") {
  SharedRetryBudget budget(settings());
  budget.setTrafficShare(1);
  Instant now = std::chrono::seconds(100);
  spendAll(budget, now);
  CHECK(budget.tryConsume("other", now));
}

} // namespace hemlockglade::test
