#pragma once

#include "Hemlockglade/Coordination/Membership/MemberTable.h"
#include "Hemlockglade/Coordination/Membership/RumourQueue.h"

#include <memory>
#include <mutex>
#include <set>

namespace hemlockglade {

/// Detects which nodes are alive, by probing a few of them each round, and
/// spreads changes as rumours in the probes and their answers (after the SWIM
/// protocol). The bytes that a node sends per round are bounded independently
/// of the number of nodes. Thread-safe; hooks are called without the lock.
class Membership : public std::enable_shared_from_this<Membership> {
public:
  using Reply = std::function<void(std::optional<MemberMessage>)>;

  /// The incarnation in `self` should be higher at each start, for example a
  /// clock's time.
  Membership(const MembershipSettings &settings, MemberRecord self,
             MembershipHooks hooks, std::uint64_t seed);

  /// Sends the probes and rumours of one round. Must be called every
  /// `MembershipSettings::Round`.
  void round();
  /// Handles a peer's message. `reply` may be called later, and gets nothing if
  /// there is no answer.
  void serve(const MemberMessage &message, const Reply &reply);

  /// Announces that this node takes callers, after it was constructed with
  /// `Leaving` set. Does nothing if it takes them already.
  void enter();
  /// Announces that this node drains: it takes no new callers.
  void leave();
  /// Announces that this node stops; called last.
  void depart();
  /// Announces a cell's owner that was read from the table, or that is this
  /// node.
  void announceCell(const CellOwner &cell);
  /// Erases the cells for which `keep` returns false. Called when the
  /// configuration no longer has them.
  void keepCells(const std::function<bool(const std::string &)> &keep);

  /// Returns this node's record, then those of all other nodes, dead ones
  /// included.
  std::vector<MemberRecord> members() const;
  MemberRecord self() const;
  /// Returns the record of another node, or nothing if it isn't known.
  std::optional<MemberRecord> find(const std::string &name) const;
  /// Returns the number of other nodes that are alive or suspect.
  std::size_t liveCount() const;
  std::optional<CellOwner> ownerOf(const std::string &cell) const;
  /// Returns the peer address of a random alive member; nothing if there is
  /// none.
  std::optional<std::string> anyPeer() const;

  /// Pings members until `until` to find out which have the revision in force.
  void watchRevision(Revision revision, Instant until);
  /// Returns the live members that aren't known to have the revision in force.
  std::vector<std::string> lagging(Revision revision) const;

private:
  struct Probe;
  struct Send {
    std::string Name;
    std::string Address;
    MemberMessage Message;
  };
  /// Changes to report to the hooks once the lock is released.
  struct Effects {
    std::vector<MemberRecord> Members;
    std::vector<CellOwner> Cells;
  };

  void setLeaving(bool leaving);

  // Called with the lock held.
  MemberMessage compose(MemberMessageKind kind, const std::string &to,
                        Revision inForce) const;
  void addRumours(MemberMessage &message);
  Send ping(const MemberTable::Member &to, Revision inForce, bool rumours);
  bool isLive(const std::string &name) const;
  void checkForPause(Instant now);
  std::vector<Send> makeProbes(Revision inForce);
  const MemberTable::Member *nextToProbe();
  std::vector<Send> makeGossip(Revision inForce);
  void mergeMembers(const MemberMessage &message, Effects &effects);
  void mergeCells(const MemberMessage &message, Effects &effects);
  void refuteIfWrong(std::uint64_t incarnation, MemberState state);
  void addUnverified(const std::string &name);

  void addDifferent(const std::vector<std::uint64_t> &hashes,
                    MemberMessage &message);

  // Called without the lock.
  void mergeMessage(const MemberMessage &message);
  void callHooks(const Effects &effects);
  void probe(Send send);
  void probeIndirectly(const std::shared_ptr<Probe> &probe);
  void onProbeTimeout(const std::shared_ptr<Probe> &probe);
  void onAnswer(const std::shared_ptr<Probe> &probe,
                const std::optional<MemberMessage> &answer);
  void gossip(Send send);
  /// Sends the rumours, or only this node's own record, to a few members
  /// without waiting for the next round.
  void gossipNow(bool rumours);
  void servePingRequest(const MemberMessage &message, const Reply &reply);
  MemberMessage answerTo(const MemberMessage &message);
  void syncIfDue();
  std::optional<Send> chooseSyncTarget();
  std::string chooseUnknownSeed();
  void sync(const std::string &name, const std::string &address,
            std::uint32_t left);
  void onSynced(const std::string &name, const std::string &address,
                std::uint32_t left, const MemberMessage &answer);

  MembershipSettings Settings;
  MembershipHooks Hooks;

  mutable std::mutex Mutex;
  MemberRecord Self;
  /// Whether a message with changed cell owners is scheduled.
  bool CellGossipScheduled = false;
  MemberTable Table;
  mutable std::mt19937_64 Random;
  RumourQueue Rumours;
  /// Members of this region that are still to be probed before a new random
  /// order of all of them begins.
  std::vector<std::string> ProbeOrder;
  /// Members that other nodes report in a state that must be verified here.
  std::deque<std::string> Unverified;
  /// A member that was dead and is live again: the target of the next full
  /// exchange.
  std::string RevivedMember;
  /// The other node had no bytes left in its round for the last full exchange.
  bool SyncRetryDue = false;
  std::uint64_t Rounds = 0;
  Instant LastRoundTime{};
  Revision LastInForce = 0;
  /// Rounds for which the new revision in force is still sent like a rumour.
  std::uint64_t RevisionRoundsLeft = 0;
  /// Bytes of records that may still be sent in the current round.
  std::size_t BytesLeft = 0;
  /// Revision whose spread is being watched, and until when.
  Revision WatchedRevision = 0;
  Instant WatchUntil{};
};

} // namespace hemlockglade
