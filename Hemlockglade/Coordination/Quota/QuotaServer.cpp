#include "Hemlockglade/Coordination/Quota/QuotaServer.h"

#include <algorithm>
#include <set>

namespace hemlockglade {

namespace {

/// Share of its burst that a bucket reserves for requests that wait; only units
/// above it are granted ahead.
constexpr double ReservedShare = 0.5;
/// Quotas of replicas that were not used for this long are removed.
constexpr Span ReplicaIdleTimeout = std::chrono::seconds(30);

} // namespace

void QuotaServer::setLimits(const WorkspaceDirectory &workspaces,
                            std::span<const std::string> cells, Instant now) {
  std::set<std::string, std::less<>> managed;
  for (const auto &it : workspaces.all()) {
    if (!it.Limit)
      continue;
    auto servers = quotaServersOf(it.Name, *it.Limit, cells, Options);
    if (std::find(servers.begin(), servers.end(), Cell) == servers.end())
      continue;
    managed.insert(it.Name);
    auto bounds = bucketSettingsFor(*it.Limit, servers.size(), Options);
    auto [at, isNew] = Buckets.try_emplace(it.Name, TokenBucket(bounds, now));
    if (!isNew)
      at->second.setBounds(bounds, now);
  }
  std::erase_if(Buckets, [&managed](const auto &it) {
    return !managed.contains(it.first);
  });
}

ReplicaQuota &QuotaServer::replicaQuota(const QuotaRequest &request,
                                        Instant now) {
  if (auto it = Replicas.find(request.Workspace); it != Replicas.end()) {
    it->second.setLimit(request.ReplicaLimit, now);
    return it->second;
  }
  std::erase_if(Replicas, [now](const auto &it) {
    return now - it.second.usedAt() > ReplicaIdleTimeout;
  });
  ReplicaQuota quota(request.ReplicaLimit, ReplicaQuota::Settings{}, now);
  return Replicas.emplace(request.Workspace, std::move(quota)).first->second;
}

QuotaGrant QuotaServer::onReplicaRequest(const QuotaRequest &request,
                                         Instant now) {
  QuotaGrant out;
  out.Workspace = request.Workspace;
  out.Managed = true;
  auto &quota = replicaQuota(request, now);
  for (auto ago : request.SentAgo)
    quota.addSent(now - ago);
  quota.release(request.Unused, now);
  for (std::size_t it = 0; it < request.Requested.size(); ++it) {
    if (!quota.tryTake(now)) {
      out.EmptyFor = std::max(Span(1), quota.timeUntilNext(now));
      return out;
    }
    ++out.GrantedCount;
  }
  return out;
}

QuotaGrant QuotaServer::onRequest(const QuotaRequest &request, Instant now) {
  if (request.ReplicaLimit > 0)
    return onReplicaRequest(request, now);
  QuotaGrant out;
  out.Workspace = request.Workspace;
  auto it = Buckets.find(request.Workspace);
  if (it == Buckets.end())
    return out;
  out.Managed = true;
  auto &bucket = it->second;
  bucket.release(request.Unused, now);
  bucket.charge(request.Charged, now);
  for (auto units : request.Requested) {
    if (!bucket.tryTake(units, now)) {
      out.EmptyFor = std::max(Span(1), bucket.timeUntil(units, now));
      return out;
    }
    ++out.GrantedCount;
  }
  auto spare = bucket.level(now) - ReservedShare * bucket.settings().Burst;
  if (request.Ahead > 0 && request.Ahead <= spare) {
    bucket.charge(request.Ahead, now);
    out.Ahead = request.Ahead;
  }
  return out;
}

} // namespace hemlockglade
