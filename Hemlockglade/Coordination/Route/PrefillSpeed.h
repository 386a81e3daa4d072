#pragma once

#include "Hemlockglade/State/Ids.h"

#include <optional>

namespace hemlockglade {

/// Estimates the prefill speed of engines from the times to the first event: a
/// linear regression of time over tokens with exponentially decaying weights.
class PrefillSpeed {
public:
  struct Settings {
    /// Used until there are enough samples: 20 tokens per millisecond.
    double InitialUsPerToken = 50;
    /// Factor by which the weight of older samples decays with each new one.
    double SampleDecay = 0.99;
    /// Sum of the samples' decayed weights from which the regression is used.
    double MinSamples = 12;
    /// The slope is kept within this factor of the initial value.
    double MaxDeviationFactor = 8;
  };

  PrefillSpeed() : PrefillSpeed(Settings{}) {}
  explicit PrefillSpeed(Settings settings) : Options(settings) {}

  void add(std::uint32_t tokens, Span took);
  double usPerToken() const;
  /// Returns the typical time for a number of tokens, with what does not depend
  /// on their number; nothing until there are enough samples.
  std::optional<Span> expected(std::uint32_t tokens) const;

private:
  Settings Options;
  double SumWeights = 0;
  double SumTokens = 0;
  double SumTimes = 0;
  double SumTokensSquared = 0;
  double SumTokensTimes = 0;
};

} // namespace hemlockglade
