#pragma once

#include "Hemlockglade/Coordination/Config/ConfigHistory.h"
#include "Hemlockglade/Coordination/Config/SnapshotWriter.h"
#include "Hemlockglade/State/Config/CatalogStore.h"

#include <memory>
#include <mutex>

namespace hemlockglade {

/// Keeps this node's configuration at the newest accepted revision and commits
/// operators' proposals to the table. A proposal is accepted once the table
/// has it; the revision in force on this node never falls. Thread-safe; hooks
/// are called without the lock.
class ConfigReplicator : public std::enable_shared_from_this<ConfigReplicator> {
public:
  ConfigReplicator(const ConfigSettings &settings, ConfigHooks hooks);

  /// Reads the table's head when that is due and continues catching up. Must be
  /// called about once a second.
  void round();
  /// Called when a peer reported that this revision exists.
  void onPeerRevision(Revision number, const std::string &peer);
  /// Commits a proposal to the table; `done` gets the outcome.
  void propose(ConfigProposal proposal, ConfigCallback done);
  /// Returns the answer to a peer's request.
  ConfigAnswer answer(const ConfigFetch &fetch) const;

  /// The configuration in force.
  std::shared_ptr<const CatalogView> current() const { return Store.current(); }
  /// Newest revision that was reported, in force on this node or not.
  Revision newestReported() const;
  /// Whether the table or a peer has reported a revision, and the newest
  /// reported one is in force. A starting node isn't ready before.
  bool caughtUp() const;

private:
  enum class Source : std::uint8_t { Peer, Table };

  void readTableHead();
  void onTableHead(const ConfigHead &head);
  void catchUp();
  void startFetch(Source source, std::optional<std::string> peer);
  /// Restarts the fetch's timeout.
  void restartTimeout(std::uint64_t token);
  /// Returns the hooks, changed so that each request to a peer and each read of
  /// an object restarts the fetch's timeout.
  ConfigHooks timeoutExtendingHooks(std::uint64_t token);
  void onTimeout(std::uint64_t token);
  bool isStale(std::uint64_t token) const;
  void finishFetch(std::uint64_t token, bool progress);

  void fetchFromPeer(std::uint64_t token, const std::string &peer);
  void onPeerAnswer(std::uint64_t token, const std::string &peer,
                    std::optional<ConfigAnswer> answer);
  void transferAll(std::uint64_t token, const std::string &peer);

  void fetchFromTable(std::uint64_t token);
  void readMissing(std::uint64_t token, const ConfigHead &head);
  void readRow(std::uint64_t token);
  void readRows(std::uint64_t token);
  void applyRows(std::uint64_t token, std::vector<std::string> rows,
                 std::size_t index, bool progress);
  void readSnapshot(std::uint64_t token, Revision number);

  /// Puts an encoded delta in force if it is the next one; false if it isn't.
  bool applyEncoded(const std::string &text);
  bool replace(CatalogView view);
  void publish();
  void onCommitted(const ConfigCommitRecord &record, const std::string &text,
                   const ConfigHead &head);

  ConfigSettings Settings;
  ConfigHooks Hooks;
  CatalogStore Store;
  std::shared_ptr<SnapshotWriter> Snapshots;

  /// Held while a revision is put in force, so that the history always matches
  /// the revision.
  mutable std::mutex ApplyMutex;
  ConfigHistory History;

  std::mutex PublishMutex;
  Revision Published = 0;
  /// Whether a thread is calling OnInForce. Only one does at a time, so that
  /// the calls are in order of revisions.
  bool Publishing = false;

  mutable std::mutex Mutex;
  /// Newest reported revision.
  Revision Target = 0;
  /// Peer that last reported a newer revision, until a fetch takes it as its
  /// source.
  std::string TargetPeer;
  /// Whether the table or a peer has answered or reported a revision.
  bool HasReport = false;
  bool Fetching = false;
  /// Source of the next fetch; it alternates after failures.
  Source NextSource = Source::Peer;
  /// Number of the running fetch; answers to earlier ones are ignored.
  std::uint64_t Token = 0;
  Instant FetchDeadline{};
  Instant NextHeadRead{};
};

} // namespace hemlockglade
