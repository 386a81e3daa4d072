#include "Hemlockglade/Coordination/Quota/ReplicaQuota.h"

#include <algorithm>

namespace hemlockglade {

Workspace replicaQuotaHolder(std::string_view incarnation, double perSecond) {
  // Workspaces are named in header fields, which have no line breaks.
  constexpr std::string_view Prefix = "replica\n";
  Workspace out;
  out.Name = std::string(Prefix).append(incarnation);
  out.Limit = WorkspaceLimit{LimitUnit::ReplicaRequests, perSecond, 0, 0};
  return out;
}

ReplicaQuota::ReplicaQuota(double perSecond, const Settings &settings,
                           Instant now)
    : Options(settings), PerSecond(std::max(perSecond, settings.MinPerSecond)),
      Bucket(bucketSettings(PerSecond), now), UsedAt(now) {}

TokenBucket::Settings ReplicaQuota::bucketSettings(double perSecond) const {
  TokenBucket::Settings out;
  out.PerSecond = perSecond;
  out.Burst = std::max(1.0, perSecond * inSeconds(Options.BurstTime));
  return out;
}

std::size_t ReplicaQuota::maxInWindow() const {
  auto allowed = PerSecond * inSeconds(Options.Window);
  auto excess = (Options.Overshoot - 1) * allowed + Options.Slack;
  return static_cast<std::size_t>(
      std::max(1.0, allowed + Options.UsedExcess * excess));
}

void ReplicaQuota::setLimit(double perSecond, Instant now) {
  UsedAt = now;
  perSecond = std::max(perSecond, Options.MinPerSecond);
  if (perSecond == PerSecond)
    return;
  PerSecond = perSecond;
  Bucket.setBounds(bucketSettings(perSecond), now);
}

void ReplicaQuota::removeExpired(Instant now) {
  std::erase_if(Counted,
                [this, now](Instant at) { return now - at >= Options.Window; });
}

bool ReplicaQuota::tryTake(Instant now) {
  UsedAt = now;
  removeExpired(now);
  if (Counted.size() >= maxInWindow() || !Bucket.tryTake(1, now))
    return false;
  Counted.push_back(now);
  return true;
}

void ReplicaQuota::release(double requests, Instant now) {
  Bucket.release(requests, now);
  auto n = std::min(requests, static_cast<double>(Counted.size()));
  Counted.resize(Counted.size() - static_cast<std::size_t>(n));
}

Span ReplicaQuota::timeUntilNext(Instant now) {
  removeExpired(now);
  auto out = Bucket.timeUntil(1, now);
  auto most = maxInWindow();
  if (Counted.size() < most)
    return out;
  // The request whose expiry makes room for one more.
  auto it =
      Counted.begin() + static_cast<std::ptrdiff_t>(Counted.size() - most);
  std::nth_element(Counted.begin(), it, Counted.end());
  return std::max(out, *it + Options.Window - now);
}

} // namespace hemlockglade
