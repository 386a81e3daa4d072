#pragma once

#include "Hemlockglade/Coordination/Quota/QuotaShares.h"

#include <map>

namespace hemlockglade {

/// What an entry asks of a keeper for one workspace, in the limit's units.
struct QuotaRequest {
  std::string Workspace;
  /// One for each request that waits, in order.
  std::vector<double> Requested;
  /// For requests that are expected.
  double Ahead = 0;
  /// Granted before and not used.
  double Unused = 0;
  /// Used without a grant, by requests that ran once more.
  double Charged = 0;
};

struct QuotaGrant {
  std::string Workspace;
  /// Whether the keeper keeps a part of the workspace's limit.
  bool Managed = false;
  /// So many of the needs are granted, from the first on.
  std::uint32_t GrantedCount = 0;
  double Ahead = 0;
  /// How long until the next need would pass; 0 if all did.
  Span EmptyFor{0};
};

/// The owner of a cell keeps its part of the workspaces' limits: one bucket
/// each, from which entries are granted what they ask for. Only one node keeps
/// a cell's part at a time, by the cell's lease; the next one begins with empty
/// buckets, so that no burst passes twice.
///
/// Answers the load of many entries that share small limits: whoever has the
/// requests gets the units. No clock, no sockets.
class QuotaServer {
public:
  QuotaServer(std::string cell, QuotaSettings settings)
      : Cell(std::move(cell)), Setup(settings) {}

  /// Begins anew, since another node may have granted before.
  void reset() { Buckets.clear(); }
  /// The limits that are in force, and all cells.
  void setLimits(const WorkspaceDirectory &workspaces,
                 std::span<const std::string> cells, Instant now);
  QuotaGrant onRequest(const QuotaRequest &ask, Instant now);
  /// Workspaces whose limits this cell keeps a part of.
  std::size_t size() const { return Buckets.size(); }

private:
  const std::string Cell;
  const QuotaSettings Setup;
  std::map<std::string, TokenBucket, std::less<>> Buckets;
};

} // namespace hemlockglade
