#pragma once

#include "Hemlockglade/Coordination/Orders/CellPlacement.h"
#include "Hemlockglade/Coordination/Registry/DeclaredVersions.h"
#include "Hemlockglade/Coordination/Registry/Registry.h"
#include "Hemlockglade/Coordination/Route/PrefillSpeed.h"
#include "Hemlockglade/Coordination/Route/ReplicaHealth.h"
#include "Hemlockglade/Coordination/Route/SendWindow.h"

#include <set>
#include <unordered_map>

namespace hemlockglade {

/// What a request needs of a replica.
struct RouteQuery {
  std::string Service;
  /// Weights that the replica must hold; none for plain services.
  std::optional<WeightsRef> Weights;
  /// Shared parts of the prompt, for replicas that have read them.
  std::vector<std::uint64_t> PromptParts;
  std::uint32_t SharedTokens = 0;
  /// Tokens that the request takes up at most.
  std::uint32_t Tokens = 0;
  /// Prompt tokens.
  std::uint32_t PromptTokens = 0;
  /// Target latency of its route.
  Span TargetLatency{0};
  /// Until then the request can still be in time; later it lets others go
  /// first.
  Instant OnTimeUntil{};
  /// Rank of its route; 0 is the most urgent.
  std::uint32_t Rank = 0;
  /// When it was sent to a replica last.
  Instant SentAt{};
  /// Starts of replicas that are not to be tried again.
  std::set<std::string> Excluded;
  /// Starts of replicas that turned this request away unrun, until when each is
  /// left alone by it.
  std::map<std::string, Instant> BackoffUntil;

  bool excludes(const std::string &incarnation, Instant now) const;
};

/// What the view says to a query.
struct RouteChoice {
  enum class Kind : std::uint8_t {
    /// Send it to the replica.
    Send,
    /// A replica will have the weights at `ReadyAt`.
    AwaitLoad,
    /// The best replica still reads prompts; it is nearly done at `ReadyAt`.
    AwaitPrefill,
    /// No replica has the weights, or will: they have to be loaded.
    NotLoaded,
    /// All that could are full.
    Full,
    /// No replica of the service is known.
    NoReplica,
  };

  Kind Result = Kind::NoReplica;
  /// Set for `Send` and `AwaitPrefill`.
  ReplicaPtr Replica;
  /// Version of the weights there; 0 if not known.
  std::uint64_t Version = 0;
  Instant ReadyAt{};
  /// Newest version that operators are known to have named; 0 if none.
  std::uint64_t NewestVersion = 0;
  /// Since when the version there counts as replaced, if it does.
  std::optional<Instant> ReplacedAt;
  /// Set where the version there has been replaced: the request has to begin by
  /// then, or not at all on these weights.
  std::optional<Instant> MustBeginBy;
  /// Whether the replica is in another failure domain though the own one has
  /// replicas of the service: the weights are wanted nearer.
  bool Remote = false;
  std::uint32_t Running = 0;
  /// The engine has no prompts to read, as far as is known.
  bool PrefillIdle = false;
  /// Age of what was known about the replica's load at other nodes; 0 if they
  /// never told.
  Span LoadAge{0};
};

/// One node's view of all replicas: what the registry, the cells' owners and
/// its own requests tell of them. Chooses where a request goes. No clock, no
/// sockets.
class ReplicaView {
public:
  struct Settings {
    std::string FailureDomain;
    /// Load, in shares of a replica's slots, that a replica in another failure
    /// domain has to be below a near one to be taken.
    double RemoteCost = 0.2;
    /// Load that a thousand tokens of a prompt are worth which need not be
    /// read again.
    double PrefixGain = 0.15;
    /// Cost of a replica whose requests all fail, in the same unit.
    double FailureCost = 3;
    /// Cost of one with overdue requests.
    double OverdueCost = 1.5;
    /// Load that a second of prompts to read is worth: an engine that reads for
    /// a few hundredths of a second loses to an idle one in another failure
    /// domain.
    double BacklogCost = 6;
    /// Time to read prompts that may be left when the next one is sent: the
    /// engine then never idles, and its running streams, whose tokens come
    /// between the pieces of prompts, have no long pause.
    Span PaceBacklog = std::chrono::milliseconds(25);
    /// How much less may be left for each rank that a request is behind, so
    /// that of requests that wait the more urgent go first.
    Span RankStep = std::chrono::milliseconds(6);
    /// How long an engine must have read nothing before a request that is late
    /// anyway is sent to it.
    Span LateIdle = std::chrono::milliseconds(30);
    /// Time to read a prompt beside what its tokens take: tokens of running
    /// streams are made in between.
    double ReadOverhead = 1.15;
    /// Own failures that all replicas of a service may show.
    double UsualFailures = 0.1;
    /// A version of weights is used this long after its successor was named.
    Span OldVersionGrace = std::chrono::milliseconds(2500);
    /// From this long after its successor was named on, nothing may begin on a
    /// version. Below the bound that operators are promised by what a node
    /// needs to hear of an answer's start.
    Span OldVersionEnd = std::chrono::milliseconds(4200);
    /// Replicas whose entries vanish while the registry was out of reach are
    /// used for this long: they may have lapsed and come back.
    Span ExpiryGrace = std::chrono::milliseconds(1700);
    /// Requests that may wait at an engine beyond its slots, as a share.
    double QueueShare = 0;
    /// Share of an engine's memory for running requests that is filled.
    double MemoryShare = 0.92;
    /// How many requests this node keeps at a plain replica; the first window
    /// is twice its part of the replica's slots.
    SendWindow::Settings Window;
    /// Whether plain replicas have a window.
    bool UseWindows = true;
    /// Shared parts remembered for a replica.
    std::size_t MaxPromptParts = 4096;
  };

  explicit ReplicaView(Settings settings)
      : Setup(std::move(settings)), Versions(Setup.OldVersionEnd) {}

  void setPlan(std::shared_ptr<const RoutePlan> plan) {
    Plan = std::move(plan);
  }
  /// This entry's part of what all in service send, 0 to 1.
  void setTrafficShare(double part) { Part = part; }
  /// `unreachable`: the registry was out of reach shortly before. Gives the
  /// replicas that have started anew, as they were before.
  std::vector<ReplicaPtr> onRegistry(const ReplicaChanges &changes,
                                     bool unreachable, Instant now);
  /// Operators have named a version; gives whether it was not known.
  bool onVersion(const WeightsVersion &named) { return Versions.add(named); }
  const DeclaredVersions &versions() const { return Versions; }
  /// An owner tells what a replica holds, and how many requests run there that
  /// this node has not sent.
  void onResidency(const std::string &replica, Residency held, Instant now);
  /// An owner tells what has changed of what it told before.
  void onResidencyChange(const std::string &replica, const Residency &changed,
                         const std::vector<WeightsRef> &dropped);
  void onRunningElsewhere(const std::string &replica, std::uint32_t running,
                          Instant now);
  /// Another node sent a request to a replica.
  void onSentElsewhere(const std::string &replica, std::uint32_t tokens,
                       Instant now);
  /// The owner of a cell is gone: what it told is used on, but the replicas'
  /// own heartbeats count again.
  void onOwnerLost(const std::string &failureDomain);

  RouteChoice choose(const RouteQuery &query, Instant now);

  /// A request goes to a replica; gives the number of the attempt.
  std::uint64_t onSent(const std::string &replica, const RouteQuery &query,
                       Instant now);
  void onAnswered(const std::string &replica, std::uint64_t attempt,
                  Instant now);
  /// The first event of an engine's answer came `took` after the request was
  /// sent; `clean` if the engine had no prompt to read before.
  void onFirstEvent(const std::string &replica, const RouteQuery &query,
                    Span took, bool clean);
  /// Tokens of the query's prompt that the replica has to read.
  std::uint32_t tokensToRead(const std::string &replica,
                             const RouteQuery &query) const;
  /// Until when a request that was sent for a version of weights has to begin,
  /// if that version has been replaced.
  std::optional<Instant> mustBeginBy(const WeightsRef &weights,
                                     std::uint64_t version) const;
  /// Whether the replica is known to leave, or to have left.
  bool isDraining(const std::string &replica) const;
  /// Whether the replica fails more of its requests than its like.
  bool isSuspect(const std::string &replica, Instant now) const;
  void onEnd(const std::string &replica, std::uint64_t attempt,
             const RouteQuery &query, AttemptVerdict verdict, Instant now);
  /// The replica refused because it does not have the weights, or not yet.
  void onWeightsRefused(const std::string &replica, const WeightsRef &weights,
                        bool missing, Instant now);
  /// Another incarnation has the replica's address.
  void onReplaced(const std::string &replica);
  /// Gives the replicas that are taken as gone from now on.
  std::vector<ReplicaIncarnation> removeExpired(Instant now);

  /// Records of the replicas in use in a failure domain.
  std::vector<ReplicaPtr> replicasIn(const std::string &domain) const;
  /// Records of all replicas in use.
  std::vector<ReplicaPtr> inUse() const;
  /// Whether some are used on though their entries have vanished.
  bool anyPendingRemoval() const;
  /// Rises whenever `replicasIn` may give something else.
  std::uint64_t revision() const { return Revision; }
  /// Own running requests at each replica of a failure domain that has any.
  std::map<std::string, std::uint32_t>
  ownRunning(const std::string &domain) const;
  /// Own running requests at each replica of a failure domain, by weights.
  std::map<std::pair<std::string, WeightsRef>, std::uint32_t>
  ownUses(const std::string &domain) const;
  std::size_t size() const { return Replicas.size(); }
  /// Weights that are being loaded, but for those in a failure domain:
  /// adapters, or base models.
  std::size_t loadingOutside(const std::string &domain, bool models,
                             Instant now) const;
  /// Usual time to an answer's first byte at a replica.
  Span typicalFirstByte(const std::string &replica) const;
  /// From when on a request of a plain service that still waits can't be in
  /// time any more: its replicas need the rest of the target latency.
  Instant onTimeUntil(const RouteQuery &query, Instant arrivedAt) const;

private:
  struct Seen {
    ReplicaPtr Record;
    /// It gets no new work.
    bool Leaving = false;
    /// What it holds; from its cell's owner if `ByOwner`.
    Residency Held;
    bool ByOwner = false;
    /// Weights that were refused since what it holds was last told, and when
    /// they should have been ready.
    std::map<WeightsRef, Instant> LateSince;
    std::uint32_t Own = 0;
    std::uint64_t OwnTokens = 0;
    std::map<WeightsRef, std::uint32_t> OwnUses;
    std::uint32_t Others = 0;
    Instant OthersAt{};
    /// When it will have read the prompts that were sent to it.
    Instant BusyUntil{};
    ReplicaHealth Health;
    /// Of a plain replica.
    std::optional<SendWindow> Window;
    /// Shared parts sent there, with the weights they were read for.
    std::unordered_map<std::uint64_t, Instant> Parts;
    /// Its entry vanished; used until then.
    std::optional<Instant> VanishesAt;
    /// It has been given as gone.
    bool GoneTold = false;
    bool Replaced = false;
  };

  static bool usable(const Seen &seen);
  double cost(const Seen &seen, const RouteQuery &query, double usualFailures,
              Instant now) const;
  bool versionServes(const WeightsRef &weights, std::uint64_t version,
                     Instant now) const;
  /// Since when a version of an adapter counts as replaced, if it does.
  std::optional<Instant> replacedAt(const WeightsRef &weights,
                                    std::uint64_t version) const;
  std::uint32_t unreadTokens(const Seen &seen, const RouteQuery &query) const;
  std::uint32_t sharedTokens(const Seen &seen, const RouteQuery &query) const;
  bool hasRoom(const Seen &seen, const RouteQuery &query, Instant now) const;
  double usualFailures(const std::string &service, Instant now) const;
  /// Whether a start of a replica is the latest that is known; one before ends.
  bool takeLife(const ReplicaIncarnation &life, Instant now,
                std::vector<ReplicaPtr> &ended);
  void takeRecord(const ReplicaRecord &record, Instant now,
                  std::vector<ReplicaPtr> &ended);
  void vanish(Seen &seen, bool lapsed, Instant now);
  void index();
  /// Backlog up to which an engine gets the request.
  Span paceBound(const RouteQuery &query, Instant now) const;
  Span timeToRead(const std::string &service, std::uint32_t tokens) const;
  static std::uint64_t partKey(const RouteQuery &query, std::uint64_t part);

  Settings Setup;
  std::shared_ptr<const RoutePlan> Plan;
  std::map<std::string, Seen> Replicas;
  /// The latest start of each replica, by its id.
  std::map<std::string, ReplicaIncarnation> Lives;
  /// The same by service, for choosing.
  std::map<std::string, std::vector<Seen *>> ByService;
  double Part = 1;
  std::uint64_t Revision = 1;
  /// What owners told of replicas that the registry has not shown yet.
  std::map<std::string, Residency> Early;
  DeclaredVersions Versions;
  std::uint64_t NextAttempt = 1;
  /// How fast the engines of each service read prompts.
  std::map<std::string, PrefillSpeed> Speeds;
};

} // namespace hemlockglade
