#include "Hemlockglade/Coordination/Route/ReplicaHealth.h"

#include <algorithm>
#include <cmath>

namespace hemlockglade {

double ReplicaHealth::decayed(double share, Instant now) const {
  auto age = inSeconds(now - UpdatedAt);
  auto halfLife = inSeconds(Options.HalfLife);
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
  TypicalTime += Span(static_cast<std::int64_t>(
      Options.SmoothingFactor *
      static_cast<double>((took - TypicalTime).count())));
}

void ReplicaHealth::onEnd(std::uint64_t attempt, AttemptVerdict verdict,
                          Instant now) {
  Unanswered.erase(attempt);
  if (verdict == AttemptVerdict::Paused)
    return;
  bool isFailed = verdict == AttemptVerdict::NoValidAnswer ||
                  verdict == AttemptVerdict::Shed;
  bool isError = verdict == AttemptVerdict::ReplicaError;
  FailedShare = decayed(FailedShare, now);
  ErrorShare = decayed(ErrorShare, now);
  FailedShare +=
      Options.SmoothingFactor * ((isFailed ? 1.0 : 0.0) - FailedShare);
  ErrorShare += Options.SmoothingFactor * ((isError ? 1.0 : 0.0) - ErrorShare);
  UpdatedAt = now;
}

double ReplicaHealth::failureShare(Instant now) const {
  return decayed(FailedShare, now);
}

double ReplicaHealth::replicaErrorShare(Instant now) const {
  return decayed(ErrorShare, now);
}

bool ReplicaHealth::isOverdue(Instant now) const {
  if (Unanswered.empty())
    return false;
  // Attempts are numbered in the order in which they are sent.
  auto waitTime = now - Unanswered.begin()->second;
  auto bound = Span(static_cast<std::int64_t>(
      Options.OverdueFactor * static_cast<double>(TypicalTime.count())));
  return waitTime > std::max(bound, Options.MinOverdueTime);
}

} // namespace hemlockglade
