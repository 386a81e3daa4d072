#include "Hemlockglade/Coordination/Orders/LoadConcurrency.h"

#include <algorithm>
#include <utility>

namespace hemlockglade {

double LoadConcurrency::first() const {
  return std::max(Setup.Least, Setup.FirstPerRate * Rate);
}

void LoadConcurrency::bound() {
  Number = std::clamp(Number, Setup.LowestShare * first(),
                      std::max(Setup.HighestShare, 1.0) * first());
}

void LoadConcurrency::setRate(double rate) {
  if (rate == Rate && Number > 0)
    return;
  Rate = rate;
  Number = first();
}

void LoadConcurrency::onLoadDelayed(Instant now) {
  // What lies between two calls counts only if it is short: nobody waited in a
  // longer pause.
  constexpr Span Longest = std::chrono::milliseconds(300);
  auto since = now - std::exchange(RoseAt, now);
  bool waitedOn = since > Span(0) && since <= Longest;
  if (!waitedOn || now - FellAt < Setup.FallPause)
    return;
  double most = now < NoProbeUntil ? std::max(first(), Number)
                                   : Setup.HighestShare * first();
  Number += Setup.RisePerSecond * first() * inSeconds(since);
  Number = std::min(Number, most);
  bound();
}

void LoadConcurrency::onLate(Instant now) {
  if (Setup.RisePerSecond <= 0 || now - FellAt < Setup.FallPause)
    return;
  FellAt = now;
  if (Number > first()) {
    NoProbeUntil = now + Setup.ProbePause;
    Number = std::max(first(), Setup.Fall * Number);
  } else {
    Number *= Setup.Fall;
  }
  bound();
}

} // namespace hemlockglade
