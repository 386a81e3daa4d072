#include "Hemlockglade/Coordination/Route/ReplicaPauses.h"

#include <algorithm>

namespace hemlockglade {

bool ReplicaPauses::onAsked(const std::string &replica, Span span,
                            Instant now) {
  span = std::clamp(span, Span(0), Options.MaxPause);
  auto until = now + span;
  auto known = Pauses.find(replica);
  bool isKnown = known != Pauses.end();
  if (until <= now || (isKnown && until <= known->second.Until) ||
      (!isKnown && Pauses.size() >= Options.MaxReplicas))
    return false;
  auto &pause = Pauses[replica];
  if (now >= pause.ReturnsAt)
    pause.AskedAt = now;
  pause.Until = until;
  auto spread = std::min(scaled(span, Options.ReturnSpreadShare),
                         Options.MaxReturnSpread);
  std::uniform_real_distribution<double> share(0, 1);
  pause.ReturnsAt =
      std::max(pause.ReturnsAt, until + scaled(spread, share(Random)));
  pause.Window = 1;
  // What was sent before the pause says nothing about the time after it.
  pause.Unanswered.clear();
  return true;
}

std::optional<Instant> ReplicaPauses::returnsAt(const std::string &replica,
                                                Instant now) const {
  if (Pauses.empty())
    return std::nullopt;
  auto it = Pauses.find(replica);
  if (it == Pauses.end() || now >= it->second.ReturnsAt)
    return std::nullopt;
  return it->second.ReturnsAt;
}

std::optional<Span> ReplicaPauses::askedAgo(const std::string &replica,
                                            Instant now) const {
  if (!isPaused(replica, now))
    return std::nullopt;
  return now - Pauses.at(replica).AskedAt;
}

bool ReplicaPauses::hasRoom(const std::string &replica, Instant now) const {
  auto it = Pauses.find(replica);
  if (it == Pauses.end())
    return true;
  const auto &pause = it->second;
  return now >= pause.ReturnsAt && pause.Unanswered.size() < pause.Window;
}

void ReplicaPauses::onSent(const std::string &replica, std::uint64_t attempt,
                           Instant now) {
  auto it = Pauses.find(replica);
  if (it != Pauses.end() && now >= it->second.ReturnsAt)
    it->second.Unanswered.insert(attempt);
}

void ReplicaPauses::onAnswered(const std::string &replica,
                               std::uint64_t attempt, bool accepted,
                               Instant now) {
  auto it = Pauses.find(replica);
  if (it == Pauses.end() || it->second.Unanswered.erase(attempt) == 0)
    return;
  it->second.Window += accepted ? 1 : 0;
  if (it->second.Window >= Options.FullWindow && now >= it->second.ReturnsAt)
    Pauses.erase(it);
}

void ReplicaPauses::onEnd(const std::string &replica, std::uint64_t attempt) {
  if (auto it = Pauses.find(replica); it != Pauses.end())
    it->second.Unanswered.erase(attempt);
}

std::map<std::string, Instant> ReplicaPauses::paused(Instant now) const {
  std::map<std::string, Instant> out;
  for (const auto &[replica, it] : Pauses)
    if (now < it.ReturnsAt)
      out[replica] = it.ReturnsAt;
  return out;
}

void ReplicaPauses::removeExpired(Instant now) {
  // A replica that got so little since its pause is not in want of room.
  constexpr auto MaxReturnTime = std::chrono::seconds(30);
  std::erase_if(Pauses, [now, MaxReturnTime](const auto &it) {
    return now >= it.second.ReturnsAt + MaxReturnTime;
  });
}

} // namespace hemlockglade
