#include "Hemlockglade/Coordination/Crash/ReplicaEndDetector.h"

#include "Hemlockglade/Coordination/RowText.h"

#include <utility>

namespace hemlockglade {

SuspectCrash ReplicaEndDetector::crashOf(const BrokenAttempt &attempt) const {
  const auto &progress = attempt.Progress;
  SuspectCrash out;
  out.Subject = attempt.Subject;
  out.Crash = {digestOf(attempt.Incarnation.text()), progress.SentAt,
               attempt.BrokeAt, digestOf(attempt.FailureDomain),
               attempt.SoundAt};
  out.BlamesRequest =
      !progress.BeganAt ||
      attempt.BrokeAt - *progress.BeganAt <= Options.SuspectWindow;
  // Silence after an event may have lasted, so its time tells more than that of
  // the break.
  out.BlamesParts = !progress.BeganAt ||
                    progress.LastEventAt - *progress.BeganAt < WentOnAfter;
  return out;
}

std::vector<SuspectCrash>
ReplicaEndDetector::onBroken(const BrokenAttempt &attempt) {
  auto crash = crashOf(attempt);
  if (!crash.BlamesRequest && !crash.BlamesParts)
    return {};
  if (Ended.contains(attempt.Incarnation.text()))
    return {crash};
  if (BrokenCount < Options.MaxBroken) {
    Suspicions[attempt.Incarnation.text()].Attempts.push_back(attempt);
    ++BrokenCount;
  }
  return {};
}

bool ReplicaEndDetector::needsProbe(const ReplicaIncarnation &incarnation) {
  auto it = Suspicions.find(incarnation.text());
  return it != Suspicions.end() &&
         !std::exchange(it->second.ProbePending, true);
}

std::vector<SuspectCrash>
ReplicaEndDetector::onEnded(const ReplicaIncarnation &incarnation,
                            Instant now) {
  Ended.try_emplace(incarnation.text(), now);
  std::vector<SuspectCrash> out;
  auto it = Suspicions.find(incarnation.text());
  if (it == Suspicions.end())
    return out;
  for (const auto &attempt : it->second.Attempts)
    out.push_back(crashOf(attempt));
  BrokenCount -= out.size();
  Suspicions.erase(it);
  return out;
}

std::vector<SuspectCrash> ReplicaEndDetector::onRemoved(const std::string &id,
                                                        Instant now) {
  std::vector<ReplicaIncarnation> incarnations;
  for (const auto &[key, suspicion] : Suspicions)
    if (!suspicion.Attempts.empty() &&
        suspicion.Attempts.front().Incarnation.id() == id)
      incarnations.push_back(suspicion.Attempts.front().Incarnation);
  std::vector<SuspectCrash> out;
  for (const auto &it : incarnations)
    for (auto &crash : onEnded(it, now))
      out.push_back(crash);
  return out;
}

void ReplicaEndDetector::onReturned(const ReplicaIncarnation &incarnation) {
  Ended.erase(incarnation.text());
}

void ReplicaEndDetector::onListening(const ReplicaIncarnation &incarnation) {
  if (auto it = Suspicions.find(incarnation.text()); it != Suspicions.end())
    it->second.ProbePending = false;
}

void ReplicaEndDetector::removeExpired(Instant now) {
  for (auto it = Suspicions.begin(); it != Suspicions.end();) {
    auto &attempts = it->second.Attempts;
    BrokenCount -= std::erase_if(attempts, [this, now](const auto &attempt) {
      return now - attempt.BrokeAt >= Options.SuspicionTimeout;
    });
    it = attempts.empty() ? Suspicions.erase(it) : std::next(it);
  }
  std::erase_if(Ended, [this, now](const auto &it) {
    return now - it.second >= Options.SuspicionTimeout;
  });
}

} // namespace hemlockglade
