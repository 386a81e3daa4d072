#pragma once

#include "Hemlockglade/Coordination/Quota/TokenBucket.h"
#include "Hemlockglade/State/Routing/Workspace.h"

#include <span>
#include <vector>

namespace hemlockglade {

/// How far workspaces may exceed their limits, which apply to all nodes
/// together.
struct QuotaSettings {
  /// Length of the sliding window over which usage is compared with a limit.
  Span Window = std::chrono::seconds(8);
  /// Tolerated excess within a window: a share of what the limit allows, plus
  /// units.
  double Overshoot = 0.1;
  double Slack = 0;
  /// Share of the tolerated excess that buckets may owe. As much again covers a
  /// takeover, and the rest covers what failed nodes were granted ahead.
  double DebtShare = 0.4;
  /// Minimum that the part of one cell must let pass within a window: a few
  /// requests, since a part serves whole requests only.
  double MinPartTokens = 8000;
  double MinPartRequests = 4;
};

/// Returns the units that a limit lets pass within a window.
double allowanceOf(const WorkspaceLimit &limit, const QuotaSettings &settings);

/// Returns the cells whose owners manage a workspace's limit, each an equal
/// part: the same on every node, and in the same order. These are all cells for
/// a large limit, so that the failure of one owner costs only its part, and few
/// or one for a small limit. A replica's own limit is managed by one.
std::vector<std::string> quotaServersOf(std::string_view workspace,
                                        const WorkspaceLimit &limit,
                                        std::span<const std::string> cells,
                                        const QuotaSettings &settings);

/// Returns the bounds of the bucket of one out of `servers` quota servers.
TokenBucket::Settings bucketSettingsFor(const WorkspaceLimit &limit,
                                        std::size_t servers,
                                        const QuotaSettings &settings);

} // namespace hemlockglade
