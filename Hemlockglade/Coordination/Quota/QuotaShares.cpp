#include "Hemlockglade/Coordination/Quota/QuotaShares.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace hemlockglade {

namespace {

/// Returns the same value on all nodes, whatever standard library they were
/// built with.
std::uint64_t rankOf(std::string_view workspace, std::string_view cell) {
  std::string text(workspace);
  text.append("@").append(cell);
  return XXH3_64bits(text.data(), text.size());
}

} // namespace

double allowanceOf(const WorkspaceLimit &limit, const QuotaSettings &settings) {
  return limit.PerSecond * inSeconds(settings.Window) + limit.Burst;
}

std::vector<std::string> quotaServersOf(std::string_view workspace,
                                        const WorkspaceLimit &limit,
                                        std::span<const std::string> cells,
                                        const QuotaSettings &settings) {
  if (cells.empty())
    return {};
  bool isReplica = limit.Unit == LimitUnit::ReplicaRequests ||
                   limit.Unit == LimitUnit::ReplicaPlaces;
  bool tokens = limit.Unit == LimitUnit::Tokens;
  auto minPart = tokens ? settings.MinPartTokens : settings.MinPartRequests;
  auto parts = std::floor(allowanceOf(limit, settings) / minPart);
  auto n = isReplica ? 1
                     : static_cast<std::size_t>(std::clamp(
                           parts, 1.0, static_cast<double>(cells.size())));
  std::vector<std::string> out(cells.begin(), cells.end());
  std::sort(out.begin(), out.end(), [workspace](const auto &a, const auto &b) {
    return std::pair(rankOf(workspace, a), std::string_view(a)) >
           std::pair(rankOf(workspace, b), std::string_view(b));
  });
  out.resize(std::min(n, out.size()));
  return out;
}

TokenBucket::Settings bucketSettingsFor(const WorkspaceLimit &limit,
                                        std::size_t servers,
                                        const QuotaSettings &settings) {
  auto n = static_cast<double>(std::max<std::size_t>(1, servers));
  auto excess =
      settings.Overshoot * allowanceOf(limit, settings) + settings.Slack;
  TokenBucket::Settings out;
  out.PerSecond = limit.PerSecond / n;
  out.Burst = limit.Burst / n;
  out.Debt = settings.DebtShare * excess / n;
  out.DebtRampTime = settings.Window;
  return out;
}

} // namespace hemlockglade
