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
/// Time in which all entries report to a new owner the places that they use.
constexpr Span PlaceReportTime = std::chrono::milliseconds(1000);
/// How long an entry waits for a place until it is answered that there is none.
/// Shorter than what it takes for a silent owner.
constexpr Span MaxPlaceWait = std::chrono::milliseconds(150);

} // namespace

void QuotaServer::reset(Instant now) {
  Buckets.clear();
  Replicas.clear();
  Places.clear();
  Waiting.clear();
  PlacesFrom = now + PlaceReportTime;
}

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

void QuotaServer::onEntryGone(ReplicaPlaces::NodeId entry, Instant now) {
  for (auto &[holder, it] : Places)
    it.onGone(entry, now);
  std::erase_if(Waiting, [entry](const auto &it) { return it.Entry == entry; });
}

QuotaGrant QuotaServer::grantPlaces(ReplicaPlaces &places,
                                    const WaitingEntry &to, Instant now) {
  QuotaGrant out;
  out.Workspace = to.Holder;
  out.Managed = true;
  for (auto needed : to.Requested) {
    if (!places.tryTake(to.Entry, needed, to.Message, now)) {
      out.EmptyFor = places.timeUntilNext(now);
      return out;
    }
    ++out.GrantedCount;
  }
  return out;
}

std::optional<QuotaGrant>
QuotaServer::onPlaceRequest(const QuotaRequest &request,
                            ReplicaPlaces::NodeId entry, std::uint64_t message,
                            Instant now) {
  std::erase_if(Places, [now](const auto &it) {
    return now - it.second.usedAt() > ReplicaIdleTimeout;
  });
  auto &places =
      Places
          .try_emplace(request.Workspace, ReplicaPlaces::Settings{}, PlacesFrom)
          .first->second;
  places.setBounds(request.Places, request.ReplicaLimit, now);
  places.onReport(entry, request.PlaceReport, message, now);
  WaitingEntry to{entry, message, request.Workspace, request.Requested, now};
  bool waits = request.Waits && !request.Requested.empty();
  // One that waits comes after those that wait already.
  bool isFirst =
      std::none_of(Waiting.begin(), Waiting.end(), [&request](const auto &it) {
        return it.Holder == request.Workspace;
      });
  if (!waits)
    return grantPlaces(places, to, now);
  if (isFirst)
    if (auto out = grantPlaces(places, to, now); out.GrantedCount > 0)
      return out;
  Waiting.push_back(std::move(to));
  return std::nullopt;
}

std::vector<LateGrant> QuotaServer::takeLateGrants(Instant now) {
  std::vector<LateGrant> out;
  std::set<std::string> full;
  for (auto it = Waiting.begin(); it != Waiting.end();) {
    auto places = Places.find(it->Holder);
    bool isOver = places == Places.end() || now - it->Since >= MaxPlaceWait;
    QuotaGrant grant;
    grant.Workspace = it->Holder;
    grant.Managed = true;
    grant.EmptyFor = Span(1);
    if (places != Places.end() && !full.contains(it->Holder))
      grant = grantPlaces(places->second, *it, now);
    if (grant.GrantedCount == 0 && !isOver) {
      full.insert(it->Holder);
      ++it;
      continue;
    }
    out.push_back({it->Entry, it->Message, std::move(grant)});
    it = Waiting.erase(it);
  }
  return out;
}

std::optional<QuotaGrant> QuotaServer::onRequest(const QuotaRequest &request,
                                                 Instant now,
                                                 ReplicaPlaces::NodeId entry,
                                                 std::uint64_t message) {
  if (request.Places > 0)
    return onPlaceRequest(request, entry, message, now);
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
