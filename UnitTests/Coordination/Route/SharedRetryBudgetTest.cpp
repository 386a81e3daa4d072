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

int consumeAll(SharedRetryBudget &budget, Instant now) {
  int n = 0;
  while (budget.tryConsume("s", now))
    ++n;
  return n;
}

} // namespace

TEST_CASE("retries are limited to a share of the requests plus a fixed number",
          "[budget]") {
  SharedRetryBudget budget(settings());
  Instant now = std::chrono::seconds(100);
  budget.setTrafficShare(0.25);
  for (int it = 0; it < 50; ++it)
    budget.onRequest("s", now);
  CHECK(consumeAll(budget, now) == 15);
  CHECK_FALSE(budget.tryConsume("s", now + std::chrono::seconds(9)));
}

// Nodes that all start together don't know of each other.
TEST_CASE("a node that knows of no others uses none of the fixed number",
          "[budget]") {
  SharedRetryBudget::Settings settings;
  settings.FixedRetries = 320;
  SharedRetryBudget budget(settings);
  CHECK_FALSE(budget.tryConsume("s", std::chrono::seconds(1000)));
}

// Nodes that take over from failed ones use the budget of the same window.
TEST_CASE("nodes that fail and those that replace them stay within the number",
          "[budget]") {
  SharedRetryBudget::Settings settings;
  settings.FixedRetries = 320;
  int consumed = 0;
  // Fifteen are in service; nine fail after they have used their whole share,
  // and nine others take over.
  for (int node = 0; node < 15 + 9; ++node) {
    SharedRetryBudget budget(settings);
    budget.setTrafficShare(1.0 / 15);
    consumed += consumeAll(budget, std::chrono::seconds(1000));
  }
  CHECK(consumed <= 320);
  CHECK(consumed >= 160);
}

TEST_CASE("the retry budget is renewed as the window slides", "[budget]") {
  SharedRetryBudget budget(settings());
  budget.setTrafficShare(1);
  Instant now = std::chrono::seconds(100);
  CHECK(consumeAll(budget, now) == 20);
  CHECK(consumeAll(budget, now + std::chrono::seconds(11)) == 20);
}

TEST_CASE("each service has its own budget", "[budget]") {
  SharedRetryBudget budget(settings());
  budget.setTrafficShare(1);
  Instant now = std::chrono::seconds(100);
  consumeAll(budget, now);
  CHECK(budget.tryConsume("other", now));
}

} // namespace hemlockglade::test
