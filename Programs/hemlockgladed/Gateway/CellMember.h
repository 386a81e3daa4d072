#pragma once

#include "Hemlockglade/Coordination/Entries/CutOffNodes.h"
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

/// One node's part in one cell. A node in service follows the cell's owner: it
/// sends its demand and its running requests, and receives what the replicas
/// hold. The owner chooses which nodes serve callers. The node that has the
/// cell's lease is the owner, and is among its own followers.
///
/// A standby node follows only the owner of its own failure domain, and
/// receives only what it needs to take callers or a lease at any moment.
class CellMember {
public:
  struct Settings {
    std::string Cell;
    CellLease::Settings Lease;
    CellPlacement::Settings Placement;
    /// How long this node leaves a free lease to nodes that are nearer to the
    /// cell.
    Span TakeoverDelay{0};
    /// Time between two heartbeats when nothing is urgent.
    Span HeartbeatInterval = std::chrono::milliseconds(300);
    /// How long notices of sent requests, and an owner's of what replicas hold,
    /// are collected before they are sent. Shorter than what an engine needs
    /// for the shortest prompts, some 10 ms.
    Span FlushInterval = std::chrono::milliseconds(3);
    /// Minimum time between two placement runs that something urgent triggers.
    Span PlanInterval = std::chrono::milliseconds(2);
    /// Added to the two intervals for each follower that is sent notices at
    /// once: it bounds the owner's messages a second, and its placement runs.
    Span FlushPerFollower = std::chrono::microseconds(400);
    Span PlanPerFollower = std::chrono::microseconds(200);
    /// Failure domain of this node. The cell of another one is handed over once
    /// a node there has been ready for `BetterOwnerDelay`, so that the loss of
    /// one host stops the orders of one cell only. A weak host also hands the
    /// cell of its own failure domain over to a strong host there.
    std::string FailureDomain;
    Span BetterOwnerDelay = std::chrono::seconds(3);
    /// An owner that can't reach the cell's engines hands the cell over once
    /// another node has reported for this long that it does.
    Span CutOffHandoverDelay = std::chrono::milliseconds(300);
    /// How much longer a node that can't reach the engines leaves a free lease
    /// to others.
    Span CutOffTakeoverDelay = std::chrono::milliseconds(2500);
    /// A node that has sent no heartbeat for this long is not offered to
    /// callers.
    Span MemberTimeout = std::chrono::milliseconds(1200);
    /// Its entry is removed after this.
    Span MemberExpiry = std::chrono::seconds(6);
    /// How much longer a standby node leaves a free lease, and the reading of
    /// its row, to the nodes in service: few nodes read the row, and others
    /// step in where these have failed.
    Span StandbyTakeoverDelay = std::chrono::milliseconds(1500);
    Span StandbyReadInterval = std::chrono::milliseconds(2000);
    /// This node's own addition to that, so that standby nodes do not all read
    /// at the same time.
    Span StandbyJitter{0};
    EntrySelector::Settings EntrySelection;
    /// How long a new owner sends no list of nodes in service: its nodes have
    /// yet to connect to it, and all callers of a failure domain would be sent
    /// to the few that have. The lists of other cells' owners are used
    /// meanwhile.
    Span EntrySelectionDelay = std::chrono::milliseconds(1000);
  };
  struct Hooks {
    TableHooks Table;
    EngineHooks Engines;
    std::function<MemberNotice()> Self;
    /// The load from callers on this node.
    std::function<EntryLoad()> Load;
    /// Whether this node has to follow the cell's owner now.
    std::function<bool()> Follows;
    /// Called when what the replicas hold or run has changed.
    std::function<void()> OnChanged;
    std::function<std::shared_ptr<const RoutePlan>()> Plan;
    std::function<void(Span, std::function<void()>)> After;
    /// The registry positions that this node has, if it is to receive registry
    /// updates from this cell's owner, else zeros.
    std::function<RegistryPositions()> KnownPositions;
    /// Other cells' lease rows as this node has them, and as it receives them.
    std::function<std::vector<std::pair<std::string, std::string>>()> Leases;
    std::function<void(const std::string &cell, const std::string &row)>
        OnLease;
    /// Called when the list of nodes in service has changed, or is not known
    /// any more.
    std::function<void()> OnServingEntries;
    std::function<RegistryUpdate(const RegistryPositions &known)> UpdateSince;
    /// Called with an update from the owner, which sent it after that time of
    /// this node's clock.
    std::function<void(const RegistryUpdate &, Instant sentAfter)> OnUpdate;
    /// What else owners keep in the lease row, and what was read there: records
    /// that end with `;`, without spaces. May be unset.
    std::function<std::string()> WriteNotes;
    std::function<void(const std::string &notes)> OnNotes;
    /// Requests that crash replicas, which nodes report to each other.
    CrashCoordinator *Crashes = nullptr;
    /// This node's connectivity to replicas; its revision rises with each
    /// change.
    std::function<ReachNotice()> Reach;
    std::function<std::uint64_t()> ReachRevision;
    /// Called when another node has reported a replica's limit.
    std::function<void(const StatedLimit &limit)> OnLimit;
    /// Called when another node has reported a service's limit on rejections.
    std::function<void(const StatedRejectionLimit &limit)> OnRejectionLimit;
    /// Called when a node reports that a replica has said that it leaves.
    std::function<void(const std::string &replica)> OnLeaving;
  };

  CellMember(Settings settings, Hooks hooks, ReplicaView &view, PeerNet &net,
             PeerTraffic &traffic, EventLog &log);

  /// Does what is due; to be called about every 50 ms.
  void tick();
  /// Called when a node has opened a stream to follow this one.
  void onFollower(const std::shared_ptr<PeerStream> &stream);
  void onVersion(const WeightsRef &weights, std::uint64_t version);
  /// Called when this node has received changes from the registry.
  void onRegistryUpdate();
  /// Called when something new is known of requests that crash replicas.
  void onCrashUpdate() { sendUpdateSoon(); }
  /// Called when the limit of a replica, or the limit on rejections of a
  /// service, has changed.
  void onLimitUpdate() { sendUpdateSoon(); }

  /// Called when a request for weights arrives at this node; `waiting` if no
  /// replica has them, or only `unusable` ones of the cell that the request
  /// must not use.
  void onDemand(const std::string &service, const WeightsRef &weights,
                bool waiting, std::uint32_t unusable = 0);
  void onCongested(const std::string &service, const WeightsRef &weights);
  /// Called when this node sends a request to one of the cell's replicas.
  void onSent(const std::string &replica, std::uint32_t tokens,
              const WeightsRef &weights);
  /// Called when that request has ended.
  void onDone(const std::string &replica, const WeightsRef &weights);
  void onRefusal(const std::string &replica, const WeightsRef &weights,
                 bool missing);

  /// Releases the lease and gives no more orders.
  void releaseLease();

  /// Whether this cell can load weights now, as far as this node knows.
  bool canOrder() const;
  bool isUpToDate() const;
  /// The nodes in service as the present owner reports them; null if it is
  /// silent or has sent none.
  const std::vector<DomainEntries> *servingEntries() const;
  /// How long nothing has been received from the owner; counted from the start
  /// if it never sent anything.
  Span silentFor() const;
  bool isOwner() const { return Owning; }
  const CellLease &lease() const { return *Lease; }
  void onPeerRow(const CellLeaseRow &row) { Lease->onPeerRow(row); }
  /// Sends the owner a heartbeat at once.
  void sendHeartbeat();
  const std::string &cell() const { return Options.Cell; }
  std::uint64_t orders() const { return Orders; }

private:
  /// Number of the node's own entry among an owner's followers.
  static constexpr std::uint64_t SelfFollower = 0;

  struct Follower {
    std::shared_ptr<PeerStream> Stream;
    MemberNotice Self;
    Instant ReceivedAt{};
    std::map<std::string, std::uint32_t> Running;
    std::map<std::pair<std::string, std::string>, std::int32_t> Uses;
    EntryLoad Load;
    ReachNotice Reach;
    /// Number of the last change of holdings that it was sent.
    std::uint64_t SentHoldings = 0;
    std::map<std::string, std::uint32_t> SentRunning;
    std::uint64_t SentEntries = 0;
    std::uint64_t SentLeases = 0;
    std::uint64_t SentCrashes = 0;
    std::uint64_t SentLimits = 0;
    std::uint64_t SentRejections = 0;
    std::uint64_t SentLeaving = 0;
    std::uint64_t SentSpeeds = 0;
    Instant SpeedsSentAt{};
    /// Some of the requests in `PendingSent` are its own.
    bool HasPendingSent = false;
    /// When it sent its last regular heartbeat, by its own clock, and when this
    /// node received that.
    std::int64_t SentAtUs = 0;
    Instant HeartbeatReceivedAt{};
    /// Registry positions that it has, by itself or from this node.
    RegistryPositions Positions;
  };

  /// Merges crash records from a peer, which need not be sent back to it;
  /// `sentRevision` is the revision up to which it has been sent records.
  void mergeCrashes(const std::vector<CrashNotice> &crashes,
                    std::uint64_t &sentRevision);
  /// The crash records that a peer has not been sent yet.
  std::vector<CrashNotice> takeUnsentCrashes(std::uint64_t &sentRevision) const;

  /// Sends the owner, or all followers, a heartbeat soon.
  void sendUpdateSoon();
  void mergeLimits(const std::vector<LimitNotice> &limits);
  /// The limits that a peer has not been sent yet.
  std::vector<LimitNotice> takeUnsentLimits(std::uint64_t &sentRevision) const;

  void mergeRejections(const std::vector<RejectionNotice> &limits);
  std::vector<RejectionNotice>
  takeUnsentRejections(std::uint64_t &sentRevision) const;
  void mergeLeaving(const std::vector<std::string> &replicas);
  std::vector<std::string> takeUnsentLeaving(std::uint64_t &sentRevision) const;
  /// Returns this node's samples of replicas' speeds, for the owner.
  std::vector<SpeedNotice> takeSpeedNotices();
  /// Returns the owner's speed factors that a follower has not been sent yet.
  std::vector<MergedSpeedNotice>
  takeUnsentSpeeds(std::uint64_t &sentRevision) const;

  // The node's side.
  void follow();
  void flushSoon();
  void planSoon();
  void flush();
  void onUses(Follower &from, const std::vector<UseNotice> &uses);
  void dropUses(Follower &follower);
  std::vector<UseNotice> allUses() const;
  void onSentNotices(std::uint64_t from, const std::vector<SentNotice> &sent);
  NodeHeartbeat takeHeartbeat();
  /// Returns a time of this node's clock before which the owner can't have sent
  /// a heartbeat.
  static Instant sentAfter(const OwnerHeartbeat &heartbeat, Instant now);
  void onOwnerHeartbeat(const OwnerHeartbeat &heartbeat);
  void onEntries(const std::vector<DomainNotice> &received);
  void onHoldings(const ReplicaNotice &notice, Instant now);
  void unfollow(std::string_view why);
  void sendToOwner(PeerMessage kind, const NodeHeartbeat &heartbeat);

  // The owner's side.
  void runAsOwner();
  /// Tells the planner which replicas are limited or paused.
  void updateLimited(bool replicasChanged, Instant now);
  void execute(const PlacementAction &action);
  void onNodeHeartbeat(std::uint64_t id, const NodeHeartbeat &heartbeat);
  void takeDemand(const NodeHeartbeat &heartbeat, Instant now);
  void broadcast();
  void sendTo(Follower &follower, PeerMessage kind, const std::string &text);
  /// Sends a follower a heartbeat with all that it has not been sent yet.
  void sendHeartbeatTo(std::uint64_t id, Follower &follower);
  OwnerHeartbeat heartbeatFor(Follower &follower);
  OwnerHeartbeat newOwnerHeartbeat() const;
  void recordHoldings();
  std::vector<ReplicaNotice> holdingsSince(std::uint64_t number) const;
  void sendNotices();
  Span flushInterval() const;
  Span planInterval() const;
  void addRegistryUpdate(Follower &follower, OwnerHeartbeat &heartbeat);
  /// Whether a node has sent a heartbeat lately.
  bool isResponsive(std::uint64_t id, const Follower &follower,
                    Instant now) const;
  /// The nodes that are ready for callers, as far as they follow this one.
  std::vector<NodeReach> readyNodes(Instant now) const;
  void chooseEntries(Instant now);
  void addEntries(OwnerHeartbeat &heartbeat) const;
  /// Number of followers that are sent notices at once of what is sent and
  /// held.
  std::size_t activeFollowers() const;
  void updateLeases();
  void countRunning();
  void removeExpiredFollowers(Instant now);
  /// Capacity of a node's host.
  static HostCapacity capacityOf(const MemberNotice &node);
  /// Whether this node is cut off from engines of the cell, so that its orders
  /// would not arrive.
  bool isCutOffFromEngines() const;
  /// Returns the services with engines in the cell.
  std::set<std::string> engineServices() const;
  /// Whether a node can give orders to the cell's engines, as far as it
  /// reports; `mustHaveReached` if it has to have received data from them
  /// lately.
  bool reachesEngines(const ReachNotice &reach, bool mustHaveReached) const;
  /// Whether a node should own the cell in place of this one, which can't reach
  /// its engines.
  bool canTakeCutOffCell(const Follower &follower) const;
  /// Whether a node is in the cell's failure domain and this one is not, or is
  /// there as well on a much stronger host.
  bool isBetterOwner(const MemberNotice &member) const;
  void handOverIfBetter(Instant now);
  /// Drops the state kept for followers about replicas that no longer exist.
  void removeUnknownReplicas();
  void stopOwning();

  Settings Options;
  Hooks Callbacks;
  ReplicaView &View;
  PeerNet &Net;
  PeerTraffic &Traffic;
  EventLog &Log;
  std::shared_ptr<CellLease> Lease;
  CellPlacement Planner;
  bool Owning = false;
  /// What the planner was last given.
  std::uint64_t PlannerViewRevision = 0;
  std::uint64_t PlannerLimitRevision = 0;
  /// Replicas that have asked followers for a pause, as they report.
  std::map<std::string, Instant> PausedUntil;
  /// Replicas that the planner was last told to count as paused.
  std::set<std::string> PlannerPaused;
  std::shared_ptr<const RoutePlan> PlannerRoutePlan;

  std::shared_ptr<PeerStream> Owner;
  std::string OwnerAddress;
  Instant OwnerReceivedAt{-3'600'000'000};
  Instant OpenedAt{-3'600'000'000};
  bool OwnerOrders = false;
  /// Revision of the crash records that the owner has been sent.
  std::uint64_t CrashesSentToOwner = 0;
  std::uint64_t LimitsSentToOwner = 0;
  std::uint64_t RejectionsSentToOwner = 0;
  std::uint64_t LeavingSentToOwner = 0;
  std::uint64_t ReachSentToOwner = 0;
  Instant SpeedsTakenAt{};
  Instant StartedAt = TimerService::now();
  Instant OwnsSince{};
  std::vector<DomainEntries> Entries;
  bool EntriesReceived = false;

  std::map<std::pair<std::string, WeightsRef>, DemandNotice> Demand;
  std::vector<RefusalNotice> Refusals;
  std::vector<SentNotice> Sent;
  std::vector<UseNotice> Uses;
  bool FlushDue = false;
  bool PlanDue = false;
  bool UpdateDue = false;
  bool HeartbeatDue = false;
  Instant HeartbeatAt{};

  std::map<std::uint64_t, Follower> Followers;
  std::uint64_t NextFollower = 1;
  /// Selects the nodes in service of each failure domain whose nodes follow
  /// this one.
  std::map<std::string, EntrySelector> Selectors;
  std::uint64_t EntriesRevision = 1;
  /// A node has been added, was removed or has changed its notice about itself.
  bool NodesChanged = false;
  std::vector<std::pair<std::string, std::string>> Leases;
  std::uint64_t LeasesRevision = 1;
  HoldingsLog Holdings;
  /// Revision of the planner that `Holdings` has.
  std::uint64_t RecordedRevision = 0;
  /// Requests sent since the last notices to followers, each with the number of
  /// the follower that sent it.
  std::vector<std::pair<std::uint64_t, SentNotice>> PendingSent;
  std::map<std::string, std::uint32_t> TotalRunning;
  Instant BroadcastAt{};
  /// This node can't reach the cell's engines.
  bool CutOff = false;
  /// Since when a better owner has been ready.
  std::optional<Instant> BetterOwnerSince;
  std::uint64_t Orders = 0;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace hemlockglade
