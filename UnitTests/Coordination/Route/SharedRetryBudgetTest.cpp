#include "Hemlockglade/Coordination/Route/SharedRetryBudget.h"

#include <catch2/catch.hpp>

namespace hemlockglade::test {

namespace {

constexpr Instant LongAgo{};

SharedRetryBudget::Settings settings() {
  SharedRetryBudget::Settings out;
  out.RetriesPerRequest = 0.2;
  out.FixedRetries = 20;
  out.Window = std::chrono::seconds(10);
  out.UsedShare = out.UsedFixedShare = 1;
  out.CreditLifetime = 1;
  out.MaxArrivalDelay = Span(0);
  return out;
}

/// Sends one retry at once if the budget has one.
bool tryConsume(SharedRetryBudget &budget, const std::string &service,
                Instant now) {
  bool allowed = budget.tryReserve(service, now);
  if (allowed)
    REQUIRE(budget.trySend(service, now));
  return allowed;
}

int consumeAll(SharedRetryBudget &budget, Instant now) {
  int n = 0;
  while (tryConsume(budget, "s", now))
    ++n;
  return n;
}

} // namespace

TEST_CASE("retries are limited to a share of the requests plus a fixed number",
          "[budget]") {
  SharedRetryBudget budget(settings());
  Instant now = std::chrono::seconds(100);
  budget.setFixedShare(0.25, LongAgo);
  for (int it = 0; it < 50; ++it)
    budget.onRequest("s", now);
  CHECK(consumeAll(budget, now) == 15);
  CHECK_FALSE(tryConsume(budget, "s", now + std::chrono::seconds(9)));
}

// Nodes that all start together don't know of each other.
TEST_CASE("a node that knows of no others uses none of the fixed number",
          "[budget]") {
  SharedRetryBudget::Settings settings;
  settings.FixedRetries = 320;
  SharedRetryBudget budget(settings);
  CHECK_FALSE(tryConsume(budget, "s", std::chrono::seconds(1000)));
}

// Nodes that take over from failed ones are in the same window.
TEST_CASE("nodes that fail and those that replace them stay within the number",
          "[budget]") {
  SharedRetryBudget::Settings settings;
  settings.FixedRetries = 320;
  int consumed = 0;
  Instant now = std::chrono::seconds(1000);
  // Sixteen are in service; nine fail after they have used their whole share,
  // and nine others take over.
  for (int node = 0; node < 16 + 9; ++node) {
    SharedRetryBudget budget(settings);
    budget.setFixedShare(1.0 / 16, node < 16 ? LongAgo : now);
    consumed += consumeAll(budget, now);
  }
  CHECK(consumed <= 160);
  CHECK(consumed >= 160);
}

TEST_CASE("the retry budget is renewed as the window slides", "[budget]") {
  SharedRetryBudget budget(settings());
  budget.setFixedShare(1, LongAgo);
  Instant now = std::chrono::seconds(100);
  CHECK(consumeAll(budget, now) == 20);
  CHECK(consumeAll(budget, now + std::chrono::seconds(11)) == 20);
}

TEST_CASE("each service has its own budget", "[budget]") {
  SharedRetryBudget budget(settings());
  budget.setFixedShare(1, LongAgo);
  Instant now = std::chrono::seconds(100);
  consumeAll(budget, now);
  CHECK(tryConsume(budget, "other", now));
}

TEST_CASE("retries that wait for a replica arrive within the budget of the "
          "window in which they are sent",
          "[budget]") {
  SharedRetryBudget budget(settings());
  budget.setFixedShare(1, LongAgo);
  Instant allowedAt = std::chrono::seconds(100);
  int reserved = 0;
  while (budget.tryReserve("s", allowedAt))
    ++reserved;
  REQUIRE(reserved == 20);
  auto sentAt = allowedAt + std::chrono::seconds(11);
  CHECK_FALSE(budget.tryReserve("s", sentAt));
  for (int it = 0; it < reserved; ++it)
    REQUIRE(budget.trySend("s", sentAt));
  CHECK(consumeAll(budget, sentAt + std::chrono::seconds(9)) == 0);
  CHECK(consumeAll(budget, sentAt + std::chrono::seconds(11)) == 20);
}

TEST_CASE(
    "a retry counts for a whole window, however it lies between two slots",
    "[budget]") {
  SharedRetryBudget budget(settings());
  budget.setFixedShare(1, LongAgo);
  Instant sentAt = std::chrono::milliseconds(100'499);
  REQUIRE(consumeAll(budget, sentAt) == 20);
  CHECK(consumeAll(budget, sentAt + std::chrono::milliseconds(9'999)) == 0);
  CHECK(consumeAll(budget, sentAt + std::chrono::milliseconds(10'502)) == 20);
}

TEST_CASE("requests count towards the budget for one window at most",
          "[budget]") {
  auto options = settings();
  options.FixedRetries = 0;
  SharedRetryBudget budget(options);
  Instant now = std::chrono::milliseconds(100'000);
  for (int it = 0; it < 50; ++it)
    budget.onRequest("s", now);
  CHECK(consumeAll(budget, now + std::chrono::milliseconds(10'001)) == 0);
}

TEST_CASE("a retry that is held until its request's part has expired is paid "
          "for anew",
          "[budget]") {
  SharedRetryBudget::Settings options;
  options.FixedRetries = 0;
  SharedRetryBudget budget(options);
  Instant now = std::chrono::seconds(100);
  for (int it = 0; it < 8; ++it)
    budget.onRequest("s", now);
  REQUIRE(budget.tryReserve("s", now));
  now += std::chrono::seconds(3);
  CHECK_FALSE(budget.trySend("s", now));
  for (int it = 0; it < 8; ++it)
    budget.onRequest("s", now);
  CHECK(budget.trySend("s", now));
}

TEST_CASE("a node that comes back into service waits for a window before it "
          "uses the fixed number",
          "[budget]") {
  SharedRetryBudget budget(settings());
  Instant now = std::chrono::seconds(100);
  budget.setFixedShare(1, LongAgo);
  budget.setFixedShare(0, now);
  budget.setFixedShare(1, now + std::chrono::seconds(1));
  CHECK(consumeAll(budget, now + std::chrono::seconds(9)) == 0);
  budget.setFixedShare(1, now + std::chrono::seconds(12));
  CHECK(consumeAll(budget, now + std::chrono::seconds(12)) == 20);
}

TEST_CASE("a retry that is never sent is returned to the budget", "[budget]") {
  SharedRetryBudget budget(settings());
  budget.setFixedShare(1, LongAgo);
  Instant now = std::chrono::seconds(100);
  REQUIRE(budget.tryReserve("s", now));
  budget.release("s");
  CHECK(consumeAll(budget, now) == 20);
}

TEST_CASE("a retry whose connection failed stays reserved for the next one",
          "[budget]") {
  SharedRetryBudget budget(settings());
  budget.setFixedShare(1, LongAgo);
  Instant now = std::chrono::seconds(100);
  REQUIRE(budget.tryReserve("s", now));
  auto payment = budget.trySend("s", now);
  REQUIRE(payment);
  budget.onNotSent("s", *payment);
  CHECK(consumeAll(budget, now) == 19);
  CHECK(consumeAll(budget, now + std::chrono::seconds(11)) == 19);
}

} // namespace hemlockglade::test
