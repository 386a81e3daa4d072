#pragma once

#include "Hemlockglade/Coordination/Table.h"
#include "Hemlockglade/State/Config/CatalogView.h"

namespace hemlockglade {

/// One accepted commit, as others are told of it.
struct ConfigCommitRecord {
  Revision Number = 0;
  std::string CommandId;
  std::string Operator;
  bool operator==(const ConfigCommitRecord &) const = default;
};

/// The row `config/head`: the newest revision and how it came about.
struct ConfigHead {
  Revision Number = 0;
  /// Newest revision of which the object store has a snapshot; 0 for none.
  Revision Snapshot = 0;
  /// The last commits, oldest first.
  std::vector<ConfigCommitRecord> Commits;
};

/// What an operator wants changed.
struct ConfigProposal {
  /// Chosen by the operator's tool; a repeat of the command has the same.
  std::string CommandId;
  std::string Operator;
  /// Revision that the changes were worked out against. A repeat has the same
  /// one; since a revision has one successor, a command that is repeated with
  /// its base takes effect once, however late the repeat comes.
  Revision Base = 0;
  std::vector<ConfigChange> Changes;
};

/// A proposal that was accepted.
struct ConfigAccepted {
  Revision Number = 0;
  /// The command had been accepted before.
  bool Repeated = false;
};

/// Why a proposal was not accepted.
enum class ConfigErrorKind : std::uint8_t {
  /// Another commit came first; nothing was changed.
  Conflict,
  /// The table or the object store doesn't answer; nothing was changed.
  Unavailable,
  /// The table is behind what this node has in force; nothing was changed.
  StoreBehind,
  /// Too many deltas without a snapshot; nothing was changed.
  Full,
  /// The command may have been accepted: there was no answer, or it is so old
  /// that the table no longer says. Repeat it with its id and base.
  Unknown,
};

struct ConfigError {
  ConfigErrorKind Kind = ConfigErrorKind::Unavailable;
  /// For a conflict: the first commit after the proposal's base.
  std::optional<ConfigCommitRecord> First;
};

using ConfigCallback =
    std::function<void(tl::expected<ConfigAccepted, ConfigError>)>;

/// What one node asks another about the configuration.
struct ConfigFetch {
  /// Deltas after this revision are wanted.
  Revision From = 0;
  /// If not negative: that piece of the whole configuration is wanted.
  std::int32_t Piece = -1;
};

/// Answer to ConfigFetch.
struct ConfigAnswer {
  /// Revision in force at the peer.
  Revision Number = 0;
  /// The peer has no longer all deltas that are wanted; ask for pieces.
  bool TooOld = false;
  /// Deltas, encoded, without a gap from the wanted revision on.
  std::vector<std::string> Deltas;
  /// The wanted piece, encoded.
  std::string Piece;
};

/// Limits and times of the configuration's keeping.
struct ConfigSettings {
  /// Time between two looks at the table's head.
  Span TableInterval = std::chrono::seconds(10);
  /// Time after which a fetch is given up whose last step isn't answered.
  Span FetchTimeout = std::chrono::seconds(3);
  /// Time before an unanswered commit is looked at again.
  Span RetryDelay = std::chrono::milliseconds(500);
  /// Times that a commit is tried before its outcome is called unknown.
  std::uint32_t CommitTries = 8;
  /// Commits that the head row names.
  std::size_t HeadCommits = 64;
  /// Commits between two snapshots.
  std::uint64_t SnapshotEvery = 256;
  /// Delta rows that are kept behind a snapshot.
  std::uint64_t KeepRows = 64;
  /// Delta rows after which commits are refused until a snapshot is written.
  std::uint64_t MaxRows = 4096;
  /// Longest delta that is put into its row; longer ones go to the object
  /// store, in objects of this size. Bytes.
  std::size_t MaxRowBytes = 128UL * 1024;
  /// Encoded deltas that a node keeps for its peers, in bytes.
  std::size_t KeepBytes = 2UL * 1024 * 1024;
  /// Deltas in one answer to a peer, in bytes; one delta always goes.
  std::size_t AnswerBytes = 64UL * 1024;
  /// Gap up to which deltas are read row by row rather than by a scan.
  std::uint64_t SmallGap = 16;
};

/// What the keeper needs from its node. All functions return at once; the
/// callbacks may come on any thread, late, or never.
struct ConfigHooks {
  std::function<Instant()> Now;
  /// Calls back after a delay.
  std::function<void(Span, std::function<void()>)> After;
  TableHooks Table;
  /// Puts an object; tells whether it is there.
  std::function<void(std::string name, std::string data,
                     std::function<void(bool)> done)>
      PutObject;
  std::function<void(std::string name,
                     std::function<void(std::optional<std::string>)> done)>
      GetObject;
  /// Removes an object; nothing waits for it.
  std::function<void(std::string name)> DropObject;
  /// Name of a live peer to ask, another one now and then; nothing if alone.
  std::function<std::optional<std::string>()> AnyPeer;
  std::function<void(std::string peer, ConfigFetch fetch,
                     std::function<void(std::optional<ConfigAnswer>)> done)>
      AskPeer;
  /// A higher revision is in force. Calls come in rising order.
  std::function<void(std::shared_ptr<const CatalogView>)> OnInForce;
};

} // namespace hemlockglade
