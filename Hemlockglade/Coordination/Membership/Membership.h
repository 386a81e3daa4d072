#pragma once

#include "Hemlockglade/Coordination/Membership/MemberTable.h"
#include "Hemlockglade/Coordination/Membership/RumourQueue.h"

#include <memory>
#include <mutex>
#include <set>

namespace hemlockglade {

/// Knows which nodes live, by probing a few of them each round and by rumours
/// that ride on the probes and their answers (after the SWIM protocol). What a
/// node sends in a round is bounded whatever the number of nodes. Safe to call
/// from several threads; hooks are called without the lock.
class Membership : public std::enable_shared_from_this<Membership> {
public:
  using Reply = std::function<void(std::optional<MemberMessage>)>;

  /// `self`'s incarnation should rise with each start, as a clock does.
  Membership(const MembershipSettings &settings, MemberRecord self,
             MembershipHooks hooks, std::uint64_t seed);

  /// To be called once a round.
  void round();
  /// Answers a peer's message; may call back later, and gives nothing if there
  /// is no answer.
  void serve(const MemberMessage &message, const Reply &reply);

  /// Tells everybody that this node takes callers, after it was made with
  /// `Leaving` set. Does nothing if it takes them already.
  void enter();
  /// Tells everybody that this node takes no new callers.
  void leave();
  /// Tells everybody that this node is gone; the last thing it says.
  void depart();
  /// Tells of a cell's owner, learned from the table or by owning it.
  void announceCell(const CellOwner &cell);
  /// Forgets cells that `keep` refuses, when the configuration drops them.
  void keepCells(const std::function<bool(const std::string &)> &keep);

  /// What is known of all other nodes, the dead included, and of this one.
  std::vector<MemberRecord> members() const;
  MemberRecord self() const;
  /// What is known of one other node.
  std::optional<MemberRecord> find(const std::string &name) const;
  /// Other nodes that are alive or suspect.
  std::size_t liveCount() const;
  std::optional<CellOwner> ownerOf(const std::string &cell) const;
  /// Address for peers of a live member, at random; nothing if alone.
  std::optional<std::string> anyPeer() const;

  /// Asks around, until then, which members have the revision in force.
  void watchRevision(Revision revision, Instant until);
  /// Live members that aren't known to have the revision in force.
  std::vector<std::string> lagging(Revision revision) const;

private:
  struct Probe;
  struct Send {
    std::string Name;
    std::string Address;
    MemberMessage Message;
  };
  /// What hooks are to be told once the lock is off.
  struct Effects {
    std::vector<MemberRecord> Members;
    std::vector<CellOwner> Cells;
  };

  void setLeaving(bool leaving);

  // With the lock held.
  MemberMessage compose(MemberMessageKind kind, const std::string &to,
                        Revision inForce) const;
  void addRumours(MemberMessage &message);
  Send ping(const MemberTable::Member &to, Revision inForce, bool rumours);
  bool isLive(const std::string &name) const;
  void onPause(Instant now);
  std::vector<Send> probesOfRound(Revision inForce);
  const MemberTable::Member *nextInOrder();
  std::vector<Send> gossipOfRound(Revision inForce);
  void takeMembers(const MemberMessage &message, Effects &effects);
  void takeCells(const MemberMessage &message, Effects &effects);
  void takeSelf(std::uint64_t incarnation, MemberState state);
  void doubt(const std::string &name);

  void addDifferent(const std::vector<std::uint64_t> &hashes,
                    MemberMessage &message);

  // Without it.
  void take(const MemberMessage &message);
  void tell(const Effects &effects);
  void probe(Send send);
  void askHelpers(const std::shared_ptr<Probe> &probe);
  void giveUp(const std::shared_ptr<Probe> &probe);
  void onAnswer(const std::shared_ptr<Probe> &probe,
                const std::optional<MemberMessage> &answer);
  void gossip(Send send);
  /// Tells a few members at once: rumours, or only of this node.
  void gossipNow(bool rumours);
  void serveRequest(const MemberMessage &message, const Reply &reply);
  MemberMessage answerTo(const MemberMessage &message);
  void syncOfRound();
  std::optional<Send> syncTarget();
  std::string unknownSeed();
  void sync(const std::string &name, const std::string &address,
            std::uint32_t left);
  void onSynced(const std::string &name, const std::string &address,
                std::uint32_t left, const MemberMessage &answer);

  MembershipSettings Settings;
  MembershipHooks Hooks;

  mutable std::mutex Mutex;
  MemberRecord Self;
  /// A telling of cells is about to go out.
  bool GossipDue = false;
  MemberTable Table;
  mutable std::mt19937_64 Random;
  RumourQueue Rumours;
  /// Members of this region still to be probed before all start over.
  std::vector<std::string> Order;
  std::deque<std::string> Doubtful;
  /// A member that came back from the dead, to exchange everything with.
  std::string Returned;
  /// The last exchange was refused for want of bytes.
  bool SyncAgain = false;
  std::uint64_t Rounds = 0;
  Instant LastRound{};
  Revision LastInForce = 0;
  std::uint64_t HeadRounds = 0;
  /// Bytes of records that may still be sent in this round.
  std::size_t BytesLeft = 0;
  Revision Watched = 0;
  Instant WatchUntil{};
};

} // namespace hemlockglade
