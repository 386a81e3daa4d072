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

std::optional<Span> PrefillSpeed::expected(std::uint32_t tokens) const {
  if (SumWeights < Options.MinSamples)
    return std::nullopt;
  double meanTokens = SumTokens / SumWeights;
  double us = SumTimes / SumWeights + usPerToken() * (tokens - meanTokens);
  return Span(static_cast<std::int64_t>(std::max(1.0, us)));
}

} // namespace hemlockglade
