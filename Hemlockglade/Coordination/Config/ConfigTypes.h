#pragma once

#include "Hemlockglade/Coordination/Table.h"
#include "Hemlockglade/State/Config/CatalogView.h"

namespace hemlockglade {

/// An accepted commit, as the head row and a conflict report it.
struct ConfigCommitRecord {
  Revision Number = 0;
  std::string CommandId;
  std::string Operator;
  bool operator==(const ConfigCommitRecord &) const = default;
};

/// The row `config/head`: the newest revision and the commits that led to it.
struct ConfigHead {
  Revision Number = 0;
  /// Newest revision that has a snapshot in the object store; 0 for none.
  Revision Snapshot = 0;
  /// The last commits, oldest first.
  std::vector<ConfigCommitRecord> Commits;
};

/// Changes that an operator proposes.
struct ConfigProposal {
  /// Chosen by the operator's tool; a retry of the command has the same.
  std::string CommandId;
  std::string Operator;
  /// Revision that the changes are based on. A retry has the same one. Since a
  /// revision has only one successor, a command takes effect at most once,
  /// however late it is retried.
  Revision Base = 0;
  std::vector<ConfigChange> Changes;
};

/// Result of an accepted proposal.
struct ConfigAccepted {
  Revision Number = 0;
  /// Whether the command had been accepted before this call.
  bool AlreadyAccepted = false;
};

/// Why a proposal was not accepted.
enum class ConfigErrorKind : std::uint8_t {
  /// Another commit follows the proposal's base; nothing was changed.
  Conflict,
  /// The table or the object store doesn't answer; nothing was changed.
  Unavailable,
  /// The table's revision is lower than the proposal's base or the revision in
  /// force on this node; nothing was changed.
  StoreBehind,
  /// There are `MaxRows` deltas without a snapshot; nothing was changed.
  Full,
  /// The command may have been accepted: there was no answer, or it is so old
  /// that the table has no record of it. The caller can retry it with the same
  /// id and base.
  Unknown,
};

struct ConfigError {
  ConfigErrorKind Kind = ConfigErrorKind::Unavailable;
  /// For a conflict: the first commit after the proposal's base.
  std::optional<ConfigCommitRecord> First;
};

using ConfigCallback =
    std::function<void(tl::expected<ConfigAccepted, ConfigError>)>;

/// Request from one node to another for parts of the configuration.
struct ConfigFetch {
  /// Requests the deltas after this revision.
  Revision From = 0;
  /// If not negative, requests this piece of the whole configuration instead.
  std::int32_t Piece = -1;
};

/// Answer to ConfigFetch.
struct ConfigAnswer {
  /// Revision in force at the peer.
  Revision Number = 0;
  /// The peer no longer has all requested deltas; pieces must be requested.
  bool TooOld = false;
  /// Encoded deltas, without a gap from the requested revision on.
  std::vector<std::string> Deltas;
  /// The requested piece, encoded.
  std::string Piece;
};

/// Intervals, timeouts and limits of the configuration's replication.
struct ConfigSettings {
  /// Interval between two reads of the table's head row.
  Span TableInterval = std::chrono::seconds(10);
  /// Time after which a fetch fails if its last step has no answer.
  Span FetchTimeout = std::chrono::seconds(3);
  /// Delay before the head row is read again, after it couldn't be read to find
  /// out the outcome of a commit.
  Span RetryDelay = std::chrono::milliseconds(500);
  /// Submissions and failed reads of one commit before its outcome is reported
  /// as unknown.
  std::uint32_t MaxCommitAttempts = 8;
  /// Max commits that are listed in the head row.
  std::size_t MaxHeadCommits = 64;
  /// Commits between two snapshots.
  std::uint64_t SnapshotInterval = 256;
  /// Delta rows that are kept from before the newest snapshot.
  std::uint64_t RetainedRows = 64;
  /// Commits without a snapshot after which further commits are refused.
  std::uint64_t MaxRows = 4096;
  /// Max size of a delta that is stored in its row, in bytes. Larger ones are
  /// stored in the object store, in objects of this size.
  std::size_t MaxRowBytes = 128UL * 1024;
  /// Max bytes of encoded deltas that a node keeps for its peers.
  std::size_t MaxHistoryBytes = 2UL * 1024 * 1024;
  /// Max bytes of deltas in one answer to a peer; one delta is always sent.
  std::size_t MaxAnswerBytes = 64UL * 1024;
  /// Max number of missing deltas that are read row by row rather than by a
  /// scan.
  std::uint64_t MaxRowReads = 16;
};

/// Functions that the replicator needs from its node. All return at once; the
/// callbacks may be called on any thread, late, or never.
struct ConfigHooks {
  std::function<Instant()> Now;
  /// Calls the function after the delay.
  std::function<void(Span, std::function<void()>)> After;
  TableHooks Table;
  /// Writes an object; `done` gets whether it is stored.
  std::function<void(std::string name, std::string data,
                     std::function<void(bool)> done)>
      PutObject;
  std::function<void(std::string name,
                     std::function<void(std::optional<std::string>)> done)>
      GetObject;
  /// Removes an object, without reporting the result.
  std::function<void(std::string name)> RemoveObject;
  /// Returns a live peer to pass to `FetchFromPeer`, not always the same;
  /// nothing if there is none.
  std::function<std::optional<std::string>()> AnyPeer;
  std::function<void(std::string peer, ConfigFetch fetch,
                     std::function<void(std::optional<ConfigAnswer>)> done)>
      FetchFromPeer;
  /// Called when a higher revision is in force, one call at a time and in
  /// rising order of revisions.
  std::function<void(std::shared_ptr<const CatalogView>)> OnInForce;
};

} // namespace hemlockglade
