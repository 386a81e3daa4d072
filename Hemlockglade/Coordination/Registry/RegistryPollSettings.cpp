#include "Hemlockglade/Coordination/Registry/RegistryPollSettings.h"

#include <algorithm>

namespace hemlockglade {

namespace {

/// Shares of a bound; what is left is for the answer and a busy host.
constexpr double WaitShare = 0.5;
constexpr double PatienceShare = 0.35;
constexpr double LongestPauseShare = 0.4;
constexpr double AgeShare = 0.75;
constexpr auto LongestWait = std::chrono::milliseconds(2500);
/// However short a bound is, looks are not made more often.
constexpr auto LeastSpan = std::chrono::milliseconds(5);

Span share(Span bound, double part, Span most) {
  return std::clamp<Span>(scaled(bound, part), LeastSpan, most);
}

} // namespace

RegistryPollSettings RegistryPollSettings::forBounds(Span planBound,
                                                     Span drainBound) {
  const RegistryPollSettings usual;
  auto bound = std::min(planBound, drainBound);
  RegistryPollSettings out;
  out.MaxOperatorWait = share(planBound, WaitShare, LongestWait);
  out.ReplicaPeriod = share(drainBound, WaitShare, usual.ReplicaPeriod);
  out.AnswerTimeout = share(bound, PatienceShare, usual.AnswerTimeout);
  out.MaxRetryPause = share(bound, LongestPauseShare, usual.MaxRetryPause);
  out.MaxOperatorAge = scaled(planBound, AgeShare);
  out.MaxReplicaAge = scaled(drainBound, AgeShare);
  out.RetryPause = std::min(usual.RetryPause, out.MaxRetryPause);
  return out;
}

} // namespace hemlockglade
