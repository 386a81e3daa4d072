#pragma once

namespace hemlockglade {

/// Settings of the retry budget.
struct RetrySettings {
  /// Retries allowed per first attempt.
  double Share = 0.2;
  /// Maximum number of retries that can accumulate.
  double Burst = 20;
};

/// Allows retries only as a share of the first attempts, so that a burst of
/// retries adds no more than that share to the work.
class RetryBudget {
public:
  explicit RetryBudget(const RetrySettings &settings)
      : Settings(settings), Balance(settings.Burst) {}

  /// Adds the share of one first attempt to the budget.
  void deposit() {
    Balance += Settings.Share;
    if (Balance > Settings.Burst)
      Balance = Settings.Burst;
  }

  /// Takes one retry from the budget; returns whether there was one left.
  bool tryWithdraw() {
    if (Balance < 1)
      return false;
    Balance -= 1;
    return true;
  }

private:
  RetrySettings Settings;
  double Balance;
};

} // namespace hemlockglade
