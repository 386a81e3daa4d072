#include "Hemlockglade/Coordination/Route/RepeatBudget.h"

#include <catch2/catch.hpp>

namespace hemlockglade::test {

namespace {

RepeatBudget::Settings settings() {
  RepeatBudget::Settings out;
  out.Share = 0.2;
  out.Extra = 20;
  out.Window = std::chrono::seconds(10);
  out.Used = 1;
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
  budget.setNodes(4);
  for (int it = 0; it < 50; ++it)
    budget.onRequest("s", now);
  CHECK(spendAll(budget, now) == 15);
  CHECK_FALSE(budget.spend("s", now + std::chrono::seconds(9)));
}

TEST_CASE("a node that has heard of no others takes a small part", "[budget]") {
  RepeatBudget::Settings settings;
  settings.Extra = 320;
  RepeatBudget budget(settings);
  int spent = 0;
  while (spent < 320 && budget.spend("s", std::chrono::seconds(1000)))
    ++spent;
  CHECK(spent == 7);
}

TEST_CASE("the window slides", "[budget]") {
  RepeatBudget budget(settings());
  budget.setNodes(1);
  Instant now = std::chrono::seconds(100);
  CHECK(spendAll(budget, now) == 20);
  CHECK(spendAll(budget, now + std::chrono::seconds(11)) == 20);
}

TEST_CASE("services have budgets of their own", "[budget]") {
  RepeatBudget budget(settings());
  budget.setNodes(1);
  Instant now = std::chrono::seconds(100);
  spendAll(budget, now);
  CHECK(budget.spend("other", now));
}

} // namespace hemlockglade::test
