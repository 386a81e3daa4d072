#pragma once

#include "Hemlockglade/State/Ids.h"

namespace hemlockglade {

/// Limits a rate of units per second, plus a burst. Starts empty, so that a
/// bucket that takes over from another lets no burst pass twice. Time is passed
/// in.
class TokenBucket {
public:
  struct Settings {
    /// Units per second, above 0.
    double PerSecond = 1;
    /// Maximum level, in units.
    double Burst = 0;
    /// Units that it may owe. Lets requests of all sizes pass alike while the
    /// level is positive, instead of the small ones only.
    double Debt = 0;
    /// Time over which the debt of a new bucket rises to its full value, so
    /// that several takeovers within that time lend it only once in all.
    Span DebtRampTime = std::chrono::seconds(8);
  };

  TokenBucket(const Settings &settings, Instant now)
      : Options(settings), StartedAt(now), RefilledAt(now) {}

  /// Replaces the settings; the level stays, up to the new burst.
  void setBounds(const Settings &settings, Instant now);
  /// Takes the units and returns true if a request of that size passes.
  bool tryTake(double units, Instant now);
  /// Takes units that were used already, whatever the level.
  void charge(double units, Instant now);
  /// Adds back units that were taken and not used, up to the burst.
  void release(double units, Instant now);
  /// Returns the level in units; negative if it owes some.
  double level(Instant now);
  /// Returns the time until a request of that size passes, if no other does.
  Span timeUntil(double units, Instant now);
  const Settings &settings() const { return Options; }

private:
  void refill(Instant now);
  /// Returns the minimum level at which a request of that size passes.
  double minLevelFor(double units, Instant now) const;

  Settings Options;
  Instant StartedAt;
  Instant RefilledAt;
  double Level = 0;
};

} // namespace hemlockglade
