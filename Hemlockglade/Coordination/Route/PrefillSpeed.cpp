#include "Hemlockglade/Coordination/Route/PrefillSpeed.h"

#include <algorithm>

namespace hemlockglade {

void PrefillSpeed::add(std::uint32_t tokens, Span took) {
  double t = tokens;
  auto y = static_cast<double>(took.count());
  SumWeights = SumWeights * Options.SampleDecay + 1;
  SumTokens = SumTokens * Options.SampleDecay + t;
  SumTimes = SumTimes * Options.SampleDecay + y;
  SumTokensSquared = SumTokensSquared * Options.SampleDecay + t * t;
  SumTokensTimes = SumTokensTimes * Options.SampleDecay + t * y;
}

double PrefillSpeed::usPerToken() const {
  double spread = SumWeights * SumTokensSquared - SumTokens * SumTokens;
  // Prompts of similar lengths don't determine a slope.
  constexpr double MinSpread = 1e4;
  if (SumWeights < Options.MinSamples ||
      spread < MinSpread * SumWeights * SumWeights)
    return Options.InitialUsPerToken;
  double slope = (SumWeights * SumTokensTimes - SumTokens * SumTimes) / spread;
  return std::clamp(slope,
                    Options.InitialUsPerToken / Options.MaxDeviationFactor,
                    Options.InitialUsPerToken * Options.MaxDeviationFactor);
}

} // namespace hemlockglade
