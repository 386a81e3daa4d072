#pragma once

#include "Hemlockglade/Coordination/Orders/CellDesk.h"
#include "Hemlockglade/Coordination/Orders/CellLease.h"
#include "Hemlockglade/Coordination/Orders/HoldingsLog.h"
#include "Hemlockglade/Coordination/Route/ReplicaView.h"
#include "Hemlockglade/Protocol/Message/CellMessages.h"
#include "Hemlockglade/State/Log/EventLog.h"
#include "Hemlockglade/Transport/Peer/PeerNet.h"
#include "Hemlockglade/Transport/Time/TimerService.h"

#include <unordered_map>

namespace hemlockglade {

/// One node's part in one cell. Every node follows the cell's owner: it tells
/// what it wants and runs there, and hears what the replicas hold. The node
/// that has the cell's lease is the owner, its own follower among them.
class CellMember {
public:
  struct Settings {
    std::string Cell;
    CellLease::Settings Lease;
    CellDesk::Settings Desk;
    /// How long a free lease is left to nodes that are nearer.
    Span Reluctance{0};
    /// Time between two beats when there is nothing urgent.
    Span BeatEvery = std::chrono::milliseconds(300);
    /// Time that notices of sent requests, and an owner's of what replicas
    /// hold, are gathered. Shorter than what an engine needs for the shortest
    /// prompts, some 10 ms.
    Span FlushEvery = std::chrono::milliseconds(3);
    /// Least time between two plans that something urgent asks for; a plan
    /// takes some 20 us with four replicas.
    Span PlanEvery = std::chrono::milliseconds(2);
    /// An owner with many followers waits longer, so much for each: it sends
    /// at most 2,500 messages a second and plans on a tenth of its time. Else
    /// an owner with 72 followers and a quarter of a core fell seconds behind
    /// with what it heard of leaving replicas.
    Span FlushEach = std::chrono::microseconds(400);
    Span PlanEach = std::chrono::microseconds(200);
    /// Failure domain of this node. The cell of another one is handed over once
    /// a node there has been ready for the time below, so that the loss of one
    /// host stops the orders of one cell only. So is a cell that a weak host
    /// holds to a strong one of the same failure domain.
    std::string FailureDomain;
    Span NearerReady = std::chrono::seconds(3);
    /// A node that has not beaten for this long is not offered to callers.
    Span MemberSilence = std::chrono::milliseconds(1200);
    /// It is forgotten after this.
    Span MemberGone = std::chrono::seconds(6);
  };
  struct Hooks {
    TableHooks Table;
    EngineHooks Engines;
    std::function<MemberNotice()> Self;
    /// What the replicas hold or do has changed for this node.
    std::function<void()> OnChanged;
    std::function<std::shared_ptr<const RoutePlan>()> Plan;
    std::function<void(Span, std::function<void()>)> After;
    /// Up to where this node knows the registry, if this cell's owner is to
    /// tell it news; none if not set.
    std::function<RegistryPositions()> Knows;
    std::function<RegistryNews(const RegistryPositions &known)> NewsSince;
    std::function<void(const RegistryNews &)> OnNews;
  };

  CellMember(Settings settings, Hooks hooks, ReplicaView &view, PeerNet &net,
             EventLog &log);

  /// Does what is due; to be called about every 50 ms.
  void tick();
  /// A node opened a stream to follow this one.
  void onFollower(const std::shared_ptr<PeerStream> &stream);
  void onVersion(const WeightsRef &weights, std::uint64_t version);
  /// This node has seen something new in the registry.
  void onRegistryNews();

  /// A request for weights came here; `waiting` if no replica has them.
  void onDemand(const std::string &service, const WeightsRef &weights,
                bool waiting);
  void onPressed(const std::string &service, const WeightsRef &weights);
  /// A request went from here to one of the cell's replicas.
  void onSent(const std::string &replica, std::uint32_t tokens,
              const WeightsRef &weights);
  /// It is over.
  void onDone(const std::string &replica, const WeightsRef &weights);
  void onRefusal(const std::string &replica, const WeightsRef &weights,
                 bool missing);

  /// Gives the lease up and orders no more.
  void leave();

  /// Whether this cell can load weights now, as far as this node knows.
  bool canOrder() const;
  /// Nodes that follow the owner, as last told, and whether that is recent.
  const std::vector<MemberNotice> &members() const { return Members; }
  bool fresh() const;
  /// Whether the nodes are those that the present owner told of.
  bool membersFresh() const { return fresh() && (Owning || MembersTold); }
  bool owning() const { return Owning; }
  const CellLease &lease() const { return *Lease; }
  void onTold(const CellLeaseRow &row) { Lease->onTold(row); }
  const std::string &cell() const { return Setup.Cell; }
  std::uint64_t orders() const { return Orders; }

private:
  /// Number of the node's own entry among an owner's followers.
  static constexpr std::uint64_t SelfFollower = 0;

  struct Follower {
    std::shared_ptr<PeerStream> Stream;
    MemberNotice Self;
    Instant BeatAt{};
    std::map<std::string, std::uint32_t> Running;
    std::map<std::pair<std::string, std::string>, std::int32_t> Uses;
    /// Number of the last change of holdings that it was told of.
    std::uint64_t ToldHoldings = 0;
    std::map<std::string, std::uint32_t> ToldRunning;
    std::uint64_t ToldMembers = 0;
    /// Some of the requests that are to be told are its own.
    bool HasSent = false;
    /// Up to where it knows the registry, by itself or from this node.
    RegistryPositions Knows;
  };

  // The node's side.
  void follow();
  void beat();
  void flushSoon();
  void planSoon();
  void flush();
  void onUses(Follower &from, const std::vector<UseNotice> &uses);
  void dropUses(Follower &follower);
  std::vector<UseNotice> allUses() const;
  void onSentNotices(std::uint64_t from, const std::vector<SentNotice> &sent);
  NodeBeat takeBeat();
  void onOwnerBeat(const OwnerBeat &beat);
  void onHoldings(const ReplicaNotice &notice, Instant now);
  void unfollow();

  // The owner's side.
  void own();
  void carryOut(const DeskAction &action);
  void onNodeBeat(std::uint64_t id, const NodeBeat &beat);
  void broadcast();
  OwnerBeat beatFor(Follower &follower);
  OwnerBeat emptyBeat() const;
  void noteHoldings();
  std::vector<ReplicaNotice> holdingsSince(std::uint64_t number) const;
  void tellFollowers();
  Span flushEvery() const;
  Span planEvery() const;
  void addNews(Follower &follower, OwnerBeat &beat);
  std::vector<MemberNotice> memberList();
  void countRunning();
  void forgetSilent(Instant now);
  /// Whether a node stands nearer to the cell, or as near on a stronger host.
  bool isBetterOwner(const MemberNotice &member) const;
  void handOverIfBetter(Instant now);
  /// Drops what followers were told of replicas that are gone.
  void forgetReplicas();
  void disown();

  Settings Setup;
  Hooks Out;
  ReplicaView &View;
  PeerNet &Net;
  EventLog &Log;
  std::shared_ptr<CellLease> Lease;
  CellDesk Desk;
  bool Owning = false;
  /// What the desk was told of last.
  std::uint64_t DeskRevision = 0;
  std::shared_ptr<const RoutePlan> DeskPlan;

  std::shared_ptr<PeerStream> Owner;
  std::string OwnerAddress;
  Instant OwnerHeardAt{-3'600'000'000};
  Instant OpenedAt{-3'600'000'000};
  bool OwnerOrders = false;
  std::vector<MemberNotice> Members;
  bool MembersTold = false;

  std::map<std::pair<std::string, WeightsRef>, DemandNotice> Demand;
  std::vector<RefusalNotice> Refusals;
  std::vector<SentNotice> Sent;
  std::vector<UseNotice> Uses;
  bool FlushDue = false;
  bool PlanDue = false;
  bool NewsDue = false;
  bool Urgent = false;
  Instant BeatAt{};

  std::map<std::uint64_t, Follower> Followers;
  std::uint64_t NextFollower = 1;
  std::uint64_t MembersRevision = 1;
  HoldingsLog Held;
  /// Revision of the desk's books that the log of holdings has.
  std::uint64_t NotedRevision = 0;
  /// Requests that were sent since followers were told, and by which follower.
  std::vector<std::pair<std::uint64_t, SentNotice>> SentToTell;
  std::map<std::string, std::uint32_t> TotalRunning;
  Instant BroadcastAt{};
  /// Since when a better owner is ready.
  std::optional<Instant> NearerSince;
  std::uint64_t Orders = 0;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace hemlockglade
