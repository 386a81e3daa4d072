#include "Hemlockglade/Coordination/Route/RejectionLimits.h"

#include <algorithm>

namespace hemlockglade {

void RejectionLimits::onStated(const std::string &service,
                               std::optional<double> perSecond,
                               Instant statedAt) {
  auto it = Statements.find(service);
  if (it == Statements.end()) {
    if (perSecond)
      Statements[service] = {perSecond, statedAt};
    return;
  }
  // An answer to an earlier request may overtake a later one.
  if (statedAt >= it->second.StatedAt)
    it->second = {perSecond, statedAt};
}

bool RejectionLimits::applies(const std::string &service, Instant now) const {
  auto it = Statements.find(service);
  return it != Statements.end() && it->second.PerSecond &&
         now - it->second.StatedAt < Options.Memory;
}

void RejectionLimits::onRejected(const std::string &service,
                                 const std::string &replica,
                                 double trafficShare, Instant now) {
  std::erase_if(PausedUntil,
                [now](const auto &it) { return now >= it.second; });
  if (!applies(service, now))
    return;
  auto perSecond = *Statements.at(service).PerSecond * Options.UsedShare *
                   std::max(trafficShare, 0.0);
  auto pause = perSecond > 0 ? spanOf(1 / perSecond) : Options.MaxPause;
  auto until = now + std::clamp(pause, Options.MinPause, Options.MaxPause);
  auto &at = PausedUntil[replica];
  at = std::max(at, until);
}

bool RejectionLimits::isPaused(const std::string &replica, Instant now) const {
  auto it = PausedUntil.find(replica);
  return it != PausedUntil.end() && now < it->second;
}

} // namespace hemlockglade
