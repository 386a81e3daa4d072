#include "Hemlockglade/Coordination/Registry/RegistryPollSettings.h"

#include <algorithm>

namespace hemlockglade {

namespace {

/// Shares of a bound; the rest allows for the answer and a busy host.
constexpr double WaitShare = 0.5;
constexpr double TimeoutShare = 0.35;
constexpr double MaxPauseShare = 0.4;
constexpr double AgeShare = 0.75;
constexpr double UsableAgeShare = 0.85;
constexpr auto MaxWait = std::chrono::milliseconds(2500);
/// Minimum interval between polls, however short a bound is.
constexpr auto MinSpan = std::chrono::milliseconds(5);

Span share(Span bound, double part, Span max) {
  return std::clamp<Span>(scaled(bound, part), MinSpan, max);
}

} // namespace

RegistryPollSettings RegistryPollSettings::forBounds(Span planBound,
                                                     Span drainBound) {
  const RegistryPollSettings defaults;
  auto bound = std::min(planBound, drainBound);
  RegistryPollSettings out;
  out.MaxOperatorWait = share(planBound, WaitShare, MaxWait);
  out.ReplicaInterval = share(drainBound, WaitShare, defaults.ReplicaInterval);
  out.AnswerTimeout = share(bound, TimeoutShare, defaults.AnswerTimeout);
  out.MaxRetryDelay = share(bound, MaxPauseShare, defaults.MaxRetryDelay);
  out.MaxOperatorAge = scaled(planBound, AgeShare);
  out.MaxReplicaAge = scaled(drainBound, AgeShare);
  out.MaxUsableAge = scaled(drainBound, UsableAgeShare);
  out.RetryDelay = std::min(defaults.RetryDelay, out.MaxRetryDelay);
  return out;
}

} // namespace hemlockglade
