#include "Hemlockglade/Coordination/Orders/LoadConcurrency.h"

#include <algorithm>
#include <utility>

namespace hemlockglade {

double LoadConcurrency::initial() const {
  return std::max(Options.Least, Options.InitialPerRate * Rate);
}

void LoadConcurrency::clampLimit() {
  Limit = std::clamp(Limit, Options.MinShare * initial(),
                     std::max(Options.MaxShare, 1.0) * initial());
}

void LoadConcurrency::setRate(double rate) {
  if (rate == Rate && Limit > 0)
    return;
  Rate = rate;
  Limit = initial();
}

void LoadConcurrency::onLoadDelayed(Instant now) {
  // The time between two calls counts only if it is short: no load was delayed
  // during a longer pause.
  constexpr Span MaxGap = std::chrono::milliseconds(300);
  auto since = now - std::exchange(DelayedAt, now);
  bool wasDelayed = since > Span(0) && since <= MaxGap;
  if (!wasDelayed || now - LoweredAt < Options.DecreaseInterval)
    return;
  double maxLimit = now < RaiseBackoffUntil ? std::max(initial(), Limit)
                                            : Options.MaxShare * initial();
  Limit += Options.RisePerSecond * initial() * inSeconds(since);
  Limit = std::min(Limit, maxLimit);
  clampLimit();
}

void LoadConcurrency::onLate(Instant now) {
  if (Options.RisePerSecond <= 0 || now - LoweredAt < Options.DecreaseInterval)
    return;
  LoweredAt = now;
  if (Limit > initial()) {
    RaiseBackoffUntil = now + Options.RaiseBackoff;
    Limit = std::max(initial(), Options.DecreaseFactor * Limit);
  } else {
    Limit *= Options.DecreaseFactor;
  }
  clampLimit();
}

} // namespace hemlockglade
