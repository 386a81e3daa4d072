#pragma once

#include "Hemlockglade/State/Ids.h"

#include <cstddef>

namespace hemlockglade {

/// How many adapter loads may be on their way at once over all replicas. The
/// weight store serves so many at full speed; beyond, all become slower in
/// proportion, and below, requests wait for loads that could have begun. The
/// number is not declared anywhere, so it is learnt: it rises while loads wait
/// for their turn and come in time, and falls when one comes late.
class LoadConcurrency {
public:
  struct Settings {
    /// First number for each base model load a second that the store is
    /// declared to allow, and at least.
    double FirstPerRate = 2.4;
    double Least = 8;
    /// Bounds of what is learnt, as shares of the first number.
    double LowestShare = 0.8;
    double HighestShare = 1.5;
    /// Rise in a second in which loads wait, as a share of the first number; 0
    /// keeps the first number.
    double RisePerSecond = 0.3;
    /// What is left of the number after a late load, and how long it is not
    /// lowered again: loads that were late for the same reason come within
    /// about one load's time.
    double Fall = 0.9;
    Span FallPause = std::chrono::milliseconds(400);
    /// How long a number above the first is not tried again after a late load.
    /// Each try makes some requests ask an engine for what is not there yet.
    Span ProbePause = std::chrono::seconds(10);
  };

  explicit LoadConcurrency(Settings settings) : Setup(settings) {}

  /// The store is declared to allow this many base model loads a second.
  void setRate(double rate);
  /// Loads wait for their turn at this moment.
  void onLoadDelayed(Instant now);
  /// An adapter from the store was not there when it should have been.
  void onLate(Instant now);

  /// Loads that may be on their way.
  std::size_t limit() const { return static_cast<std::size_t>(Number); }

private:
  double first() const;
  void bound();

  Settings Setup;
  double Rate = 0;
  double Number = 0;
  Instant RoseAt{-3'600'000'000};
  Instant FellAt{-3'600'000'000};
  /// Until then the number doesn't rise above the first.
  Instant NoProbeUntil{};
};

} // namespace hemlockglade
