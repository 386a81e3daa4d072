#include "Hemlockglade/Coordination/Retry/RetryPolicy.h"

#include <algorithm>

namespace hemlockglade {

RetryPolicy::RetryPolicy(const RetryPolicySettings &settings)
    : Settings(settings), Budget(settings.BudgetBurst) {}

void RetryPolicy::onFirstAttempt() {
  std::lock_guard lock(Mutex);
  Budget = std::min(Budget + Settings.BudgetShare, Settings.BudgetBurst);
}

RetryVerdict RetryPolicy::decide(const FailedAttempt &attempt, Instant now) {
  auto verdict = checkAttempt(attempt, now);
  if (verdict != RetryVerdict::Retry)
    return verdict;
  std::lock_guard lock(Mutex);
  double seconds = inSeconds(now - RefilledAt);
  if (seconds > 0) {
    Budget = std::min(Budget + seconds * Settings.FloorPerSecond,
                      Settings.BudgetBurst);
    RefilledAt = now;
  }
  if (Budget < 1)
    return RetryVerdict::BudgetExhausted;
  Budget -= 1;
  return RetryVerdict::Retry;
}

RetryVerdict RetryPolicy::checkAttempt(const FailedAttempt &attempt,
                                       Instant now) const {
  if (attempt.How == Outcome::Complete)
    return RetryVerdict::Complete;
  if (attempt.FirstBytePassed)
    return RetryVerdict::AnswerBegun;
  if (attempt.How == Outcome::Unknown && !attempt.Repeatable)
    return RetryVerdict::NotRepeatable;
  if (attempt.Attempts >= Settings.MaxAttempts)
    return RetryVerdict::AttemptsExhausted;
  if (attempt.Deadline - now < Settings.MinAttemptTime)
    return RetryVerdict::DeadlineTooNear;
  return RetryVerdict::Retry;
}

double RetryPolicy::budget() const {
  std::lock_guard lock(Mutex);
  return Budget;
}

} // namespace hemlockglade
