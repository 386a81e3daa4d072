#pragma once

#include "Hemlockglade/Coordination/Decision/CoreTypes.h"

namespace hemlockglade {

/// How loads are paced and how failures slow them down.
struct LoadLimiterSettings {
  /// Loads that may be saved up while none was needed.
  double Burst = 2;
  /// Load time that is assumed before any was measured.
  Span FirstEstimate = std::chrono::milliseconds(400);
  /// Failures in a row, over all adapters, that mean the weight store is bad.
  std::uint32_t StoreFailures = 3;
  /// Pause before the next try when the weight store is bad; doubles up to
  /// `LongestPause`.
  Span FirstPause = std::chrono::milliseconds(250);
  Span LongestPause = std::chrono::seconds(4);
};

/// The cell's share of the weight store: who may load now, and how long a load
/// takes.
class LoadLimiter {
public:
  explicit LoadLimiter(const LoadLimiterSettings &settings);

  /// Sets the share.
  void setShare(std::uint32_t parallel, double loadsPerSecond);
  /// Whether a load may start now.
  bool canStart(Instant now);
  /// A load takes a turn.
  void onStarted();
  /// A load gives its turn back, however it ended.
  void onEnded();
  /// A load ended well after `took`.
  void onSucceeded(Span took, Instant now);
  /// A load failed.
  void onFailed(Instant now);

  std::uint32_t running() const { return Running; }
  std::uint32_t parallel() const { return Parallel; }
  /// Mean time of a load.
  Span expected() const { return Expected; }
  /// Loads a second that can be counted on.
  double rate() const;
  /// Whether the weight store fails for all adapters alike.
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
