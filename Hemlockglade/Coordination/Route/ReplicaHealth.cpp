#include "Hemlockglade/Coordination/Route/ReplicaHealth.h"

#include <algorithm>
#include <cmath>

namespace hemlockglade {

double ReplicaHealth::faded(double share, Instant now) const {
  auto age = inSeconds(now - At);
  auto halfLife = inSeconds(Setup.HalfLife);
  return share * std::exp2(-age / halfLife);
}

void ReplicaHealth::onSent(std::uint64_t attempt, Instant now) {
  Unanswered[attempt] = now;
}

void ReplicaHealth::onAnswered(std::uint64_t attempt, Instant now) {
  auto it = Unanswered.find(attempt);
  if (it == Unanswered.end())
    return;
  auto took = now - it->second;
  Unanswered.erase(it);
  Usual += Span(static_cast<std::int64_t>(
      Setup.Step * static_cast<double>((took - Usual).count())));
}

void ReplicaHealth::onEnd(std::uint64_t attempt, AttemptVerdict verdict,
                          Instant now) {
  Unanswered.erase(attempt);
  bool bad = verdict == AttemptVerdict::NoValidAnswer ||
             verdict == AttemptVerdict::Shed;
  bool own = verdict == AttemptVerdict::ReplicaError;
  Failed = faded(Failed, now);
  OwnFailed = faded(OwnFailed, now);
  Failed += Setup.Step * ((bad ? 1.0 : 0.0) - Failed);
  OwnFailed += Setup.Step * ((own ? 1.0 : 0.0) - OwnFailed);
  At = now;
}

double ReplicaHealth::failureShare(Instant now) const {
  return faded(Failed, now);
}

double ReplicaHealth::replicaErrorShare(Instant now) const {
  return faded(OwnFailed, now);
}

bool ReplicaHealth::isOverdue(Instant now) const {
  if (Unanswered.empty())
    return false;
  // Attempts are numbered in the order in which they are sent.
  auto waits = now - Unanswered.begin()->second;
  auto bound = Span(static_cast<std::int64_t>(
      Setup.OverdueFactor * static_cast<double>(Usual.count())));
  return waits > std::max(bound, Setup.LeastOverdue);
}

} // namespace hemlockglade
