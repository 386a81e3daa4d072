#include "Hemlockglade/Coordination/Crash/ReplicaEndDetector.h"

#include <utility>

namespace hemlockglade {

SuspectCrash ReplicaEndDetector::endOf(const BrokenAttempt &attempt) {
  return {attempt.Key,
          {crashTag(attempt.Incarnation.text()), attempt.SentAt,
           attempt.BrokeAt, crashTag(attempt.FailureDomain)}};
}

std::vector<SuspectCrash>
ReplicaEndDetector::onBroken(const BrokenAttempt &attempt) {
  if (attempt.AnswerBeganAt &&
      attempt.BrokeAt - *attempt.AnswerBeganAt > Setup.Recent)
    return {};
  if (Ended.contains(attempt.Incarnation.text()))
    return {endOf(attempt)};
  if (Broken < Setup.MaxBroken) {
    Doubts[attempt.Incarnation.text()].Attempts.push_back(attempt);
    ++Broken;
  }
  return {};
}

bool ReplicaEndDetector::needsProbe(const ReplicaIncarnation &life) {
  auto it = Doubts.find(life.text());
  return it != Doubts.end() && !std::exchange(it->second.Looking, true);
}

std::vector<SuspectCrash>
ReplicaEndDetector::onEnded(const ReplicaIncarnation &life, Instant now) {
  Ended.try_emplace(life.text(), now);
  std::vector<SuspectCrash> out;
  auto it = Doubts.find(life.text());
  if (it == Doubts.end())
    return out;
  for (const auto &attempt : it->second.Attempts)
    out.push_back(endOf(attempt));
  Broken -= out.size();
  Doubts.erase(it);
  return out;
}

std::vector<SuspectCrash> ReplicaEndDetector::onRemoved(const std::string &id,
                                                        Instant now) {
  std::vector<ReplicaIncarnation> lives;
  for (const auto &[text, doubt] : Doubts)
    if (!doubt.Attempts.empty() &&
        doubt.Attempts.front().Incarnation.id() == id)
      lives.push_back(doubt.Attempts.front().Incarnation);
  std::vector<SuspectCrash> out;
  for (const auto &it : lives)
    for (auto &end : onEnded(it, now))
      out.push_back(end);
  return out;
}

void ReplicaEndDetector::onListening(const ReplicaIncarnation &life) {
  if (auto it = Doubts.find(life.text()); it != Doubts.end())
    it->second.Looking = false;
}

void ReplicaEndDetector::removeExpired(Instant now) {
  for (auto it = Doubts.begin(); it != Doubts.end();) {
    auto &attempts = it->second.Attempts;
    Broken -= std::erase_if(attempts, [this, now](const auto &attempt) {
      return now - attempt.BrokeAt >= Setup.Patience;
    });
    it = attempts.empty() ? Doubts.erase(it) : std::next(it);
  }
  std::erase_if(Ended, [this, now](const auto &it) {
    return now - it.second >= Setup.Patience;
  });
}

} // namespace hemlockglade
