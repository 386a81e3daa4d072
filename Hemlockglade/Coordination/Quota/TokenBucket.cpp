#include "Hemlockglade/Coordination/Quota/TokenBucket.h"

#include <algorithm>

namespace hemlockglade {

void TokenBucket::refill(Instant now) {
  if (now <= RefilledAt)
    return;
  Level = std::min(Options.Burst,
                   Level + Options.PerSecond * inSeconds(now - RefilledAt));
  RefilledAt = now;
}

void TokenBucket::setBounds(const Settings &settings, Instant now) {
  refill(now);
  Options = settings;
  Level = std::min(Level, Options.Burst);
}

double TokenBucket::minLevelFor(double units, Instant now) const {
  auto ramp = std::clamp(
      inSeconds(now - StartedAt) / inSeconds(Options.DebtRampTime), 0.0, 1.0);
  // A request above the burst would never pass otherwise.
  return std::max(0.0, std::min(units, Options.Burst) - Options.Debt * ramp);
}

bool TokenBucket::tryTake(double units, Instant now) {
  refill(now);
  if (Level < minLevelFor(units, now))
    return false;
  Level -= units;
  return true;
}

void TokenBucket::charge(double units, Instant now) {
  refill(now);
  Level -= units;
}

void TokenBucket::release(double units, Instant now) {
  refill(now);
  Level = std::min(Options.Burst, Level + units);
}

double TokenBucket::level(Instant now) {
  refill(now);
  return Level;
}

Span TokenBucket::timeUntil(double units, Instant now) {
  refill(now);
  auto missing = minLevelFor(units, now) - Level;
  return missing > 0 ? spanOf(missing / Options.PerSecond) : Span(0);
}

} // namespace hemlockglade
