#pragma once

#include "Hemlockglade/State/Ids.h"

namespace hemlockglade {

/// How fast engines read prompts, learnt from how long first events took: a
/// straight line through time and tokens, older samples fading.
class PrefillSpeed {
public:
  struct Settings {
    /// What is taken until enough was seen: 20 tokens a millisecond.
    double FirstUsPerToken = 50;
    /// Weight that older samples keep with each new one.
    double Fade = 0.99;
    /// Samples, fading ones counted by weight, before the line is trusted.
    double LeastSamples = 12;
    /// The line is kept within this factor of the first value.
    double Bound = 8;
  };

  PrefillSpeed() : PrefillSpeed(Settings{}) {}
  explicit PrefillSpeed(Settings settings) : Setup(settings) {}

  void add(std::uint32_t tokens, Span took);
  double usPerToken() const;

private:
  Settings Setup;
  double N = 0;
  double T = 0;
  double Y = 0;
  double TT = 0;
  double TY = 0;
};

} // namespace hemlockglade
