#include "Hemlockglade/Coordination/Route/PrefillSpeed.h"

#include <algorithm>

namespace hemlockglade {

void PrefillSpeed::add(std::uint32_t tokens, Span took) {
  double t = tokens;
  auto y = static_cast<double>(took.count());
  N = N * Setup.Fade + 1;
  T = T * Setup.Fade + t;
  Y = Y * Setup.Fade + y;
  TT = TT * Setup.Fade + t * t;
  TY = TY * Setup.Fade + t * y;
}

double PrefillSpeed::usPerToken() const {
  double spread = N * TT - T * T;
  // Prompts that are all of one length tell nothing of the slope.
  constexpr double LeastSpread = 1e4;
  if (N < Setup.LeastSamples || spread < LeastSpread * N * N)
    return Setup.FirstUsPerToken;
  double slope = (N * TY - T * Y) / spread;
  return std::clamp(slope, Setup.FirstUsPerToken / Setup.Bound,
                    Setup.FirstUsPerToken * Setup.Bound);
}

} // namespace hemlockglade
