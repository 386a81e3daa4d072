#pragma once

#include "Hemlockglade/State/Ids.h"

#include <mutex>

namespace hemlockglade {

/// How far a request had come when it failed.
struct FailedAttempt {
  /// The request may run more than once.
  bool Repeatable = true;
  Outcome How = Outcome::Unknown;
  /// A byte of an answer went to the caller.
  bool FirstBytePassed = false;
  /// Attempts so far, the first included.
  std::uint32_t Attempts = 1;
  Instant Deadline{};
};

/// Why a request is tried again or not.
enum class RetryVerdict : std::uint8_t {
  Retry,
  /// The request is over: nothing to try again.
  Complete,
  /// It may have run, and must not run twice.
  NotRepeatable,
  /// The caller has part of an answer; another attempt's may differ.
  AnswerBegun,
  DeadlineTooNear,
  AttemptsSpent,
  /// Retries have reached their share of the traffic.
  BudgetSpent,
};

/// Bounds of retries.
struct RetryPolicySettings {
  /// Attempts of one request at most, the first included.
  std::uint32_t MaxAttempts = 3;
  /// Retries for each first attempt, on average.
  double BudgetShare = 0.1;
  /// Retries that may be saved up in quiet times.
  double BudgetBurst = 20;
  /// Retries a second that are allowed however little traffic there is.
  double FloorPerSecond = 0.5;
  /// Time an attempt needs at least; with less left none is made.
  Span LeastAttempt = std::chrono::milliseconds(50);
};

/// Decides whether a failed request is tried again. Retries are bounded as a
/// share of traffic, so that a failure of many requests can't multiply the
/// load. Time comes with the calls. Safe to call from several threads.
class RetryPolicy {
public:
  explicit RetryPolicy(const RetryPolicySettings &settings);

  /// A request's first attempt begins.
  void onFirstAttempt();
  /// Whether to try again now; `Retry` takes one retry from the budget.
  RetryVerdict decide(const FailedAttempt &attempt, Instant now);
  /// Retries that the budget has left.
  double budget() const;

private:
  RetryVerdict judge(const FailedAttempt &attempt, Instant now) const;

  const RetryPolicySettings Settings;

  mutable std::mutex Mutex;
  double Budget;
  Instant RefilledAt{};
};

} // namespace hemlockglade
