#pragma once

#include "Hemlockglade/Coordination/Orders/EngineOrder.h"
#include "Hemlockglade/Coordination/Orders/LoadConcurrency.h"
#include "Hemlockglade/Coordination/Orders/LoadRanking.h"
#include "Hemlockglade/State/Routing/RoutePlan.h"

#include <list>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>

namespace hemlockglade {

/// Weights that a replica holds, as its cell's owner knows them.
struct ResidentWeights {
  std::uint64_t Version = 0;
  /// When it can serve; later than now while it is being loaded.
  Instant ReadyAt{};
  /// It is being evicted: no new request may be sent for it.
  bool Evicting = false;

  bool operator==(const ResidentWeights &) const = default;
};

using Residency = std::map<WeightsRef, ResidentWeights>;

/// An action that the caller of `CellPlacement::plan` must carry out.
struct PlacementAction {
  enum class Kind : std::uint8_t { Order, Report };

  Kind Type = Kind::Order;
  std::string Replica;
  EngineOrder Order;
  /// Why, for the log.
  std::string_view Reason;
};

/// Decides which weights the replicas of one cell hold: loads what requests
/// wait for, copies what is in high demand, and drops what is in least demand.
/// Deterministic: time is passed in, orders are returned as actions, and it
/// does no I/O.
class CellPlacement {
public:
  struct Settings {
    /// Time that an adapter takes to load from the weight store. Loads above
    /// the limit of concurrent ones are taken to last longer in proportion.
    Span AdapterLoadTime = std::chrono::milliseconds(260);
    /// Limit of adapter loads in progress over the whole deployment.
    LoadConcurrency::Settings Concurrency;
    /// Maximum number of adapter loads in progress on one replica.
    std::uint32_t MaxLoadsPerReplica = 4;
    /// Load time of an adapter that the replica dropped recently, as a share of
    /// `AdapterLoadTime`.
    double ReloadTimeShare = 0.1;
    /// Preference, where the replica for a load is chosen, for one that dropped
    /// the adapter recently, as a share of an engine's slots in use.
    double ReloadGain = 0.5;
    /// Maximum preference for the replica that a hash assigns to the adapter,
    /// in the same unit, so that an adapter goes to the same engine again where
    /// nothing speaks against it.
    double HashedReplicaGain = 0.3;
    /// Number of recently dropped adapters per replica that are assumed to load
    /// faster.
    std::size_t MaxRecentlyDropped = 100;
    /// Half-life of the demand estimate.
    Span DemandHalfLife = std::chrono::seconds(8);
    /// Half-life of a second demand estimate, which is used where it is higher:
    /// an adapter whose demand rises within seconds gets its copies before the
    /// slow estimate shows it. Below `MinFastWeight` requests the fast estimate
    /// is not reliable and is not used. 0 switches it off.
    Span FastHalfLife = std::chrono::milliseconds(1000);
    double MinFastWeight = 3;
    /// Requests a second from which on an adapter that another cell holds gets
    /// a copy in this cell: a load costs as much as the bytes of several
    /// requests between failure domains.
    double MinRateForCopy = 0.6;
    /// Requests a second that one copy serves before another copy is worth a
    /// slot.
    double MaxRatePerCopy = 3;
    /// Factor by which a load for demand alone, with no request waiting, must
    /// exceed the value of what it drops.
    double MinGainOverVictim = 1.5;
    /// An adapter that was requested this recently may be about to be used, and
    /// is not dropped.
    Span RecentUse = std::chrono::milliseconds(700);
    /// How long a report of congested requests counts towards a further copy.
    Span CongestedFor = std::chrono::milliseconds(700);
    /// Minimum requests a second for each copy while requests are congested, so
    /// that a short congestion does not drop all other adapters.
    double CongestedRatePerCopy = 1.5;
    /// Timeout of a report of waiting requests. A node repeats the report every
    /// 200 ms; weights without a report for this long are no longer waited for
    /// and are not loaded.
    Span WaitReportTimeout = std::chrono::milliseconds(700);
    /// Order of loads that requests wait for: a second of waiting counts as
    /// this many requests a second.
    double WaitWeight = 0.2;
    /// Number of cells of the deployment, which share the rate of base model
    /// loads.
    std::uint32_t CellCount = 1;
    /// Index of this cell among them, from 0. When the weight store becomes
    /// free, cells load base models from it in this order, so that each has
    /// received the loads of those before it.
    std::uint32_t CellIndex = 0;
    /// Time within which owners receive reports of loads in other cells.
    Span LoadReportDelay = std::chrono::milliseconds(400);
    /// Delay before a new owner loads a base model from the store. Loads are
    /// counted over 5 s, and the previous owner ordered nothing in the 3.25 s
    /// of the handover.
    Span NewOwnerModelDelay = std::chrono::milliseconds(2000);
    /// Time between scans of all demand for copies that no request waits for.
    Span DemandScanInterval = std::chrono::milliseconds(250);
    /// Backoff of an engine after an order without an answer. It doubles after
    /// each further one, up to the maximum. An engine that is down refuses at
    /// once; other engines take its loads meanwhile.
    Span InitialBackoff = std::chrono::milliseconds(40);
    Span MaxBackoff = std::chrono::milliseconds(1280);
    /// Delay before an engine's report is requested again while something on it
    /// is not finished.
    Span RecheckDelay = std::chrono::milliseconds(300);
    /// Base model loads in progress in the whole deployment for each load a
    /// second that the weight store allows. Concurrent loads share the store's
    /// speed: one after the other, replicas are ready sooner on average.
    double ModelLoadsPerRate = 0.25;
    /// Whether first and further copies of adapters stand in one order, by the
    /// requests that they let begin, while loads are scarce. Otherwise all
    /// first copies come before all further ones.
    bool RankLoads = false;
    /// Loads count as scarce for this long after the limit of concurrent loads
    /// delayed one.
    Span ScarceFor = std::chrono::milliseconds(1000);
    LoadRanking::Settings Ranking;
  };

  explicit CellPlacement(Settings settings)
      : Options(settings), AdapterLoads(Options.Concurrency),
        Ranking(Options.Ranking) {}

  /// Sets the replicas of the cell that run engines, and the plan, which has
  /// the engine specifications of their services.
  void setReplicas(const std::vector<ReplicaPtr> &replicas,
                   const std::shared_ptr<const RoutePlan> &plan, Instant now);
  /// Called when operators have declared a version.
  void setVersion(const WeightsRef &weights, std::uint64_t version);
  /// Called when requests for a service's weights have arrived, at any node.
  void onDemand(const std::string &service, const WeightsRef &weights,
                double requests, Instant now);
  /// Called when requests wait at a node for weights that no replica of the
  /// cell has, or only `unusable` ones that the requests must not use.
  void onWaiting(const std::string &service, const WeightsRef &weights,
                 Instant now, std::uint32_t requests = 1,
                 std::uint32_t unusable = 0);
  /// Called when requests wait at a node because the replicas that have the
  /// weights are at their limit.
  void onCongested(const std::string &service, const WeightsRef &weights,
                   Instant now, std::uint32_t requests = 1);
  /// Sets how many requests run at a replica, over all nodes.
  void setRunning(const std::string &replica, std::uint32_t running);
  /// Called when requests that use weights at a replica have begun or ended, at
  /// any node. Weights in use are not dropped: an engine takes no other order
  /// until they are free.
  void onUse(const std::string &replica, const WeightsRef &weights,
             std::int32_t change);
  /// Sets how many adapters other cells are loading at this moment.
  void setLoadingElsewhere(std::size_t n) { LoadingElsewhere = n; }
  /// Sets how many base models other cells are loading at this moment.
  void setModelsElsewhere(std::size_t n) { ModelsElsewhere = n; }
  /// Sets which replicas state a limit on their requests. What they hold does
  /// not count as copies, and nothing is loaded there, as long as other
  /// replicas of their service have none.
  void setLimited(const std::set<std::string> &replicas);
  /// Sets the replicas that must be sent nothing at present, neither orders nor
  /// requests for reports.
  void setPaused(const std::set<std::string> &replicas);
  /// Called when a replica refused a request for weights that should be ready.
  void onRefusedEarly(const std::string &replica, const WeightsRef &weights,
                      Instant now);
  /// Called when a replica does not have weights that it is recorded to hold.
  void onMissing(const std::string &replica, const WeightsRef &weights,
                 Instant now);

  /// Returns what must be done now; nothing unless `mayOrder`.
  std::vector<PlacementAction> plan(bool mayOrder, Instant now);
  void onOrderAnswer(const std::string &replica, const EngineOrder &order,
                     OrderAnswer answer, Instant now);
  void onReport(const std::string &replica,
                const std::optional<HoldingsReport> &report, Instant now);
  /// Discards the state of own orders and requests every replica's report, as
  /// after a time without the lease in which another node ordered.
  void forget();

  /// Returns what a replica holds. Changes of it raise `revision`.
  const Residency &residency(const std::string &replica) const;
  std::vector<std::string> replicas() const;
  std::uint64_t revision() const { return Revision; }

private:
  struct Demand {
    double Weight = 0;
    double FastWeight = 0;
    Instant UpdatedAt{};
    Instant LastRequestAt{};
    Instant CongestedAt{-3'600'000'000};
    /// When requests began to wait for the weights; nothing if none do.
    std::optional<Instant> WaitingSince;
    /// When a node last reported waiting requests.
    Instant LastWaitReportAt{};
    /// Requests that wait, as a count that decays between reports.
    double WaitingWeight = 0;
    Instant WaitingUpdatedAt{};
    /// Greatest number of copies that waiting requests must not use.
    std::uint32_t Unusable = 0;
    Instant UnusableAt{};
  };
  using DemandKey = std::pair<std::string, WeightsRef>;

  struct ReplicaState {
    ReplicaPtr Record;
    /// Another incarnation, or another replica, answers at its address.
    bool Replaced = false;
    std::shared_ptr<const RoutePlan> Plan;
    const EngineSpec *Engine = nullptr;
    std::uint64_t OrderCount = 0;
    Residency Held;
    /// Adapters that were dropped recently, the latest first.
    std::list<WeightsRef> RecentlyDropped;
    std::uint32_t Running = 0;
    /// States a limit on its requests or pauses, and others of its service
    /// don't.
    bool Limited = false;
    /// Must be sent nothing at present.
    bool Paused = false;
    /// Adapter that the replica loads next: a slot is being freed for it, or
    /// its order has been sent.
    std::optional<WeightsRef> PendingAdapter;
    std::string_view PendingReason;
    bool OrderPending = false;
    bool ReportPending = false;
    /// Consecutive orders and report requests without an answer, and until when
    /// the replica is sent none.
    std::uint32_t UnansweredCount = 0;
    Instant BackoffUntil{};
    /// When the engine's report must be requested to correct this state;
    /// nothing if it need not be.
    std::optional<Instant> ReportDue;
    /// When to check whether evicting adapters have been dropped. Orders need
    /// not wait for that: the slots of these adapters are counted as occupied
    /// until then.
    std::optional<Instant> EvictionCheckDue;
    /// A base model is being loaded until this time.
    Instant ModelLoadUntil{};
    /// That load is from the weight store.
    bool FromStore = false;
    /// Base models that the replica's host has copies of.
    LocalCopies Local;

    bool hasLocalCopy(const std::string &model) const {
      return Local.InMemory.contains(model) || Local.OnDisk.contains(model);
    }
    Span modelLoadTime(const ModelSpec &model) const;
  };

  double rate(const Demand &demand, Instant now) const;
  double rateOf(const DemandKey &key, Instant now) const;
  double valueOf(const ReplicaState &state, const WeightsRef &weights,
                 const ResidentWeights &held, Instant now);
  /// Copies of current versions in the cell.
  struct CopyCount {
    std::size_t All = 0;
    /// When those are ready that are being loaded.
    std::vector<Instant> LoadingUntil;

    std::size_t loading(Instant now) const;
  };

  const CopyCount &copiesOf(const DemandKey &key);
  std::size_t copyCount(const DemandKey &key) { return copiesOf(key).All; }
  /// Returns the number of copies that waiting requests may use; none of them
  /// can have tried one that is being loaded.
  std::size_t usableCopyCount(const DemandKey &key, const Demand &demand,
                              Instant now);
  /// Whether requests that wait for weights have a copy that they may use.
  bool isServed(const DemandKey &key, const Demand &demand, Instant now);
  static double waitingCount(const Demand &demand, Instant now);
  static void addWaiting(Demand &demand, std::uint32_t requests, Instant now);
  void countCopies();
  void countCopy(const ReplicaState &state, const WeightsRef &weights,
                 Instant readyAt);
  bool isCurrent(const WeightsRef &weights, std::uint64_t version) const;
  std::size_t adapterCount(const ReplicaState &state) const;
  std::size_t loadingCount(const ReplicaState &state, Instant now) const;
  std::size_t loadingCount(Instant now) const;
  /// Whether another adapter may be loaded; if not, it counts as a delayed
  /// load.
  bool canLoad(Instant now);
  bool areLoadsScarce(Instant now) const {
    return now - LoadDelayedAt < Options.ScarceFor;
  }
  bool canOrder(const ReplicaState &state, Instant now) const;
  void applyHoldings(ReplicaState &state, const HeldWeights &held,
                     const HeldWeights &pending, std::uint64_t count,
                     Instant now);
  /// Records that weights were missing though they should have been loaded.
  void recordLate(const ResidentWeights &held, Instant now);
  bool isOwnIncarnation(ReplicaState &state, const HoldingsReport &report,
                        Instant now) const;
  static bool hasAllModels(const ReplicaState &state);
  const ModelSpec *missingModel(const ReplicaState &state, Instant now);
  std::size_t storeLoadCount(Instant now) const;
  void planModels(std::vector<PlacementAction> &actions, Instant now);
  bool canLoadFromStore(double rate, Instant now);
  void planAdapters(std::vector<PlacementAction> &actions, Instant now);
  bool placeAdapter(const DemandKey &key, double value, std::string_view reason,
                    std::vector<PlacementAction> &actions, Instant now);
  const WeightsRef *findVictim(const ReplicaState &state, double below,
                               Instant now);
  void planWaiting(std::vector<PlacementAction> &actions, Instant now);
  void planCopies(std::vector<PlacementAction> &actions, Instant now);
  /// Removes weights from `Waiting` that are served or not reported any more.
  void updateWaiting(Instant now);
  /// Finds the weights in high demand.
  void findInDemand(Instant now);
  void planRanked(std::vector<PlacementAction> &actions, Instant now);
  LoadCandidate candidateOf(const DemandKey &key, Instant now);
  void addOrder(ReplicaState &state, OrderKind kind, const WeightsRef &weights,
                std::string_view reason, std::vector<PlacementAction> &actions);
  Span loadTime(const ReplicaState &state, const WeightsRef &weights,
                Instant now) const;
  void rememberDropped(ReplicaState &state, const WeightsRef &weights);
  void backOff(ReplicaState &state, Instant now);
  void markChanged() {
    ++Revision;
    CopiesValid = false;
  }

  Settings Options;
  std::map<std::string, ReplicaState> Replicas;
  std::map<std::pair<std::string, WeightsRef>, std::int32_t> Uses;
  std::map<WeightsRef, std::uint64_t> Versions;
  std::map<DemandKey, Demand> Demands;
  /// Weights that requests wait for.
  std::set<DemandKey> Waiting;
  /// Weights that may be worth a further copy, where loads are ranked.
  std::set<DemandKey> InDemand;
  Instant NextDemandScan{};
  /// Counted anew when the replicas' state has changed.
  std::map<DemandKey, CopyCount> Copies;
  bool CopiesValid = false;
  /// Time of the last call of `plan`.
  Instant PlannedAt{};
  Instant NextModelLoad{};
  /// Since when a base model could have been loaded from the weight store.
  std::optional<Instant> StoreFreeSince;
  /// Whether the last call of `plan` allowed orders.
  bool MayOrder = false;
  std::size_t LoadingElsewhere = 0;
  /// Limit of adapter loads in progress over all cells.
  LoadConcurrency AdapterLoads;
  LoadRanking Ranking;
  /// When the limit of concurrent loads last delayed one.
  Instant LoadDelayedAt{-3'600'000'000};
  std::size_t ModelsElsewhere = 0;
  std::uint64_t Revision = 1;
};

} // namespace hemlockglade
