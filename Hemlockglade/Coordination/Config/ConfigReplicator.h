#pragma once

#include "Hemlockglade/Coordination/Config/ConfigHistory.h"
#include "Hemlockglade/Coordination/Config/SnapshotWriter.h"
#include "Hemlockglade/State/Config/CatalogStore.h"

#include <memory>
#include <mutex>

namespace hemlockglade {

/// Keeps this node's configuration at the newest accepted revision and takes
/// operators' proposals to the table. A proposal is accepted once the table
/// has it; a revision in force here only ever rises. Safe to call from
/// several threads; hooks are called without the lock.
class ConfigReplicator : public std::enable_shared_from_this<ConfigReplicator> {
public:
  ConfigReplicator(const ConfigSettings &settings, ConfigHooks hooks);

  /// To be called about once a second: looks at the table when it is time and
  /// goes on catching up.
  void round();
  /// A peer said that this revision exists.
  void learn(Revision number, const std::string &peer);
  /// Takes a proposal to the table and tells how it ended.
  void propose(ConfigProposal proposal, ConfigCallback done);
  /// Answers a peer.
  ConfigAnswer answer(const ConfigFetch &fetch) const;

  /// The configuration in force.
  std::shared_ptr<const CatalogView> current() const { return Store.current(); }
  /// Newest revision heard of, in force here or not.
  Revision newestHeard() const;
  /// Whether the table or a peer was heard, and all that was heard of is in
  /// force. A starting node is ready only then.
  bool caughtUp() const;

private:
  enum class Source : std::uint8_t { Peer, Table };

  void lookAtTable();
  void onTableHead(const ConfigHead &head);
  void catchUp();
  void begin(Source source, std::optional<std::string> peer);
  /// Gives the fetch its whole time from now on.
  void extend(std::uint64_t token);
  /// The hooks, where each step of a long transfer extends the fetch.
  ConfigHooks watched(std::uint64_t token);
  void expire(std::uint64_t token);
  bool isStale(std::uint64_t token) const;
  void finish(std::uint64_t token, bool progress);

  void askPeer(std::uint64_t token, const std::string &peer);
  void onPeerAnswer(std::uint64_t token, const std::string &peer,
                    std::optional<ConfigAnswer> answer);
  void transferFrom(std::uint64_t token, const std::string &peer);

  void readTable(std::uint64_t token);
  void readHeadRow(std::uint64_t token, const ConfigHead &head);
  void readRow(std::uint64_t token);
  void readRows(std::uint64_t token);
  void applyRows(std::uint64_t token, std::vector<std::string> rows,
                 std::size_t index, bool progress);
  void readSnapshot(std::uint64_t token, Revision number);

  /// Puts an encoded delta in force if it is the next; false if it isn't.
  bool applyText(const std::string &text);
  bool replace(CatalogView view);
  void publish();
  void onCommitted(const ConfigCommitRecord &record, const std::string &text,
                   const ConfigHead &head);

  ConfigSettings Settings;
  ConfigHooks Hooks;
  CatalogStore Store;
  std::shared_ptr<SnapshotWriter> Snapshots;

  /// Held while a revision is put in force, so that revisions and the history
  /// go together.
  mutable std::mutex ApplyMutex;
  ConfigHistory History;

  std::mutex PublishMutex;
  Revision Published = 0;
  /// A thread is calling OnInForce; so the calls come one by one and rise.
  bool Publishing = false;

  mutable std::mutex Mutex;
  Revision Target = 0;
  std::string Teller;
  bool Heard = false;
  bool Fetching = false;
  /// Source of the fetch that is to come; they alternate after failures.
  Source NextSource = Source::Peer;
  /// Number of the running fetch; answers to earlier ones are dropped.
  std::uint64_t Token = 0;
  Instant FetchEnds{};
  Instant NextLook{};
};

} // namespace hemlockglade
