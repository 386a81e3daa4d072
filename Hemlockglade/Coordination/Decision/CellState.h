#pragma once

#include "Hemlockglade/Coordination/Decision/EvictionPolicy.h"
#include "Hemlockglade/Coordination/Decision/LoadLimiter.h"
#include "Hemlockglade/Coordination/Decision/LoadPlanner.h"
#include "Hemlockglade/Coordination/Decision/ReplicaChooser.h"
#include "Hemlockglade/Coordination/Decision/RetryBudget.h"
#include "Hemlockglade/Coordination/Decision/WaitQueues.h"

namespace hemlockglade {

/// Settings of early refusal.
struct AdmissionSettings {
  /// Refuse on arrival a request whose expected wait, by queue and load rate,
  /// exceeds its deadline.
  bool RefuseInfeasible = true;
  /// Factor on the estimated wait before it is compared with the time left;
  /// below 1, doubtful requests are queued.
  double WaitSafetyFactor = 1.0;
  /// Time to reserve before the deadline for the first byte after admission,
  /// and the rate at which the prompt is read, which adds to it.
  Span FirstByteTime = std::chrono::milliseconds(50);
  double PromptTokensPerSecond = 8000;
  /// Maximum time for which a request waits for a load, however late its
  /// deadline is: its caller is told at once when to retry.
  Span MaxStall = std::chrono::seconds(20);
  /// Maximum expected wait at which a request is queued behind requests of a
  /// higher class that wait for a load: more of those may arrive and be
  /// admitted first, which the estimate does not include.
  Span MaxWaitBehindHigher = std::chrono::seconds(6);
  /// Minimum and maximum of Retry-After.
  Span MinRetryAfter = std::chrono::milliseconds(250);
  Span MaxRetryAfter = std::chrono::seconds(60);
};

/// Settings of copies, of orders and of failed orders.
struct PlacementSettings {
  /// Number of waiting requests of a loaded adapter from which a further copy
  /// is loaded.
  std::uint32_t CopyQueueLength = 4;
  std::uint32_t MaxCopies = 8;
  /// Spread the copies of an adapter over failure domains.
  bool SpreadDomains = true;
  /// Load adapters that are likely to be requested into free slots while no
  /// request waits.
  bool Prefetch = true;
  /// Minimum decayed request count of an adapter to prefetch it.
  double MinPrefetchCount = 2;
  /// Slots to free beyond those that the loads which may start now need.
  std::uint32_t ExtraFreeSlots = 1;
  /// A load that no request waits for any more is cancelled if less than this
  /// fraction of its expected time has passed.
  double CancelFraction = 0.5;
  /// Backoff after an adapter's first failed load; doubles up to the maximum.
  Span InitialBackoff = std::chrono::milliseconds(500);
  Span MaxBackoff = std::chrono::seconds(60);
  /// Time without an answer after which the result of an order counts as
  /// unknown; for a load at least `LoadTimeoutFactor` times the mean load time.
  Span OrderTimeout = std::chrono::seconds(3);
  int LoadTimeoutFactor = 8;
  /// A load is overdue when it takes this many times the mean load time, and at
  /// least `MinOverdue`. One more load may then start beside it, in case the
  /// order was lost.
  int OverdueFactor = 3;
  Span MinOverdue = std::chrono::milliseconds(1000);
  /// Time without an answer after which an eviction no longer counts as a slot
  /// that becomes free.
  Span EvictionTimeout = std::chrono::milliseconds(500);
};

/// How work is consolidated on fewer replicas.
struct ConsolidationSettings {
  /// Fraction of the batch capacity to be in use at objective 1. Below
  /// objective 1, the objective is the fraction of the spare replicas that are
  /// on standby; none at 0.
  double TargetUtilization = 0.70;
  /// Time over which the load is averaged, and minimum interval between
  /// changes.
  Span AveragingWindow = std::chrono::seconds(10);
  Span ChangeInterval = std::chrono::seconds(5);
  /// Minimum time from the activation of a replica until one is put on standby.
  Span StandbyDelay = std::chrono::seconds(20);
  /// Number of adapters that wait for a load above which a replica is
  /// activated.
  std::uint32_t MaxLoadsWaiting = 20;
};

/// Settings of the decisions in one cell.
struct CellCoreSettings {
  /// Maximum number of waiting requests in the cell.
  std::uint32_t QueueLimit = 2000;
  /// What is optimised: 0 for few and short load stalls, 1 for full batches.
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

/// Replacements for the core's estimates, for benchmarks and tests.
struct CellCoreHooks {
  EvictionHooks Eviction;
};

/// A running request.
struct RunningRequest {
  AdapterKey Adapter = NoAdapter;
  ReplicaKey Replica = 0;
  /// The residency of the adapter that it runs on.
  std::uint64_t ResidencyId = 0;
  Instant Since{};
};

/// An order that has not been answered yet.
struct OpenOrder {
  ReplicaKey Replica = 0;
  AdapterKey Adapter = NoAdapter;
  std::uint64_t Order = 0;
  Instant GivenAt{};
  bool IsLoad = false;
  /// Whether it is overdue and no longer counts as a running load.
  bool Overdue = false;
};

/// State shared by the parts of one core, and the event that is being handled.
struct CellState {
  CellState(const CellCoreSettings &settings, CellCoreHooks hooks);

  CellCoreSettings Settings;
  /// Keeps freed nodes for reuse, so that a core in a steady state does not
  /// allocate.
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
  /// Adapters in backoff after failed loads, by the time of the next check.
  std::pmr::set<std::pair<Instant, AdapterKey>> Backoffs;
  /// Adapters whose pins may lack copies.
  std::pmr::set<AdapterKey> PinsToCheck;
  /// Adapters whose last resident was removed, by demand; candidates for
  /// prefetch.
  std::pmr::set<std::pair<double, AdapterKey>> PrefetchCandidates;
  LeaseMode Mode = LeaseMode::None;
  /// Time at which this node's ownership became certain.
  Instant OwnerSince{};
  /// Mean time from the admission to the end of a request.
  Span ServiceTime = std::chrono::seconds(2);
  Instant Now{};
  std::vector<Action> *Actions = nullptr;

  /// Returns whether the adapter is resident on the replica and may be served
  /// there, regardless of room in the batch.
  bool canServe(ReplicaKey replica, const ActiveAdapter &active);
  /// Returns the number of replicas that can serve the adapter.
  std::uint32_t countServing(const ActiveAdapter &active);
  bool isLoading(const ActiveAdapter &active);
  /// Returns the number of free slots on replicas that may get loads now.
  std::size_t freeSlots();

  /// Changes the state of a resident and updates everything that depends on it.
  void setState(Replica &replica, Resident &resident, ResidentState state);
  /// Sets the state to uncertain for an order that may still be carried out;
  /// reports settle it only after `EvictionSettings::UncertainPeriod`.
  void setUncertain(Replica &replica, Resident &resident);
  /// Removes a resident and updates everything that depends on it.
  void removeResident(Replica &replica, AdapterKey adapter);
  /// Updates the adapter's positions in the eviction order.
  void refresh(AdapterKey adapter);
  /// Updates the eviction order for a few replicas, in turn: the short-term
  /// part of the demand decays while no event arrives.
  void refreshNext();
  /// Adds the adapter to the load planner or removes it, as its state requires.
  void replan(ActiveAdapter &active);
  /// Does the same for every adapter on a replica.
  void replanAll(Replica &replica);

  /// Opens an order for the resident and returns the order's number.
  std::uint64_t openOrder(const Replica &replica, Resident &resident,
                          bool isLoad);
  /// Closes an order and returns it; a load then no longer counts as running.
  std::optional<OpenOrder> closeOrder(std::uint64_t order);

private:
  /// Index of the last replica whose adapters `refreshNext` updated.
  std::size_t LastRefreshed = 0;

  void addPrefetchCandidate(AdapterKey adapter);
};

} // namespace hemlockglade
