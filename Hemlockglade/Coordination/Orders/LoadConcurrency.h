#pragma once

#include "Hemlockglade/State/Ids.h"

#include <cstddef>

namespace hemlockglade {

/// Limits how many adapter loads may be in progress at once over all replicas.
/// The weight store serves that many at full speed. With more, all become
/// slower in proportion; with fewer, requests wait for loads that could have
/// started. The limit is not declared anywhere, so it is learnt: it rises while
/// loads are delayed by it and finish in time, and falls when one finishes
/// late.
class LoadConcurrency {
public:
  struct Settings {
    /// Initial limit per base model load a second that the store is declared to
    /// allow, and the minimum of the initial limit.
    double InitialPerRate = 2.4;
    double Least = 8;
    /// Bounds of the learnt limit, as shares of the initial limit.
    double MinShare = 0.8;
    double MaxShare = 1.5;
    /// Rise per second in which loads are delayed, as a share of the initial
    /// limit; 0 keeps the initial limit.
    double RisePerSecond = 0.3;
    /// Factor of the limit after a late load, and how long it is not lowered
    /// again: loads that are late for the same reason finish within about one
    /// load's time.
    double DecreaseFactor = 0.9;
    Span DecreaseInterval = std::chrono::milliseconds(400);
    /// How long the limit is not raised above the initial one after a late
    /// load. Each rise makes some requests go to an engine that does not have
    /// their weights yet.
    Span RaiseBackoff = std::chrono::seconds(10);
  };

  explicit LoadConcurrency(Settings settings) : Options(settings) {}

  /// Sets how many base model loads a second the store is declared to allow.
  void setRate(double rate);
  /// Called while the limit delays loads.
  void onLoadDelayed(Instant now);
  /// Called when an adapter from the store was not loaded by the time it was
  /// due.
  void onLate(Instant now);

  /// Number of loads that may be in progress.
  std::size_t limit() const { return static_cast<std::size_t>(Limit); }

private:
  double initial() const;
  void clampLimit();

  Settings Options;
  double Rate = 0;
  double Limit = 0;
  Instant DelayedAt{-3'600'000'000};
  Instant LoweredAt{-3'600'000'000};
  /// Until then the limit doesn't rise above the initial one.
  Instant RaiseBackoffUntil{};
};

} // namespace hemlockglade
