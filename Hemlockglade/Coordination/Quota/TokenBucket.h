#pragma once

#include "Hemlockglade/State/Ids.h"

namespace hemlockglade {

/// Lets so many units a second pass, and a burst beside. Begins empty, so that
/// one that takes over from another lets no burst pass twice. No clock.
class TokenBucket {
public:
  struct Settings {
    /// Units a second, above 0.
    double PerSecond = 1;
    /// Units that it holds at most.
    double Burst = 0;
    /// Units that it may owe: requests of all sizes pass alike while it holds
    /// anything, rather than the small ones alone.
    double Debt = 0;
    /// Time over which a new bucket comes to its full debt, so that several
    /// takeovers within that time lend it once together.
    Span DebtGrows = std::chrono::seconds(8);
  };

  TokenBucket(const Settings &settings, Instant now)
      : Setup(settings), BegunAt(now), FilledAt(now) {}

  /// Takes over other bounds; what it holds stays, up to the burst.
  void setBounds(const Settings &settings, Instant now);
  /// Whether a request of that size passes; if so, it is taken.
  bool tryTake(double units, Instant now);
  /// Takes units that were used already.
  void charge(double units, Instant now);
  void release(double units, Instant now);
  /// Units that it holds; negative if it owes some.
  double level(Instant now);
  /// How long until a request of that size passes, if nothing else does.
  Span timeUntil(double units, Instant now);
  const Settings &settings() const { return Setup; }

private:
  void fill(Instant now);
  /// Least level at which a request of that size passes.
  double levelFor(double units, Instant now) const;

  Settings Setup;
  Instant BegunAt;
  Instant FilledAt;
  double Level = 0;
};

} // namespace hemlockglade
