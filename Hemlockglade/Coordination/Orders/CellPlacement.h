#pragma once

#include "Hemlockglade/Coordination/Orders/EngineOrder.h"
#include "Hemlockglade/Coordination/Orders/LoadConcurrency.h"
#include "Hemlockglade/State/Routing/RoutePlan.h"

#include <list>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>

namespace hemlockglade {

/// What a replica holds, as its cell's owner knows it.
struct ResidentWeights {
  std::uint64_t Version = 0;
  /// When it can serve; later than now while it is being loaded.
  Instant ReadyAt{};
  /// It is being dropped: nothing new may be sent for it.
  bool Leaving = false;

  bool operator==(const ResidentWeights &) const = default;
};

using Residency = std::map<WeightsRef, ResidentWeights>;

/// What the desk wants done now.
struct PlacementAction {
  enum class Kind : std::uint8_t { Order, Report };

  Kind Type = Kind::Order;
  std::string Replica;
  EngineOrder Order;
  /// Why, for the log.
  std::string_view Reason;
};

/// Decides which weights the replicas of one cell hold: loads what requests
/// wait for, copies what is wanted much, drops what is wanted least. It has no
/// clock and no sockets: time comes with the calls, orders go out as actions.
class CellPlacement {
public:
  struct Settings {
    /// Time that an adapter takes to load when it comes from the weight store.
    /// Learnt upwards and downwards from how early requests came; this is the
    /// first guess.
    Span AdapterLoad = std::chrono::milliseconds(260);
    /// Loads of adapters on their way over the whole deployment.
    LoadConcurrency::Settings Concurrency;
    /// Loads on their way to one replica.
    std::uint32_t LoadsPerReplica = 4;
    /// Adapters that a replica dropped lately come back this much faster.
    double QuickShare = 0.1;
    /// What coming back fast is worth where the place of a load is chosen, as a
    /// share of an engine's slots in use.
    double QuickGain = 0.5;
    /// What the same place as last time is worth there at most, so that an
    /// adapter goes to the same engine again where nothing speaks against it.
    double SamePlaceGain = 0.3;
    /// Adapters dropped lately that are taken to come back fast.
    std::size_t QuickMemory = 100;
    /// Half life of the demand estimate.
    Span DemandHalfLife = std::chrono::seconds(8);
    /// Half life of a second estimate, which is taken where it is higher: what
    /// becomes wanted within seconds gets its copies before the slow estimate
    /// has seen it. Nothing is taken from it below the number of requests that
    /// makes it sure. 0 switches it off.
    Span FastHalfLife = std::chrono::milliseconds(1000);
    double FastLeast = 3;
    /// Requests a second from which on an adapter that another cell holds is
    /// worth a copy here: a load costs as much as the bytes of several requests
    /// between failure domains.
    double RateForCopy = 0.6;
    /// Requests a second that one copy serves before another is worth a place.
    double RatePerCopy = 3;
    /// A load for demand alone, with nobody waiting, has to gain this much over
    /// what it drops.
    double GainOverVictim = 1.5;
    /// An adapter that was asked for this recently may be about to be used.
    Span RecentUse = std::chrono::milliseconds(700);
    /// Requests that wait for engines at their limit ask for a copy for this
    /// long.
    Span PressedFor = std::chrono::milliseconds(700);
    /// Requests a second that one copy has to serve at least while they do, so
    /// that what presses for a moment doesn't drop everything else.
    double PressedRatePerCopy = 1.5;
    /// A node reminds of weights that it waits for each 200 ms; what nobody has
    /// reminded of for this long is not waited for any more and not loaded.
    Span WantLasts = std::chrono::milliseconds(700);
    /// Load order of what requests wait for: a second of waiting counts as this
    /// many requests a second.
    double WaitWeight = 0.2;
    /// Cells of the deployment, which share the rate of base model loads.
    std::uint32_t CellCount = 1;
    /// Place of this cell among them, from 0. When the weight store becomes
    /// free cells load base models from it in this order, so that each hears of
    /// the loads of those before it.
    std::uint32_t CellIndex = 0;
    /// Time within which owners hear of loads in other cells.
    Span HeardWithin = std::chrono::milliseconds(400);
    /// Time for which a new owner loads no base model from the store. Loads are
    /// counted over 5 s, and the owner before ordered nothing in the 3.25 s of
    /// the handover.
    Span ModelPauseOfNewOwner = std::chrono::milliseconds(2000);
    /// Time between looks at all demand, for copies that nobody waits for.
    Span ScanEvery = std::chrono::milliseconds(250);
    /// Time that an engine is left alone after an order without an answer,
    /// twice as long after each further one, up to the longest. One that is
    /// down refuses at once; others take its loads meanwhile.
    Span FirstRest = std::chrono::milliseconds(40);
    Span LongestRest = std::chrono::milliseconds(1280);
    /// Time until an engine is asked again about what it was still at.
    Span DoubtDelay = std::chrono::milliseconds(300);
    /// Base model loads under way in the whole deployment for each load a
    /// second that the weight store allows. Loads share its speed, so that one
    /// after the other each replica is ready sooner on average.
    double ModelLoadsPerRate = 0.25;
  };

  explicit CellPlacement(Settings settings)
      : Setup(settings), Pace(Setup.Concurrency) {}

  /// Sets the replicas of the cell that run engines, and what their services
  /// say of them.
  void setReplicas(const std::vector<ReplicaPtr> &replicas,
                   const std::shared_ptr<const RoutePlan> &plan, Instant now);
  /// Operators have named a version.
  void setVersion(const WeightsRef &weights, std::uint64_t version);
  /// Requests for weights of a service came, at any node.
  void onDemand(const std::string &service, const WeightsRef &weights,
                double requests, Instant now);
  /// Requests wait at a node for weights that no replica of the cell has.
  void onWaiting(const std::string &service, const WeightsRef &weights,
                 Instant now);
  /// Requests wait at a node because the replicas that have the weights are at
  /// their limit.
  void onCongested(const std::string &service, const WeightsRef &weights,
                   Instant now);
  /// How many requests run at a replica, over all nodes.
  void setRunning(const std::string &replica, std::uint32_t running);
  /// Requests that use weights at a replica began or ended, at any node. What
  /// is in use is not dropped: an engine takes no other order until it is free.
  void onUse(const std::string &replica, const WeightsRef &weights,
             std::int32_t change);
  /// Adapters that other cells are loading at this moment.
  void setLoadingElsewhere(std::size_t n) { LoadingElsewhere = n; }
  /// Base models that other cells are loading at this moment.
  void setModelsElsewhere(std::size_t n) { ModelsElsewhere = n; }
  /// A request for weights that should be ready was refused.
  void onRefusedEarly(const std::string &replica, const WeightsRef &weights,
                      Instant now);
  /// A replica does not have weights that the books say it has.
  void onMissing(const std::string &replica, const WeightsRef &weights,
                 Instant now);

  /// What to do now. Nothing is ordered unless `mayOrder`.
  std::vector<PlacementAction> plan(bool mayOrder, Instant now);
  void onOrderAnswer(const std::string &replica, const EngineOrder &order,
                     OrderAnswer answer, Instant now);
  void onReport(const std::string &replica,
                const std::optional<HoldingsReport> &report, Instant now);
  /// Forgets all that was learnt from own orders, as after a time without the
  /// lease in which another node ordered.
  void forget();

  /// What each replica holds. Changes of it raise `revision`.
  const Residency &residency(const std::string &replica) const;
  std::vector<std::string> replicas() const;
  std::uint64_t revision() const { return Revision; }

private:
  struct Demand {
    double Weight = 0;
    double FastWeight = 0;
    Instant At{};
    Instant LastAsked{};
    Instant PressedAt{-3'600'000'000};
    /// Requests wait for it, since when; nothing if none do.
    std::optional<Instant> WantedAt;
    /// When a node last said so.
    Instant RemindedAt{};
  };
  using DemandKey = std::pair<std::string, WeightsRef>;

  struct Book {
    ReplicaPtr Record;
    /// Another start of it, or another replica, answers at its address.
    bool Replaced = false;
    std::shared_ptr<const RoutePlan> Plan;
    const EngineSpec *Engine = nullptr;
    std::uint64_t Count = 0;
    Residency Held;
    /// Dropped lately, the latest first.
    std::list<WeightsRef> Quick;
    std::uint32_t Running = 0;
    /// Adapter that the replica is to load next; a place is being made for it,
    /// or its order is on its way.
    std::optional<WeightsRef> Making;
    std::string_view MakingFor;
    bool OrderOpen = false;
    bool ReportOpen = false;
    /// Orders in a row without an answer, and until when it gets none.
    std::uint32_t Unanswered = 0;
    Instant RestsUntil{};
    /// When the books have to be compared with the engine's; none if not.
    std::optional<Instant> ReportDue;
    /// When to look whether adapters that leave have gone. Orders need not wait
    /// for that: the places they take are counted until then.
    std::optional<Instant> CheckDue;
    /// A base model is being loaded until then.
    Instant ModelBusyUntil{};
    /// That load comes from the weight store.
    bool FromStore = false;
    /// Base models that load without the weight store.
    LocalCopies Local;

    bool hasCopy(const std::string &model) const {
      return Local.InMemory.contains(model) || Local.OnDisk.contains(model);
    }
    Span modelLoadTime(const ModelSpec &model) const;
  };

  double rate(const Demand &demand, Instant now) const;
  double rateOf(const DemandKey &key, Instant now) const;
  double worthOf(const Book &book, const WeightsRef &weights,
                 const ResidentWeights &held, Instant now);
  std::size_t copies(const DemandKey &key);
  void countCopies();
  bool current(const WeightsRef &weights, std::uint64_t version) const;
  std::size_t adapters(const Book &book) const;
  std::size_t loading(const Book &book, Instant now) const;
  std::size_t loading(Instant now) const;
  /// Whether another adapter may be loaded; one that may not waits for it.
  bool mayLoad(Instant now);
  bool orderable(const Book &book, Instant now) const;
  void adopt(Book &book, const HeldWeights &held, const HeldWeights &pending,
             std::uint64_t count, Instant now);
  /// Weights that should be there were not.
  void noteLate(const ResidentWeights &held, Instant now);
  bool reportsThisStart(Book &book, const HoldingsReport &report,
                        Instant now) const;
  static bool holdsAllModels(const Book &book);
  const ModelSpec *missingModel(const Book &book, Instant now);
  std::size_t modelsFromStore(Instant now) const;
  void planModels(std::vector<PlacementAction> &actions, Instant now);
  bool mayLoadFromStore(double rate, Instant now);
  void planAdapters(std::vector<PlacementAction> &actions, Instant now);
  bool place(const DemandKey &key, double worth, std::string_view reason,
             std::vector<PlacementAction> &actions, Instant now);
  const WeightsRef *victim(const Book &book, double below, Instant now);
  void planWanted(std::vector<PlacementAction> &actions, Instant now);
  void planScarce(std::vector<PlacementAction> &actions, Instant now);
  void order(Book &book, OrderKind kind, const WeightsRef &weights,
             std::string_view reason, std::vector<PlacementAction> &actions);
  Span loadTime(const Book &book, const WeightsRef &weights, Instant now) const;
  void remember(Book &book, const WeightsRef &weights);
  void rest(Book &book, Instant now);
  void changed() {
    ++Revision;
    CopiesKnown = false;
  }

  Settings Setup;
  std::map<std::string, Book> Books;
  std::map<std::pair<std::string, WeightsRef>, std::int32_t> Uses;
  std::map<WeightsRef, std::uint64_t> Versions;
  std::map<DemandKey, Demand> Demands;
  /// Those that requests wait for.
  std::set<DemandKey> Wanted;
  Instant NextScan{};
  /// Copies of current versions in the cell; counted anew when the books have
  /// changed.
  std::map<DemandKey, std::size_t> Copies;
  bool CopiesKnown = false;
  Instant NextModelLoad{};
  /// Since when a base model could be loaded from the weight store.
  std::optional<Instant> StoreFreeSince;
  /// Whether the last look allowed orders.
  bool MayOrder = false;
  std::size_t LoadingElsewhere = 0;
  /// Adapter loads that may be on their way over all cells.
  LoadConcurrency Pace;
  std::size_t ModelsElsewhere = 0;
  std::uint64_t Revision = 1;
};

} // namespace hemlockglade
