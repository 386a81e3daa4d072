// The part of ReplicaView about limits that replicas state.

#include "Hemlockglade/Coordination/Route/ReplicaView.h"

#include <algorithm>

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

void ReplicaView::onRejectionLimit(const std::string &replica,
                                   std::optional<double> perSecond,
                                   Instant statedAt) {
  if (auto it = Replicas.find(replica); it != Replicas.end())
    Rejections.onStated(it->second.Record->Service, perSecond, statedAt);
}

void ReplicaView::onRejected(const std::string &replica, Instant now) {
  if (auto it = Replicas.find(replica); it != Replicas.end())
    Rejections.onRejected(it->second.Record->Service, replica, TrafficShare,
                          now);
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
