#include "Hemlockglade/Coordination/Quota/QuotaServer.h"

#include <algorithm>
#include <set>

namespace hemlockglade {

namespace {

/// Share of its burst that a bucket keeps for requests that wait; only what it
/// holds beyond is granted ahead.
constexpr double KeptShare = 0.5;

} // namespace

void QuotaServer::setLimits(const WorkspaceDirectory &workspaces,
                            std::span<const std::string> cells, Instant now) {
  std::set<std::string, std::less<>> kept;
  for (const auto &it : workspaces.all()) {
    if (!it.Limit)
      continue;
    auto keepers = quotaServersOf(it.Name, *it.Limit, cells, Setup);
    if (std::find(keepers.begin(), keepers.end(), Cell) == keepers.end())
      continue;
    kept.insert(it.Name);
    auto bounds = bucketSettingsFor(*it.Limit, keepers.size(), Setup);
    auto [at, isNew] = Buckets.try_emplace(it.Name, TokenBucket(bounds, now));
    if (!isNew)
      at->second.setBounds(bounds, now);
  }
  std::erase_if(Buckets,
                [&kept](const auto &it) { return !kept.contains(it.first); });
}

QuotaGrant QuotaServer::onRequest(const QuotaRequest &ask, Instant now) {
  QuotaGrant out;
  out.Workspace = ask.Workspace;
  auto it = Buckets.find(ask.Workspace);
  if (it == Buckets.end())
    return out;
  out.Managed = true;
  auto &bucket = it->second;
  bucket.release(ask.Unused, now);
  bucket.charge(ask.Charged, now);
  for (auto need : ask.Requested) {
    if (!bucket.tryTake(need, now)) {
      out.EmptyFor = std::max(Span(1), bucket.timeUntil(need, now));
      return out;
    }
    ++out.GrantedCount;
  }
  auto spare = bucket.level(now) - KeptShare * bucket.settings().Burst;
  if (ask.Ahead > 0 && ask.Ahead <= spare) {
    bucket.charge(ask.Ahead, now);
    out.Ahead = ask.Ahead;
  }
  return out;
}

} // namespace hemlockglade
