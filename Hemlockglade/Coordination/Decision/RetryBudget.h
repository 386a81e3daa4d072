#pragma once

namespace hemlockglade {

/// How many second tries are let in.
struct RetrySettings {
  /// Second tries let in for each first try.
  double Share = 0.2;
  /// Second tries that may be saved up.
  double Burst = 20;
};

/// Lets second tries in only as a share of the first tries, so that a storm
/// of retries adds no more than that share to the work.
class RetryBudget {
public:
  explicit RetryBudget(const RetrySettings &settings)
      : Settings(settings), Balance(settings.Burst) {}

  /// A first try came.
  void earn() {
    Balance += Settings.Share;
    if (Balance > Settings.Burst)
      Balance = Settings.Burst;
  }

  /// Whether a second try may come in; if so, it is paid for.
  bool spend() {
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
