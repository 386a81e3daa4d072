#pragma once

#include "Hemlockglade/Coordination/Quota/TokenBucket.h"
#include "Hemlockglade/State/Routing/Workspace.h"

#include <span>
#include <vector>

namespace hemlockglade {

/// How far the deployment lets workspaces beyond their limits, which hold
/// over all nodes.
struct QuotaSettings {
  /// Any span of this length counts.
  Span Window = std::chrono::seconds(8);
  /// Share of what a limit allows within a window, and units beside.
  double Overshoot = 0.1;
  double Slack = 0;
  /// Share of both that buckets may owe. As much again covers a takeover, and
  /// the rest what nodes that are lost were granted ahead.
  double DebtShare = 0.4;
  /// Least that the part of one cell must let pass within a window: a few
  /// requests, since a part is of use to whole requests only.
  double LeastPartTokens = 8000;
  double LeastPartRequests = 4;
};

/// Units that a limit lets pass within a window.
double allowanceOf(const WorkspaceLimit &limit, const QuotaSettings &settings);

/// Cells whose owners keep a workspace's limit, each an equal part: the same at
/// every node, and in the same order. All cells for a large limit, so that the
/// loss of one owner costs its part only; few or one for a small one.
std::vector<std::string> quotaServersOf(std::string_view workspace,
                                        const WorkspaceLimit &limit,
                                        std::span<const std::string> cells,
                                        const QuotaSettings &settings);

/// Bounds of the bucket of one of so many keepers.
TokenBucket::Settings bucketSettingsFor(const WorkspaceLimit &limit,
                                        std::size_t keepers,
                                        const QuotaSettings &settings);

} // namespace hemlockglade
