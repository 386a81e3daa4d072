#pragma once

#include "Hemlockglade/Coordination/Entries/ServingEntries.h"
#include "Hemlockglade/Coordination/Orders/CellLease.h"
#include "Hemlockglade/Coordination/Orders/CellPlacement.h"
#include "Hemlockglade/Coordination/Orders/HoldingsLog.h"
#include "Hemlockglade/Coordination/Route/ReplicaView.h"
#include "Hemlockglade/Protocol/Message/CellMessages.h"
#include "Hemlockglade/State/Log/EventLog.h"
#include "Hemlockglade/Transport/Peer/PeerNet.h"
#include "Hemlockglade/Transport/Time/TimerService.h"
#include "Programs/hemlockgladed/Gateway/CrashCoordinator.h"
#include "Programs/hemlockgladed/Gateway/PeerTraffic.h"

#include <unordered_map>

namespace hemlockglade {

/// One node's part in one cell. Nodes in service follow the cell's owner: they
/// tell what they want and run there, and hear what the replicas hold. The
/// owner chooses which nodes serve callers. The node that has the cell's lease
/// is the owner, its own follower among them.
///
/// A node that stands by follows only the owner of its own failure domain, and
/// is told only what it needs to take callers or a lease at any moment.
class CellMember {
public:
  struct Settings {
    std::string Cell;
    CellLease::Settings Lease;
    CellPlacement::Settings Placement;
    /// How long a free lease is left to nodes that are nearer.
    Span TakeoverDelay{0};
    /// Time between two beats when there is nothing urgent.
    Span HeartbeatInterval = std::chrono::milliseconds(300);
    /// Time that notices of sent requests, and an owner's of what replicas
    /// hold, are gathered. Shorter than what an engine needs for the shortest
    /// prompts, some 10 ms.
    Span FlushEvery = std::chrono::milliseconds(3);
    /// Least time between two plans that something urgent asks for.
    Span PlanEvery = std::chrono::milliseconds(2);
    /// How much longer an owner waits for each node that it has to tell at
    /// once: it bounds its messages a second, and what it plans.
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
    /// How much longer a node that stands by leaves a free lease, and the look
    /// at its row, to those in service: few look, and others step in where
    /// these are gone.
    Span StandbyTakeoverDelay = std::chrono::milliseconds(1500);
    Span StandbyReadInterval = std::chrono::milliseconds(2000);
    /// This node's own addition to that, so that not all look together.
    Span StandbySpread{0};
    EntrySelector::Settings EntrySelection;
    /// How long a new owner names nobody: its nodes have yet to find it, and
    /// all callers of a failure domain would be sent to the few that have. What
    /// owners of other cells tell counts meanwhile.
    Span EntrySelectionDelay = std::chrono::milliseconds(1000);
  };
  struct Hooks {
    TableHooks Table;
    EngineHooks Engines;
    std::function<MemberNotice()> Self;
    /// What callers ask of this node.
    std::function<EntryLoad()> Load;
    /// Whether this node has to follow the cell's owner now.
    std::function<bool()> Follows;
    /// What the replicas hold or do has changed for this node.
    std::function<void()> OnChanged;
    std::function<std::shared_ptr<const RoutePlan>()> Plan;
    std::function<void(Span, std::function<void()>)> After;
    /// Up to where this node knows the registry, if this cell's owner is to
    /// tell it news, else zeros.
    std::function<RegistryPositions()> KnownPositions;
    /// Other cells' lease rows as this node knows them, and as it is told.
    std::function<std::vector<std::pair<std::string, std::string>>()> Leases;
    std::function<void(const std::string &cell, const std::string &row)>
        OnLease;
    /// Which nodes serve has changed, or is not known any more.
    std::function<void()> OnServingEntries;
    std::function<RegistryUpdate(const RegistryPositions &known)> UpdateSince;
    /// The owner has told news; it sent them after that time of this node's
    /// clock.
    std::function<void(const RegistryUpdate &, Instant sentAfter)> OnUpdate;
    /// Requests that crash replicas, which nodes tell each other of.
    CrashCoordinator *Crashes = nullptr;
  };

  CellMember(Settings settings, Hooks hooks, ReplicaView &view, PeerNet &net,
             PeerTraffic &traffic, EventLog &log);

  /// Does what is due; to be called about every 50 ms.
  void tick();
  /// A node opened a stream to follow this one.
  void onFollower(const std::shared_ptr<PeerStream> &stream);
  void onVersion(const WeightsRef &weights, std::uint64_t version);
  /// This node has seen something new in the registry.
  void onRegistryUpdate();
  /// Something new is known of requests that crash replicas.
  void onCrashUpdate();

  /// A request for weights came here; `waiting` if no replica has them.
  void onDemand(const std::string &service, const WeightsRef &weights,
                bool waiting);
  void onCongested(const std::string &service, const WeightsRef &weights);
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
  bool isUpToDate() const;
  /// Which nodes serve, as the present owner tells; none if it is silent.
  const std::vector<DomainEntries> *servingEntries() const;
  /// How long the owner has been silent, since the start if it never spoke.
  Span silentFor() const;
  bool isOwner() const { return Owning; }
  const CellLease &lease() const { return *Lease; }
  void onPeerRow(const CellLeaseRow &row) { Lease->onPeerRow(row); }
  /// Tells the owner at once what this node says of itself.
  void sendHeartbeat();
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
    EntryLoad Load;
    /// Number of the last change of holdings that it was told of.
    std::uint64_t ToldHoldings = 0;
    std::map<std::string, std::uint32_t> ToldRunning;
    std::uint64_t ToldRosters = 0;
    std::uint64_t ToldLeases = 0;
    std::uint64_t ToldCrashes = 0;
    /// Some of the requests that are to be told are its own.
    bool HasSent = false;
    /// When it sent its last beat, by its own clock.
    std::int64_t SentAtUs = 0;
    /// Up to where it knows the registry, by itself or from this node.
    RegistryPositions Knows;
  };

  /// Takes what a peer tells of crashes, of which it need not be told then;
  /// `told` is up to where it has been told.
  void takeCrashes(const std::vector<CrashNotice> &crashes,
                   std::uint64_t &told);
  /// What a peer has not been told of crashes.
  std::vector<CrashNotice> crashesFor(std::uint64_t &told) const;

  // The node's side.
  void follow();
  void flushSoon();
  void planSoon();
  void flush();
  void onUses(Follower &from, const std::vector<UseNotice> &uses);
  void dropUses(Follower &follower);
  std::vector<UseNotice> allUses() const;
  void onSentNotices(std::uint64_t from, const std::vector<SentNotice> &sent);
  NodeHeartbeat takeBeat();
  void onOwnerBeat(const OwnerHeartbeat &beat);
  void onRosters(const std::vector<DomainNotice> &told);
  void onHoldings(const ReplicaNotice &notice, Instant now);
  void unfollow(std::string_view why);
  void sendToOwner(PeerMessage kind, const NodeHeartbeat &beat);

  // The owner's side.
  void own();
  void carryOut(const PlacementAction &action);
  void onNodeBeat(std::uint64_t id, const NodeHeartbeat &beat);
  void takeDemand(const NodeHeartbeat &beat, Instant now);
  void broadcast();
  void sendTo(Follower &follower, PeerMessage kind, const std::string &text);
  /// All that a follower has not heard.
  void tell(std::uint64_t id, Follower &follower);
  OwnerHeartbeat beatFor(Follower &follower);
  OwnerHeartbeat emptyBeat() const;
  void noteHoldings();
  std::vector<ReplicaNotice> holdingsSince(std::uint64_t number) const;
  void tellFollowers();
  Span flushEvery() const;
  Span planEvery() const;
  void addNews(Follower &follower, OwnerHeartbeat &beat);
  /// Whether a node has been heard lately.
  bool heard(std::uint64_t id, const Follower &follower, Instant now) const;
  void chooseEntries(Instant now);
  void addRosters(OwnerHeartbeat &beat) const;
  /// Followers that are told at once of what is sent and held.
  std::size_t toldAtOnce() const;
  void noteLeases();
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
  PeerTraffic &Traffic;
  EventLog &Log;
  std::shared_ptr<CellLease> Lease;
  CellPlacement Desk;
  bool Owning = false;
  /// What the desk was told of last.
  std::uint64_t DeskRevision = 0;
  std::shared_ptr<const RoutePlan> DeskPlan;

  std::shared_ptr<PeerStream> Owner;
  std::string OwnerAddress;
  Instant OwnerHeardAt{-3'600'000'000};
  Instant OpenedAt{-3'600'000'000};
  bool OwnerOrders = false;
  /// Up to where the owner has been told of crashes.
  std::uint64_t OwnerToldCrashes = 0;
  Instant StartedAt = TimerService::now();
  Instant OwnsSince{};
  std::vector<DomainEntries> Rosters;
  bool RostersTold = false;

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
  /// Who serves each failure domain whose nodes follow this one.
  std::map<std::string, EntrySelector> Choosers;
  std::uint64_t RostersRevision = 1;
  /// A node has come, gone or changed what it says of itself.
  bool NodesChanged = false;
  std::vector<std::pair<std::string, std::string>> Leases;
  std::uint64_t LeasesRevision = 1;
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
