#include "Hemlockglade/Coordination/Crash/EndWatch.h"

#include <utility>

namespace hemlockglade {

SuspectEnd EndWatch::endOf(const BrokenAttempt &attempt) {
  return {attempt.Key,
          {crashTag(attempt.Life.text()), attempt.SentAt, attempt.BrokeAt,
           crashTag(attempt.FailureDomain)}};
}

std::vector<SuspectEnd> EndWatch::onBroken(const BrokenAttempt &attempt) {
  if (attempt.BeganAt && attempt.BrokeAt - *attempt.BeganAt > Setup.Recent)
    return {};
  if (Ended.contains(attempt.Life.text()))
    return {endOf(attempt)};
  if (Broken < Setup.MaxBroken) {
    Doubts[attempt.Life.text()].Attempts.push_back(attempt);
    ++Broken;
  }
  return {};
}

bool EndWatch::wantsLook(const ReplicaLife &life) {
  auto it = Doubts.find(life.text());
  return it != Doubts.end() && !std::exchange(it->second.Looking, true);
}

std::vector<SuspectEnd> EndWatch::onEnded(const ReplicaLife &life,
                                          Instant now) {
  Ended.try_emplace(life.text(), now);
  std::vector<SuspectEnd> out;
  auto it = Doubts.find(life.text());
  if (it == Doubts.end())
    return out;
  for (const auto &attempt : it->second.Attempts)
    out.push_back(endOf(attempt));
  Broken -= out.size();
  Doubts.erase(it);
  return out;
}

std::vector<SuspectEnd> EndWatch::onGone(const std::string &id, Instant now) {
  std::vector<ReplicaLife> lives;
  for (const auto &[text, doubt] : Doubts)
    if (!doubt.Attempts.empty() && doubt.Attempts.front().Life.id() == id)
      lives.push_back(doubt.Attempts.front().Life);
  std::vector<SuspectEnd> out;
  for (const auto &it : lives)
    for (auto &end : onEnded(it, now))
      out.push_back(end);
  return out;
}

void EndWatch::onListening(const ReplicaLife &life) {
  if (auto it = Doubts.find(life.text()); it != Doubts.end())
    it->second.Looking = false;
}

void EndWatch::tidy(Instant now) {
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
