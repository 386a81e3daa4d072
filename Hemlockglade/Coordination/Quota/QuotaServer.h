#pragma once

#include "Hemlockglade/Coordination/Quota/QuotaShares.h"
#include "Hemlockglade/Coordination/Quota/ReplicaQuota.h"

#include <map>

namespace hemlockglade {

/// What an entry requests from a quota server for one workspace, in the limit's
/// units.
struct QuotaRequest {
  std::string Workspace;
  /// Units of each request that waits, in order.
  std::vector<double> Requested;
  /// Units for requests that are expected.
  double Ahead = 0;
  /// Units that were granted before and not used.
  double Unused = 0;
  /// Units that were used without a grant, by requests that ran once more.
  double Charged = 0;
  /// Requests a second that a replica accepts, as the entry knows; 0 if the
  /// limit is a workspace's.
  double ReplicaLimit = 0;
  /// How long ago requests were sent to the replica without a grant.
  std::vector<Span> SentAgo;
};

/// A quota server's answer to a `QuotaRequest`.
struct QuotaGrant {
  std::string Workspace;
  /// Whether the server manages a part of the workspace's limit.
  bool Managed = false;
  /// Number of requests that are granted, from the first on.
  std::uint32_t GrantedCount = 0;
  /// Units granted ahead: all that were requested, or 0.
  double Ahead = 0;
  /// Time until the next request would pass; 0 if all did.
  Span EmptyFor{0};
};

/// The quota server at the owner of a cell manages the cell's part of the
/// workspaces' limits: one bucket each, from which entries are granted units.
/// The cell's lease ensures that one node at a time manages this part. The next
/// owner starts with empty buckets, so that no burst passes twice.
///
/// It also grants requests to replicas that state a limit, each of which one
/// cell is responsible for; their limits are known from the entries.
///
/// Units go to the entries that have the requests, so that many entries can
/// share a small limit. Deterministic: time is passed in, and it does no I/O.
class QuotaServer {
public:
  QuotaServer(std::string cell, QuotaSettings settings)
      : Cell(std::move(cell)), Options(settings) {}

  /// Removes all buckets, since another node may have granted units before.
  void reset() {
    Buckets.clear();
    Replicas.clear();
  }
  /// Sets the limits that are in force, and all cells.
  void setLimits(const WorkspaceDirectory &workspaces,
                 std::span<const std::string> cells, Instant now);
  /// Settles what the entry reports and grants what the bucket has.
  QuotaGrant onRequest(const QuotaRequest &request, Instant now);
  /// Number of workspaces whose limits this cell manages a part of.
  std::size_t size() const { return Buckets.size(); }

private:
  QuotaGrant onReplicaRequest(const QuotaRequest &request, Instant now);
  ReplicaQuota &replicaQuota(const QuotaRequest &request, Instant now);

  const std::string Cell;
  const QuotaSettings Options;
  std::map<std::string, TokenBucket, std::less<>> Buckets;
  std::map<std::string, ReplicaQuota, std::less<>> Replicas;
};

} // namespace hemlockglade
