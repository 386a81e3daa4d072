#include "Hemlockglade/Coordination/Quota/TokenBucket.h"

#include <algorithm>

namespace hemlockglade {

void TokenBucket::fill(Instant now) {
  if (now <= FilledAt)
    return;
  Level = std::min(Setup.Burst,
                   Level + Setup.PerSecond * inSeconds(now - FilledAt));
  FilledAt = now;
}

void TokenBucket::setBounds(const Settings &settings, Instant now) {
  fill(now);
  Setup = settings;
  Level = std::min(Level, Setup.Burst);
}

double TokenBucket::levelFor(double units, Instant now) const {
  auto grown = std::clamp(inSeconds(now - BegunAt) / inSeconds(Setup.DebtGrows),
                          0.0, 1.0);
  // A request above the burst would never pass otherwise.
  return std::max(0.0, std::min(units, Setup.Burst) - Setup.Debt * grown);
}

bool TokenBucket::tryTake(double units, Instant now) {
  fill(now);
  if (Level < levelFor(units, now))
    return false;
  Level -= units;
  return true;
}

void TokenBucket::charge(double units, Instant now) {
  fill(now);
  Level -= units;
}

void TokenBucket::release(double units, Instant now) {
  fill(now);
  Level = std::min(Setup.Burst, Level + units);
}

double TokenBucket::level(Instant now) {
  fill(now);
  return Level;
}

Span TokenBucket::timeUntil(double units, Instant now) {
  fill(now);
  auto missing = levelFor(units, now) - Level;
  return missing > 0 ? spanOf(missing / Setup.PerSecond) : Span(0);
}

} // namespace hemlockglade
