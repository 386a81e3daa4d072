#pragma once

#include "Hemlockglade/Coordination/Decision/EvictionPolicy.h"
#include "Hemlockglade/Coordination/Decision/LoadLimiter.h"
#include "Hemlockglade/Coordination/Decision/LoadPlanner.h"
#include "Hemlockglade/Coordination/Decision/ReplicaChooser.h"
#include "Hemlockglade/Coordination/Decision/RetryBudget.h"
#include "Hemlockglade/Coordination/Decision/WaitQueues.h"

namespace hemlockglade {

/// When requests are refused early.
struct AdmissionSettings {
  /// Refuse at once what the queue and the load rate say can't be in time.
  bool RefuseInfeasible = true;
  /// The estimated wait is multiplied by this before it is compared with the
  /// time left; below 1 lets doubtful cases wait.
  double Caution = 1.0;
  /// Time from admission to the first byte that a deadline must leave, and
  /// what the prompt adds to it.
  Span FirstByte = std::chrono::milliseconds(50);
  double PromptTokensPerSecond = 8000;
  /// No request is held longer for a load than this, however far its deadline
  /// is: its caller is told at once when to come back.
  Span LongestStall = std::chrono::seconds(20);
  /// Longest expected wait at which a request is held behind those of a higher
  /// class that wait for a load: more of them will come and go first, which
  /// the expectation does not know.
  Span LongestWaitBehind = std::chrono::seconds(6);
  /// Bounds of Retry-After.
  Span ShortestRetryAfter = std::chrono::milliseconds(250);
  Span LongestRetryAfter = std::chrono::seconds(60);
};

/// Copies, orders and their failures.
struct PlacementSettings {
  /// Waiting requests of a loaded adapter that call for a further copy.
  std::uint32_t CopyAfter = 4;
  std::uint32_t MostCopies = 8;
  /// Spread copies over failure domains.
  bool SpreadDomains = true;
  /// Load what is likely to be asked for into free slots while nobody waits.
  bool Prefetch = true;
  /// Decayed count from which an adapter is worth loading ahead.
  double PrefetchFrom = 2;
  /// Slots made free ahead of the load turn.
  std::uint32_t RoomAhead = 1;
  /// A load that nobody waits for is taken back if less than this share of
  /// its expected time has passed.
  double CancelWithin = 0.5;
  /// Wait after an adapter's first failed load; doubles up to the longest.
  Span FirstBackoff = std::chrono::milliseconds(500);
  Span LongestBackoff = std::chrono::seconds(60);
  /// An order without an answer for this long counts as unknown; a load gets
  /// `LoadTimes` times the mean time of a load if that is more.
  Span OrderTimeout = std::chrono::seconds(3);
  int LoadTimes = 8;
  /// A load that takes this many times the mean, and at least `Overdue`, lets
  /// one more start beside it, in case it was lost.
  int OverdueTimes = 3;
  Span Overdue = std::chrono::milliseconds(1000);
  /// An eviction without an answer for longer is not counted on.
  Span EvictionDue = std::chrono::milliseconds(500);
};

/// How far work is drawn together on fewer replicas.
struct ConsolidationSettings {
  /// Part of the batches that is to be in use at objective 1. Below, that part
  /// of the spare replicas rests which the objective gives; none at 0.
  double FullTarget = 0.70;
  /// Time over which the load is averaged, and least time between changes.
  Span MeanOver = std::chrono::seconds(10);
  Span Period = std::chrono::seconds(5);
  /// Least time after a replica was woken until one rests.
  Span AfterWake = std::chrono::seconds(20);
  /// Adapters that wait for a load above which a replica is woken.
  std::uint32_t MostLoadsWaiting = 20;
};

/// Bounds and weights of the decisions in one cell.
struct CellCoreSettings {
  /// Requests that may wait in the cell.
  std::uint32_t QueueLimit = 2000;
  /// What counts: 0 for few and short load stalls, 1 for full batches.
  double Objective = 0;
  DemandSettings Demand;
  RetrySettings Retries;
  QueueSettings Queues;
  AdmissionSettings Admission;
  LoadLimiterSettings LoadLimits;
  LoadPlannerSettings Loads;
  EvictionSettings Eviction;
  PlacementSettings Placement;
  RoutingSettings Routing;
  ConsolidationSettings Consolidation;
};

/// What a bench or a test may put in the place of the core's estimates.
struct CellCoreHooks {
  EvictionHooks Eviction;
};

/// A request that runs.
struct RunningRequest {
  AdapterKey Adapter = NoAdapter;
  ReplicaKey Replica = 0;
  /// The adapter's stay that it runs on.
  std::uint64_t Stay = 0;
  Instant Since{};
};

/// An order whose answer is still to come.
struct OpenOrder {
  ReplicaKey Replica = 0;
  AdapterKey Adapter = NoAdapter;
  std::uint64_t Order = 0;
  Instant GivenAt{};
  bool IsLoad = false;
  /// Whether it gave its turn back because it is overdue.
  bool Overdue = false;
};

/// What the parts of one core share: the books, the queues, and the event
/// that is being handled.
struct CellState {
  CellState(const CellCoreSettings &settings, CellCoreHooks hooks);

  CellCoreSettings Settings;
  /// Keeps freed nodes for reuse, so that a warm core does not allocate.
  std::pmr::unsynchronized_pool_resource Memory;
  AdapterTable Adapters;
  CellReplicas Replicas;
  DemandEstimate Demand;
  EvictionPolicy Eviction;
  WaitQueues Queues;
  LoadPlanner Planner;
  LoadLimiter Limiter;
  ReplicaChooser Chooser;
  std::pmr::unordered_map<RequestKey, RunningRequest> Running;
  std::vector<OpenOrder> Orders;
  std::uint64_t LastOrder = 0;
  /// Adapters that wait after failed loads, by the time to look again.
  std::pmr::set<std::pair<Instant, AdapterKey>> Backoffs;
  /// Adapters whose pins may not be met.
  std::pmr::set<AdapterKey> PinsToCheck;
  /// Adapters that lost their last place, by demand; for prefetch.
  std::pmr::set<std::pair<double, AdapterKey>> Lost;
  LeaseMode Mode = LeaseMode::None;
  /// When this node's ownership became certain.
  Instant OwnerSince{};
  /// Mean time from admission to the end of a request.
  Span ServiceTime = std::chrono::seconds(2);
  Instant Now{};
  std::vector<Action> *Out = nullptr;

  /// Whether the replica holds the adapter and may serve it now, apart from
  /// room in the batch.
  bool serves(ReplicaKey replica, const ActiveAdapter &active);
  /// Replicas that serve the adapter.
  std::uint32_t servers(const ActiveAdapter &active);
  bool isLoading(const ActiveAdapter &active);
  /// Free slots on replicas that may get loads now.
  std::size_t freeSlots();

  /// Changes the state of a resident and all that depends on it.
  void setState(Replica &replica, Resident &resident, ResidentState state);
  /// As above, for an order that may still be carried out.
  void setUncertain(Replica &replica, Resident &resident);
  /// Strikes a resident out of the books.
  void strike(Replica &replica, AdapterKey adapter);
  /// Brings the adapter's places in the eviction order up to date.
  void refresh(AdapterKey adapter);
  /// As above for a part of all adapters, in turn: the short-term part of
  /// the demand fades while nothing happens.
  void refreshSome();
  /// Enters the adapter into the load planner or takes it out, as needed.
  void replan(ActiveAdapter &active);
  /// As above for everything on a replica.
  void replanAll(Replica &replica);

  /// Opens an order for the resident and returns its number.
  std::uint64_t openOrder(const Replica &replica, Resident &resident,
                          bool isLoad);
  /// Closes an order; a load gives its turn back.
  std::optional<OpenOrder> closeOrder(std::uint64_t order);

private:
  /// Replica whose adapters are the next to be brought up to date.
  std::size_t NextRefresh = 0;

  void noteLost(AdapterKey adapter);
};

} // namespace hemlockglade
