#pragma once

#include "Hemlockglade/Coordination/Quota/QuotaShares.h"
#include "Hemlockglade/Coordination/Quota/ReplicaPlaces.h"
#include "Hemlockglade/Coordination/Quota/ReplicaQuota.h"

#include <deque>
#include <map>
#include <optional>

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
  /// Requests a second that a replica accepts, or rejections that it bears, as
  /// the entry knows; 0 if the limit is a workspace's.
  double ReplicaLimit = 0;
  /// How long ago requests were sent to the replica without a grant.
  std::vector<Span> SentAgo;
  /// Places of the replica, if places are requested; else 0.
  double Places = 0;
  /// The places that the entry uses.
  ReplicaPlaces::Report PlaceReport;
  /// The entry waits for a place: if there is none the answer may come later.
  bool Waits = false;
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

/// A grant to an entry that has waited for it.
struct LateGrant {
  ReplicaPlaces::NodeId Entry = 0;
  /// Number of the entry's message.
  std::uint64_t Message = 0;
  QuotaGrant Grant;
};

/// The quota server at the owner of a cell manages the cell's part of the
/// workspaces' limits: one bucket each, from which entries are granted units.
/// The cell's lease ensures that one node at a time manages this part. The next
/// owner starts with empty buckets, so that no burst passes twice.
///
/// It also grants requests to replicas that state a limit, and places at those
/// that fail from rejections. One cell is responsible for each of them; their
/// limits are known from the entries.
///
/// Units go to the entries that have the requests, so that many entries can
/// share a small limit. Deterministic: time is passed in, and it does no I/O.
class QuotaServer {
public:
  QuotaServer(std::string cell, QuotaSettings settings)
      : Cell(std::move(cell)), Options(settings) {}

  /// Removes all buckets, since another node may have granted units before.
  /// Places are granted again once all entries had time to report theirs.
  void reset(Instant now);
  /// Sets the limits that are in force, and all cells.
  void setLimits(const WorkspaceDirectory &workspaces,
                 std::span<const std::string> cells, Instant now);
  /// Settles what the entry reports and grants what the bucket has. `entry` is
  /// a number that no other entry has. Returns nothing if the entry waits for a
  /// place: `takeLateGrants` returns the answer to its message later.
  std::optional<QuotaGrant> onRequest(const QuotaRequest &request, Instant now,
                                      ReplicaPlaces::NodeId entry = 0,
                                      std::uint64_t message = 0);
  /// Returns the answers to requests that have waited long enough or for which
  /// there are places now, the earliest first.
  std::vector<LateGrant> takeLateGrants(Instant now);
  /// Called when the connection of an entry has ended.
  void onEntryGone(ReplicaPlaces::NodeId entry, Instant now);
  /// The places of replicas, by their holders' names.
  const std::map<std::string, ReplicaPlaces, std::less<>> &places() const {
    return Places;
  }
  /// Number of workspaces whose limits this cell manages a part of.
  std::size_t size() const { return Buckets.size(); }

private:
  struct WaitingEntry {
    ReplicaPlaces::NodeId Entry = 0;
    std::uint64_t Message = 0;
    std::string Holder;
    std::vector<double> Requested;
    Instant Since{};
  };

  std::optional<QuotaGrant> onPlaceRequest(const QuotaRequest &request,
                                           ReplicaPlaces::NodeId entry,
                                           std::uint64_t message, Instant now);
  /// Grants the first of the requested places that there are.
  static QuotaGrant grantPlaces(ReplicaPlaces &places, const WaitingEntry &to,
                                Instant now);
  QuotaGrant onReplicaRequest(const QuotaRequest &request, Instant now);
  ReplicaQuota &replicaQuota(const QuotaRequest &request, Instant now);

  const std::string Cell;
  const QuotaSettings Options;
  std::map<std::string, TokenBucket, std::less<>> Buckets;
  std::map<std::string, ReplicaQuota, std::less<>> Replicas;
  std::map<std::string, ReplicaPlaces, std::less<>> Places;
  /// Entries that wait for places, in order.
  std::deque<WaitingEntry> Waiting;
  /// Before this no places are granted.
  Instant PlacesFrom{};
};

} // namespace hemlockglade
