#pragma once

#include "Hemlockglade/Coordination/Decision/CoreTypes.h"

namespace hemlockglade {

/// Settings of the rate of loads and of the backoff after failures.
struct LoadLimiterSettings {
  /// Number of loads that can accumulate while none is needed.
  double Burst = 2;
  /// Load time that is assumed before any is measured.
  Span InitialEstimate = std::chrono::milliseconds(400);
  /// Consecutive failures, over all adapters, from which the weight store
  /// counts as failing.
  std::uint32_t StoreFailures = 3;
  /// Pause before the next load when the weight store is failing; doubles up to
  /// `MaxPause`.
  Span InitialPause = std::chrono::milliseconds(250);
  Span MaxPause = std::chrono::seconds(4);
};

/// Limits the cell's loads to its share of the weight store, and estimates how
/// long a load takes.
class LoadLimiter {
public:
  explicit LoadLimiter(const LoadLimiterSettings &settings);

  /// Sets the number of parallel loads and the rate of loads that this cell may
  /// use.
  void setShare(std::uint32_t parallel, double loadsPerSecond);
  /// Returns whether a load may start now.
  bool canStart(Instant now);
  /// Called when a load started; it counts as running until `onEnded`.
  void onStarted();
  /// Called when a load ended, whatever its result.
  void onEnded();
  /// Called when a load succeeded after `duration`.
  void onSucceeded(Span duration, Instant now);
  /// Called when a load failed.
  void onFailed(Instant now);

  std::uint32_t running() const { return Running; }
  std::uint32_t parallel() const { return Parallel; }
  /// Returns the mean duration of a load.
  Span expected() const { return Expected; }
  /// Returns the loads per second that can be expected.
  double rate() const;
  /// Returns whether the weight store is failing, for all adapters alike.
  bool isStoreFailing() const { return Failures >= Settings.StoreFailures; }

private:
  void refill(Instant now);

  LoadLimiterSettings Settings;
  std::uint32_t Parallel = 1;
  double LoadsPerSecond = 3.0;
  std::uint32_t Running = 0;
  double Tokens;
  Instant RefilledAt{};
  Span Expected;
  std::uint32_t Failures = 0;
  Instant PausedUntil{};
};

} // namespace hemlockglade
