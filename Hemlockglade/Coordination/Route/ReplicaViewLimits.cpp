// The part of ReplicaView about limits that replicas state.

#include "Hemlockglade/Coordination/Route/ReplicaView.h"

#include <algorithm>
#include <cmath>

namespace hemlockglade {

bool ReplicaView::onLimit(const std::string &replica,
                          std::optional<double> perSecond, Instant statedAt) {
  auto it = Replicas.find(replica);
  if (it == Replicas.end() || statedAt < it->second.LimitStatedAt)
    return false;
  auto &state = it->second;
  state.LimitStatedAt = statedAt;
  if (std::exchange(state.RequestLimit, perSecond) == perSecond)
    return false;
  state.LimitChangedAt = ++LimitRevision;
  return true;
}

std::optional<PlaceNeed> ReplicaView::placeNeed(const std::string &replica,
                                                const RouteQuery &query) const {
  auto it = Replicas.find(replica);
  return it == Replicas.end() ? std::nullopt : placeNeed(it->second, query);
}

std::optional<PlaceNeed> ReplicaView::placeNeed(const ReplicaState &state,
                                                const RouteQuery &query) const {
  auto limit = Rejections.limitOf(state.Record->Service);
  if (!limit)
    return std::nullopt;
  const auto *service = Plan ? Plan->service(state.Record->Service) : nullptr;
  bool isEngine = service && service->Engine;
  auto slots = isEngine ? service->Engine->Slots : state.Record->Slots;
  PlaceNeed out;
  out.RejectionsPerSecond = *limit;
  out.Places = std::max(1.0, std::floor(Options.RejectionLimitShare *
                                        static_cast<double>(slots)));
  // An engine has room for a request if its memory has as well.
  if (isEngine && service->Engine->MemoryTokens) {
    auto memory = Options.MemoryShare *
                  static_cast<double>(service->Engine->MemoryTokens);
    out.Needed = std::max(1.0, out.Places * query.Tokens / memory);
  }
  return out;
}

void ReplicaView::onRejected(const std::string &replica, Instant now) {
  if (auto it = Replicas.find(replica); it != Replicas.end())
    Rejections.onRejected(it->second.Record->Service, replica, TrafficShare,
                          now);
}

std::map<std::string, Instant> ReplicaView::pausedIn(const std::string &domain,
                                                     Instant now) const {
  auto out = Pauses.paused(now);
  std::erase_if(
      out, [&](const auto &it) { return failureDomainOf(it.first) != domain; });
  return out;
}

std::uint32_t ReplicaView::ownRunningAt(const std::string &replica) const {
  auto it = Replicas.find(replica);
  return it == Replicas.end() ? 0 : it->second.OwnRunning;
}

std::optional<double> ReplicaView::limitOf(const std::string &replica) const {
  auto it = Replicas.find(replica);
  return it == Replicas.end() ? std::nullopt : it->second.RequestLimit;
}

std::vector<StatedLimit>
ReplicaView::limitsSince(const std::string &domain,
                         std::uint64_t revision) const {
  std::vector<StatedLimit> out;
  if (revision == LimitRevision)
    return out;
  for (const auto &[id, state] : Replicas)
    if (state.LimitChangedAt > revision &&
        state.Record->FailureDomain == domain)
      out.push_back({id, state.RequestLimit, state.LimitStatedAt});
  return out;
}

std::vector<Span> ReplicaView::sentAgo(const std::string &replica,
                                       Instant now) const {
  std::vector<Span> out;
  auto it = Replicas.find(replica);
  if (it == Replicas.end())
    return out;
  for (auto at : it->second.UngrantedTimes)
    if (now - at < Options.SentHistory)
      out.push_back(now - at);
  return out;
}

std::set<std::string> ReplicaView::limitedIn(const std::string &domain) const {
  std::set<std::string> out;
  for (const auto &[id, state] : Replicas)
    if (state.RequestLimit && state.Record->FailureDomain == domain)
      out.insert(id);
  return out;
}

std::size_t ReplicaView::limitedCount() const {
  return static_cast<std::size_t>(
      std::count_if(Replicas.begin(), Replicas.end(), [](const auto &it) {
        return isUsable(it.second) && it.second.RequestLimit;
      }));
}

} // namespace hemlockglade
