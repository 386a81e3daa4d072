#include "Hemlockglade/Coordination/Route/ReplicaPauses.h"

#include <algorithm>

namespace hemlockglade {

bool ReplicaPauses::onAsked(const std::string &replica, Span span,
                            Instant now) {
  auto until = now + std::clamp(span, Span(0), Options.MaxPause);
  auto &pause = Pauses[replica];
  if (until <= std::max(now, pause.Until))
    return false;
  if (now >= pause.Until)
    pause.AskedAt = now;
  pause.Until = until;
  return true;
}

bool ReplicaPauses::isPaused(const std::string &replica, Instant now) const {
  auto it = Pauses.find(replica);
  return it != Pauses.end() && now < it->second.Until;
}

std::optional<Span> ReplicaPauses::askedAgo(const std::string &replica,
                                            Instant now) const {
  auto it = Pauses.find(replica);
  if (it == Pauses.end() || now >= it->second.Until)
    return std::nullopt;
  return now - it->second.AskedAt;
}

std::size_t ReplicaPauses::count(Instant now) const {
  return static_cast<std::size_t>(
      std::count_if(Pauses.begin(), Pauses.end(),
                    [now](const auto &it) { return now < it.second.Until; }));
}

void ReplicaPauses::removeExpired(Instant now) {
  std::erase_if(Pauses,
                [now](const auto &it) { return now >= it.second.Until; });
}

} // namespace hemlockglade
