#include "Hemlockglade/Coordination/Registry/LookPace.h"

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

LookPace LookPace::within(Span planBound, Span drainBound) {
  const LookPace usual;
  auto bound = std::min(planBound, drainBound);
  LookPace out;
  out.OperatorWait = share(planBound, WaitShare, LongestWait);
  out.ReplicaPeriod = share(drainBound, WaitShare, usual.ReplicaPeriod);
  out.Patience = share(bound, PatienceShare, usual.Patience);
  out.LongestPause = share(bound, LongestPauseShare, usual.LongestPause);
  out.OperatorAge = scaled(planBound, AgeShare);
  out.ReplicaAge = scaled(drainBound, AgeShare);
  out.Pause = std::min(usual.Pause, out.LongestPause);
  return out;
}

} // namespace hemlockglade
