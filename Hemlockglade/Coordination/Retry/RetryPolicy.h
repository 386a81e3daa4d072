#pragma once

#include "Hemlockglade/State/Ids.h"

#include <mutex>

namespace hemlockglade {

/// The state of a request when an attempt failed.
struct FailedAttempt {
  /// The request may run more than once.
  bool Repeatable = true;
  Outcome How = Outcome::Unknown;
  /// A byte of an answer was sent to the caller.
  bool FirstBytePassed = false;
  /// Attempts so far, the first included.
  std::uint32_t Attempts = 1;
  Instant Deadline{};
};

/// Whether a request is retried, or why not.
enum class RetryVerdict : std::uint8_t {
  Retry,
  /// The request is complete: there is nothing to retry.
  Complete,
  /// It may have run, and must not run twice.
  NotRepeatable,
  /// The caller has part of an answer; that of another attempt may differ.
  AnswerBegun,
  DeadlineTooNear,
  AttemptsExhausted,
  /// Retries have reached their share of the traffic.
  BudgetExhausted,
};

/// Limits of retries.
struct RetryPolicySettings {
  /// Maximum attempts of one request, the first included.
  std::uint32_t MaxAttempts = 3;
  /// Retries for each first attempt, on average.
  double BudgetShare = 0.1;
  /// Maximum number of retries that the budget accumulates.
  double BudgetBurst = 20;
  /// Retries per second that are allowed however little traffic there is.
  double FloorPerSecond = 0.5;
  /// Minimum time for an attempt; with less left until the deadline none is
  /// made.
  Span MinAttemptTime = std::chrono::milliseconds(50);
};

/// Decides whether a failed request is retried. Retries are limited to a share
/// of traffic, so that a failure of many requests can't multiply the load. Time
/// is passed in. Safe to call from several threads.
class RetryPolicy {
public:
  explicit RetryPolicy(const RetryPolicySettings &settings);

  /// Called when the first attempt of a request begins; adds `BudgetShare` to
  /// the budget.
  void onFirstAttempt();
  /// Decides whether to retry now; `Retry` takes one retry from the budget.
  RetryVerdict decide(const FailedAttempt &attempt, Instant now);
  /// Returns the retries that are left in the budget.
  double budget() const;

private:
  /// Decides by the attempt alone, without the budget.
  RetryVerdict checkAttempt(const FailedAttempt &attempt, Instant now) const;

  const RetryPolicySettings Settings;

  mutable std::mutex Mutex;
  double Budget;
  Instant RefilledAt{};
};

} // namespace hemlockglade
