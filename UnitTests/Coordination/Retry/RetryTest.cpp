#include "Hemlockglade/Coordination/Coordination.h"
#include "UnitTests/Coordination/CheckMany.h"

using namespace hemlockglade;
using namespace hemlockglade::test;
using namespace std::chrono_literals;

TEST_CASE("the outcome is not-run only if nothing can have run", "[retry]") {
  for (int it = 0; it < 16; ++it) {
    AttemptObservation observation{(it & 1) != 0, (it & 2) != 0, (it & 4) != 0,
                                   (it & 8) != 0};
    auto outcome = outcomeOf(observation);
    bool refused =
        observation.RefusedBeforeRunning && observation.AnswerComplete;
    REQUIRE((outcome == Outcome::NotRun) ==
            (!observation.MayHaveSent || refused));
    REQUIRE((outcome == Outcome::Complete) ==
            (observation.MayHaveSent && !refused &&
             observation.AnswerComplete && observation.AnswerDelivered));
  }
  // One attempt that may have run determines the outcome of the request.
  for (auto earlier : {Outcome::NotRun, Outcome::Unknown}) {
    REQUIRE(outcomeAfter(earlier, Outcome::Complete) == Outcome::Complete);
    REQUIRE(outcomeAfter(earlier, Outcome::Unknown) == Outcome::Unknown);
    REQUIRE(outcomeAfter(earlier, Outcome::NotRun) == earlier);
  }
}

TEST_CASE("failures that are retried and failures that are not", "[retry]") {
  RetryPolicySettings settings;
  settings.BudgetBurst = 1000;
  RetryPolicy policy(settings);
  Instant now = 100s;
  FailedAttempt good{true, Outcome::Unknown, false, 1, now + 1s};
  auto with = [&](auto change) {
    auto attempt = good;
    change(attempt);
    return policy.decide(attempt, now);
  };
  using enum RetryVerdict;
  REQUIRE(with([](auto &) {}) == Retry);
  REQUIRE(with([](auto &it) { it.How = Outcome::Complete; }) == Complete);
  REQUIRE(with([](auto &it) { it.Repeatable = false; }) == NotRepeatable);
  REQUIRE(with([](auto &it) {
            it.Repeatable = false;
            it.How = Outcome::NotRun;
          }) == Retry);
  REQUIRE(with([](auto &it) { it.FirstBytePassed = true; }) == AnswerBegun);
  REQUIRE(with([](auto &it) { it.Attempts = 3; }) == AttemptsExhausted);
  REQUIRE(with([&](auto &it) { it.Deadline = now + 49ms; }) == DeadlineTooNear);
  REQUIRE(with([&](auto &it) { it.Deadline = now - 1s; }) == DeadlineTooNear);
}

TEST_CASE("retries stay within a share of traffic however many requests fail",
          "[retry]") {
  bool bounded = GENERATE(true, false);
  REQUIRE(checkMany("retry budgets", 1000, [bounded] {
    RetryPolicySettings settings;
    settings.BudgetShare = *rc::gen::element(0.0, 0.05, 0.5);
    if (!bounded)
      settings.BudgetBurst = 1e9;
    RetryPolicy policy(settings);
    auto steps = *rc::gen::container<std::vector<std::pair<bool, int>>>(
        rc::gen::pair(rc::gen::arbitrary<bool>(), anyIn(0, 500)));
    Instant start = 100s;
    Instant now = start;
    FailedAttempt attempt{true, Outcome::Unknown, false, 1, 1h};
    // The first decision refills the budget for all the time before it.
    policy.decide(attempt, start);
    double firstAttempts = 0;
    double retries = 0;
    for (const auto &[first, wait] : steps) {
      now += std::chrono::milliseconds(wait);
      for (int it = 0; it < 10; ++it) {
        if (first)
          policy.onFirstAttempt();
        firstAttempts += first;
        retries += policy.decide(attempt, now) == RetryVerdict::Retry;
      }
    }
    double seconds = std::chrono::duration<double>(now - start).count();
    double maxRetries = 20 + firstAttempts * settings.BudgetShare +
                        seconds * settings.FloorPerSecond + 1;
    if (bounded)
      RC_ASSERT(retries <= maxRetries);
    else
      RC_ASSERT(retries == 10.0 * steps.size());
  }));
}
