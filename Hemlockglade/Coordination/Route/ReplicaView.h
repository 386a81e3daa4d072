#pragma once

#include "Hemlockglade/Coordination/Orders/CellPlacement.h"
#include "Hemlockglade/Coordination/Registry/DeclaredVersions.h"
#include "Hemlockglade/Coordination/Registry/Registry.h"
#include "Hemlockglade/Coordination/Route/PrefillSpeed.h"
#include "Hemlockglade/Coordination/Route/RejectionLimits.h"
#include "Hemlockglade/Coordination/Route/ReplicaHealth.h"
#include "Hemlockglade/Coordination/Route/ReplicaLife.h"
#include "Hemlockglade/Coordination/Route/ReplicaPauses.h"
#include "Hemlockglade/Coordination/Route/ReplicaSpeed.h"
#include "Hemlockglade/Coordination/Route/SendWindow.h"

#include <deque>
#include <set>
#include <span>
#include <unordered_map>

namespace hemlockglade {

/// Requirements of a request on a replica.
struct RouteQuery {
  std::string Service;
  /// Weights that the replica must hold; unset for plain services.
  std::optional<WeightsRef> Weights;
  /// Version of its software that the replica must run, for a stream that has
  /// begun; unset for others. None matches an empty one.
  std::optional<std::string> SoftwareVersion;
  /// Keys of the prompt's shared parts, which replicas may have in their prefix
  /// cache.
  std::vector<std::uint64_t> PromptParts;
  std::uint32_t SharedTokens = 0;
  /// Maximum number of tokens that the request occupies.
  std::uint32_t Tokens = 0;
  /// Prompt tokens.
  std::uint32_t PromptTokens = 0;
  /// Target latency of its route.
  Span TargetLatency{0};
  /// Until then the request can still be in time; later it yields to others.
  Instant OnTimeUntil{};
  /// Rank of its route; 0 is the most urgent.
  std::uint32_t Rank = 0;
  /// Time of the last attempt.
  Instant SentAt{};
  /// Incarnations that must not be used again.
  std::set<std::string> Excluded;
  /// Incarnations that rejected this request without running it, with the end
  /// of the backoff for each.
  std::map<std::string, Instant> BackoffUntil;
  /// Incarnations that get no more requests than they accept, with the time
  /// until which none is granted for this one.
  std::map<std::string, Instant> LimitedUntil;

  bool isExcluded(const std::string &incarnation, Instant now) const;
};

/// What a request takes of a replica that fails from rejections.
struct PlaceNeed {
  /// Places that the request takes, and that the replica has.
  double Needed = 1;
  double Places = 1;
  /// Rejections a second that the replica bears.
  double RejectionsPerSecond = 0;
};

/// Result of choosing a replica.
struct RouteChoice {
  enum class Kind : std::uint8_t {
    /// Send the request to the replica.
    Send,
    /// A replica will have loaded the weights at `ReadyAt`.
    AwaitLoad,
    /// The best replica has a prefill backlog; it is nearly done at `ReadyAt`.
    AwaitPrefill,
    /// No replica has the weights or is loading them: a load has to be
    /// requested.
    NotLoaded,
    /// All suitable replicas are full.
    Full,
    /// All replicas get as many requests as they accept; the next may be
    /// granted at `ReadyAt`.
    Limited,
    /// All replicas have asked this node for a pause; the first may be used
    /// again at `ReadyAt`.
    Paused,
    /// No replica of the service is known.
    NoReplica,
    /// No replica runs the software version that the stream needs.
    NoSuchSoftware,
  };

  Kind Result = Kind::NoReplica;
  /// Set for `Send` and `AwaitPrefill`.
  ReplicaPtr Replica;
  /// Version of the weights at the replica; 0 if not known.
  std::uint64_t Version = 0;
  Instant ReadyAt{};
  /// Newest declared version that is known; 0 if none.
  std::uint64_t NewestVersion = 0;
  /// Time from which the version there counts as replaced, if it does.
  std::optional<Instant> ReplacedAt;
  /// Set if the version there has been replaced: the request has to begin by
  /// then, or must not run on these weights.
  std::optional<Instant> MustBeginBy;
  /// Whether the replica is in another failure domain although the own one has
  /// replicas of the service: the weights should be loaded nearer.
  bool Remote = false;
  std::uint32_t Running = 0;
  /// Requests a second that the replica accepts from all nodes together.
  std::optional<double> RequestLimit;
  /// Set if the request needs a place at the replica.
  std::optional<PlaceNeed> Place;
  /// Set for `NotLoaded` if replicas have the weights, but all of them have
  /// asked this node for a pause: when the first may be used again.
  std::optional<Instant> HoldersReturnAt;
  /// The engine has no prefill backlog, as far as is known.
  bool PrefillIdle = false;
  /// Age of the last report about the replica's load from other nodes; 0 if
  /// there was none.
  Span LoadAge{0};
  /// Speed factor of the replica; 1 if speed factors are not in effect.
  double Speed = 1;
};

/// One node's samples of a replica's speed.
struct SpeedSamples {
  std::string Replica;
  ReplicaSpeed::Samples Samples;
};

/// Speed factor of a replica, merged from all nodes' samples.
struct MergedSpeed {
  std::string Replica;
  double Factor = 1;
  /// How long ago the last sample was added.
  Span Age{0};
};

/// Speed factors of a service.
struct SpeedRange {
  double Min = 1;
  double Max = 1;
  /// Geometric mean over all replicas, however much each is used.
  double Mean = 1;
  /// Replicas are chosen by their factors.
  bool InEffect = false;
};

/// A replica's statement of its limit.
struct StatedLimit {
  std::string Replica;
  /// Requests a second that it accepts from all nodes together; none if it has
  /// no limit any more.
  std::optional<double> PerSecond;
  Instant StatedAt{};
};

/// One node's view of all replicas, built from the registry, the cells' owners
/// and the node's own requests. Chooses the replica for each request.
/// Deterministic: time is passed in, and it does no I/O.
class ReplicaView {
public:
  struct Settings {
    std::string FailureDomain;
    /// Cost of a replica in another failure domain, in shares of a replica's
    /// slots: its load has to be lower by that much to be chosen over a near
    /// one.
    double RemoteCost = 0.2;
    /// Cost reduction for each thousand prompt tokens that are in the replica's
    /// prefix cache and need no prefill.
    double PrefixGain = 0.15;
    /// Cost of a replica all of whose requests fail, in the same unit.
    double FailureCost = 3;
    /// Cost of a replica with overdue requests.
    double OverdueCost = 1.5;
    /// Cost of a second of prefill backlog: an idle engine in another failure
    /// domain is preferred to one with a backlog of a few hundredths of a
    /// second.
    double BacklogCost = 6;
    /// Cost of a replica for a new stream while others of its software version
    /// drain and another version serves: what is left of a version that leaves
    /// is kept for the streams that it began.
    double LeavingVersionCost = 0.6;
    /// Cost of a replica that has stated a limit lately. After that time it is
    /// tried like any other, since only its answers show that the limit has
    /// ended.
    double LimitedCost = 2;
    Span LimitedCostTime = std::chrono::milliseconds(2000);
    /// How long the times of this node's requests to a replica are kept, to be
    /// counted against a limit that it states.
    Span SentHistory = ReplicaLimitWindow;
    /// Prefill backlog that may remain when the next request is sent: the
    /// engine then never idles, and its running streams, whose tokens are
    /// generated between prefill chunks, have no long pause.
    Span MaxPrefillBacklog = std::chrono::milliseconds(25);
    /// Reduction of that backlog for each rank of a request, so that the more
    /// urgent of the waiting requests are sent first.
    Span RankStep = std::chrono::milliseconds(6);
    /// Time for which an engine must have had no prefill backlog before a
    /// request that is late anyway is sent to it.
    Span LateIdle = std::chrono::milliseconds(30);
    /// Factor on the prefill time of a prompt's tokens: tokens of running
    /// streams are generated in between.
    double PrefillOverhead = 1.15;
    /// Share of error responses above the lowest one of a service's replicas
    /// that is still normal.
    double TypicalErrorShare = 0.1;
    /// A replaced version is used for this long after its successor was
    /// declared.
    Span OldVersionGrace = std::chrono::milliseconds(2500);
    /// From this long after its successor was declared, no request may begin on
    /// a version. Kept below the bound that operators are promised by the time
    /// that a node needs to receive the start of an answer.
    Span OldVersionBeginLimit = std::chrono::milliseconds(4200);
    /// Replicas whose entries disappear while the registry was unreachable are
    /// used for this long: the entries may have expired and be written again.
    /// Counts from when the entries were last confirmed, unless that is longer
    /// ago.
    Span ExpiryGrace = std::chrono::milliseconds(1700);
    /// Requests that may be queued at an engine beyond its slots, as a share of
    /// its slots.
    double QueueShare = 0;
    /// Share of a replica's slots that are places while its service states a
    /// limit on rejections: a new connection may take a slot for a moment.
    double RejectionLimitShare = 0.9;
    /// Share of an engine's memory for running requests that may be used.
    double MemoryShare = 0.92;
    /// Send window of a plain replica; its initial size is twice this node's
    /// share of the replica's slots.
    SendWindow::Settings Window;
    ReplicaPauses::Settings Pauses;
    /// Whether plain replicas have a send window.
    bool UseWindows = true;
    /// Whether replicas are chosen by their speed factors.
    bool UseSpeeds = false;
    ReplicaSpeed::Settings Speed;
    /// Speed factors take effect where a service's slowest replica takes more
    /// than this many times as long as its fastest: their estimates differ by
    /// less where the replicas are equal.
    double MinSpeedRatio = 1.25;
    /// Time between two updates of what is derived from the speed factors.
    Span SpeedInterval = std::chrono::milliseconds(200);
    /// Upper limit for the delay of news about other nodes' requests.
    Span MaxNewsDelay = std::chrono::milliseconds(500);
    /// Maximum number of shared prompt parts that are recorded for a replica.
    std::size_t MaxPromptParts = 4096;
  };

  explicit ReplicaView(Settings settings)
      : Options(std::move(settings)), Versions(Options.OldVersionBeginLimit),
        Pauses(Options.Pauses) {}

  void setPlan(std::shared_ptr<const RoutePlan> plan) {
    Plan = std::move(plan);
  }
  /// Sets this entry's share of the traffic of all entries in service, 0 to 1.
  void setTrafficShare(double share) { TrafficShare = share; }
  /// Applies changes from the registry. `unreachable`: the registry was
  /// unreachable shortly before. `ageBefore`: how long ago the list was surely
  /// as this view had it. Returns the previous records of replicas that have
  /// restarted.
  std::vector<ReplicaPtr> onRegistry(const ReplicaChanges &changes,
                                     bool unreachable, Instant now,
                                     Span ageBefore = Span(0));
  /// Adds a declared version; returns whether it is new.
  bool onVersion(const WeightsVersion &declared) {
    return Versions.add(declared);
  }
  const DeclaredVersions &versions() const { return Versions; }
  /// Called when an owner reports the complete residency of a replica.
  void onResidency(const std::string &replica, Residency held, Instant now);
  /// Called when an owner reports changes to the residency reported before.
  void onResidencyChange(const std::string &replica, const Residency &changed,
                         const std::vector<WeightsRef> &dropped);
  void onRunningElsewhere(const std::string &replica, std::uint32_t running,
                          Instant now);
  /// Called when another node has sent a request to a replica.
  void onSentElsewhere(const std::string &replica, std::uint32_t tokens,
                       Instant now);
  /// Called when a replica states, at that time, how many requests a second it
  /// accepts from all nodes together, or that it has no such limit. Returns
  /// whether its limit is another one now.
  bool onLimit(const std::string &replica, std::optional<double> perSecond,
               Instant statedAt);
  /// Called when a service's replicas state how many rejections a second they
  /// bear, or state no such limit. Returns whether the limit is another one
  /// now.
  bool onRejectionLimit(const StatedRejectionLimit &stated) {
    return Rejections.onStated(stated);
  }
  const RejectionLimits &rejectionLimits() const { return Rejections; }
  /// Returns what a request takes of a replica; nothing if its service states
  /// no limit on rejections.
  std::optional<PlaceNeed> placeNeed(const std::string &replica,
                                     const RouteQuery &query) const;
  /// Called when a replica has rejected a request for want of room.
  void onRejected(const std::string &replica, Instant now);
  /// Called when a replica has asked this node to send it nothing for a time.
  /// Returns whether it ends later now than was known.
  bool onPauseAsked(const std::string &replica, Span span, Instant now) {
    return Pauses.onAsked(replica, span, now);
  }
  /// Whether a replica must get nothing from this node, as it has asked.
  bool isPaused(const std::string &replica, Instant now) const {
    return Pauses.isPaused(replica, now);
  }
  /// Returns for how long a replica still must get nothing from this node;
  /// nothing if it may.
  std::optional<Span> pausedFor(const std::string &replica, Instant now) const {
    auto returnsAt = Pauses.returnsAt(replica, now);
    return returnsAt ? std::optional(*returnsAt - now) : std::nullopt;
  }
  /// Returns how long ago a replica that is paused asked for it.
  std::optional<Span> pauseAskedAgo(const std::string &replica,
                                    Instant now) const {
    return Pauses.askedAgo(replica, now);
  }
  /// Returns the replicas that are paused, with when each may be used again.
  std::map<std::string, Instant> paused(Instant now) const {
    return Pauses.paused(now);
  }
  /// Returns those of a failure domain.
  std::map<std::string, Instant> pausedIn(const std::string &domain,
                                          Instant now) const;
  /// Number of this node's requests that were sent to paused replicas.
  std::uint64_t sentIntoPauses() const { return SentIntoPauses; }
  /// Returns the latest incarnation of the replica with that id, as far as one
  /// is known.
  ReplicaIncarnation latestIncarnation(const std::string &id) const;
  /// Returns the number of this node's running requests at a replica.
  std::uint32_t ownRunningAt(const std::string &replica) const;
  std::optional<double> limitOf(const std::string &replica) const;
  /// Returns whether a replica holds weights or is loading them.
  bool holds(const std::string &replica, const WeightsRef &weights) const;
  /// Returns when each usable copy of the weights at a service's replicas can
  /// be used, with those that are being loaded.
  std::vector<Instant> copiesReadyAt(const std::string &service,
                                     const WeightsRef &weights,
                                     Instant now) const;
  /// Returns the failure domain of a replica; empty if it is not known.
  std::string failureDomainOf(const std::string &replica) const;
  /// Returns the limits of a failure domain's replicas that have changed since
  /// a revision of the limits.
  std::vector<StatedLimit> limitsSince(const std::string &domain,
                                       std::uint64_t revision) const;
  std::uint64_t limitRevision() const { return LimitRevision; }
  /// Returns how long ago this node sent its latest requests to a replica that
  /// needed no grant.
  std::vector<Span> sentAgo(const std::string &replica, Instant now) const;
  /// Returns the replicas of a failure domain that have a limit.
  std::set<std::string> limitedIn(const std::string &domain) const;
  /// Returns the number of replicas that have a limit.
  std::size_t limitedCount() const;
  /// Called when another node reports its samples of a replica's speed.
  void onSpeedSamples(const SpeedSamples &samples, Instant now);
  /// Called when a cell's owner reports a replica's speed factor.
  void onMergedSpeed(const MergedSpeed &merged, Instant now);
  /// Returns this node's samples of a failure domain's replicas that it has not
  /// returned yet, up to a bound.
  std::vector<SpeedSamples> takeSpeedSamples(const std::string &domain);
  /// Returns the speed factors of a failure domain's replicas that have changed
  /// by more than a tenth since a revision of them, up to a bound, and sets the
  /// revision to the one up to which they are complete.
  std::vector<MergedSpeed> takeSpeedsSince(const std::string &domain,
                                           std::uint64_t &revision,
                                           Instant now) const;
  /// Called with the time that news from a failure domain's owner have needed.
  void onNewsDelay(const std::string &domain, Span delay);
  /// Updates what is derived from the speed factors if that is due.
  void refreshSpeeds(Instant now);
  /// Returns the speed factors of each service whose replicas have any.
  const std::map<std::string, SpeedRange> &speedRanges() const {
    return SpeedRanges;
  }
  /// Returns the factor with which a replica is chosen.
  double speedOf(const std::string &replica) const;
  /// Number of reports about speeds that were wrong or not about a replica in
  /// use.
  std::uint64_t rejectedSpeeds() const { return RejectedSpeeds; }
  /// Called when a cell has lost its owner: the residency that it reported is
  /// still used, but is updated from the replicas' own heartbeats again.
  void onOwnerLost(const std::string &failureDomain);

  RouteChoice choose(const RouteQuery &query, Instant now);

  /// Called when a request is sent to a replica; returns the number of the
  /// attempt.
  std::uint64_t onSent(const std::string &replica, const RouteQuery &query,
                       Instant now);
  /// Called when a replica has answered; `accepted` unless it has rejected the
  /// request.
  void onAnswered(const std::string &replica, std::uint64_t attempt,
                  bool accepted, Instant now);
  /// Called when the first event of an engine's answer is received, `took`
  /// after the request was sent; `wasIdle`: the engine had no prefill backlog
  /// at that time.
  void onFirstEvent(const std::string &replica, const RouteQuery &query,
                    Span took, bool wasIdle);
  /// Called when a replica's answer to a request that was sent at that time
  /// begins, and says that it succeeded. A replica's speed is measured by these
  /// where it is no engine.
  void onSuccess(const std::string &replica, Instant sentAt, Instant now);
  /// Returns the number of the query's prompt tokens that are not in the
  /// replica's prefix cache.
  std::uint32_t uncachedPromptTokens(const std::string &replica,
                                     const RouteQuery &query) const;
  /// Returns the time by which a request that was sent for a version of weights
  /// has to begin, if that version has been replaced.
  std::optional<Instant> mustBeginBy(const WeightsRef &weights,
                                     std::uint64_t version) const;
  /// Called when a replica has said that it leaves: it counts as draining from
  /// now on, whatever its entry says. Returns whether that is new.
  bool onLeaving(const std::string &replica, Instant now);
  /// Returns the replicas of a failure domain that have said so since a
  /// revision of these.
  std::vector<std::string> leavingSince(const std::string &domain,
                                        std::uint64_t revision) const;
  std::uint64_t leavingRevision() const { return LeavingRevision; }
  /// Returns whether the replica is draining or its entry has been removed.
  bool isDraining(const std::string &replica) const;
  /// Returns whether the replica answers more of its requests with errors than
  /// other replicas of its service.
  bool isSuspect(const std::string &replica, Instant now) const;
  void onEnd(const std::string &replica, std::uint64_t attempt,
             const RouteQuery &query, AttemptVerdict verdict, Instant now);
  /// Called when the replica rejected a request because it does not have the
  /// weights yet; `missing`: it answered that it does not have them.
  void onWeightsRefused(const std::string &replica, const WeightsRef &weights,
                        bool missing, Instant now);
  /// Called when another incarnation has been found at the replica's address.
  void onRestarted(const std::string &replica);
  /// Sets what is called when a replica's phase has changed.
  void setOnPhase(std::function<void(const ReplicaRecord &replica,
                                     ReplicaPhase before, ReplicaPhase now)>
                      onPhase) {
    OnPhase = std::move(onPhase);
  }
  /// Returns the number of replicas in each phase.
  std::map<ReplicaPhase, std::size_t> phaseCounts() const;
  /// Removes replicas whose entries are removed or expired, and returns those
  /// that count as removed since the last call.
  std::vector<ReplicaIncarnation> removeExpired(Instant now);

  /// Returns the records of the usable replicas in a failure domain.
  std::vector<ReplicaPtr> replicasIn(const std::string &domain) const;
  /// Returns the records of the usable replicas of a service.
  std::vector<ReplicaPtr> replicasOf(const std::string &service) const;
  /// Returns the record of an incarnation that may get requests; null if there
  /// is none.
  ReplicaPtr findUsable(std::string_view incarnation) const;
  /// Returns the records of all usable replicas.
  std::vector<ReplicaPtr> inUse() const;
  /// Returns the records of all replicas that have not been forgotten, whether
  /// or not they are usable.
  std::vector<ReplicaPtr> all() const;
  /// Returns whether a replica with that id has not been forgotten.
  bool knows(const std::string &id) const {
    return LatestIncarnations.contains(id);
  }
  /// Returns whether some replicas are still used although their entries have
  /// disappeared.
  bool hasPendingRemoval() const;
  /// Rises whenever the result of `replicasIn` may have changed.
  std::uint64_t revision() const { return Revision; }
  /// Returns the number of this node's running requests at each replica of a
  /// failure domain that has any.
  std::map<std::string, std::uint32_t>
  ownRunning(const std::string &domain) const;
  /// Returns the number of this node's running requests at each replica of a
  /// failure domain, by weights.
  std::map<std::pair<std::string, WeightsRef>, std::uint32_t>
  ownRunningByWeights(const std::string &domain) const;
  std::size_t size() const { return Replicas.size(); }
  /// Returns the number of weights that are being loaded outside a failure
  /// domain: of base models if `models`, else of adapters.
  std::size_t loadingOutside(const std::string &domain, bool models,
                             Instant now) const;
  /// Returns the typical time to an answer's first byte at a replica.
  Span typicalFirstByte(const std::string &replica) const;
  /// Returns the time from which a waiting request of a plain service can't be
  /// answered in time any more: its replicas need the rest of the target
  /// latency.
  Instant onTimeUntil(const RouteQuery &query, Instant arrivedAt) const;

private:
  /// A prompt that was sent to an engine.
  struct SentPrompt {
    /// Tokens that were not in the prefix cache.
    std::uint32_t Tokens = 0;
    /// Backlog of the engine, as far as was known.
    Span Backlog{0};
  };

  struct ReplicaState {
    ReplicaPtr Record;
    ReplicaLife Life;
    /// Weights that it holds; reported by its cell's owner if `FromOwner`.
    Residency Held;
    bool FromOwner = false;
    /// Weights that it rejected since its residency was last reported, with the
    /// time at which each was first due.
    std::map<WeightsRef, Instant> RejectedDueAt;
    std::uint32_t OwnRunning = 0;
    std::uint64_t OwnTokens = 0;
    std::map<WeightsRef, std::uint32_t> OwnByWeights;
    std::uint32_t RunningElsewhere = 0;
    Instant RunningElsewhereAt{};
    /// Requests a second that it accepts from all nodes together.
    std::optional<double> RequestLimit;
    /// When it stated its limit, or that it has none.
    Instant LimitStatedAt{};
    /// `LimitRevision` when the limit changed; 0 if it never had one.
    std::uint64_t LimitChangedAt = 0;
    /// Times of this node's requests within `SentHistory` that needed no grant.
    std::deque<Instant> UngrantedTimes;
    /// Estimated end of the prefill of all prompts that were sent to it.
    Instant PrefillUntil{};
    ReplicaHealth Health;
    ReplicaSpeed Speed;
    /// Speed factors are in effect for its service.
    bool UsesSpeed = false;
    /// Its factor if `UsesSpeed`, else 1.
    double SpeedFactor = 1;
    /// The factor that was last published, and its revision; 0 if it never was.
    double PublishedSpeed = 1;
    std::uint64_t SpeedRevision = 0;
    /// Seconds of prefill that other nodes are likely to have sent to it
    /// without this node knowing yet, at `UnseenAt`.
    double Unseen = 0;
    Instant UnseenAt{};
    Span UnseenDelay{0};
    /// Prompts without a first event by when they were sent, if speed factors
    /// are used.
    std::map<Instant, SentPrompt> Unstarted;
    /// When requests of a plain service were sent that have no answer and are
    /// unlikely to queue, if speed factors are used.
    std::set<Instant> Unqueued;
    /// Set for plain replicas once a request was sent.
    std::optional<SendWindow> Window;
    /// Shared prompt parts that were sent to it with the weights that they were
    /// processed for, and when.
    std::unordered_map<std::uint64_t, Instant> CachedParts;
    /// `removeExpired` has returned it.
    bool RemovalReturned = false;
  };

  /// A replica that has said that it leaves.
  struct Leave {
    Instant SaidAt{};
    /// `LeavingRevision` when this was new.
    std::uint64_t Revision = 0;
  };

  static bool isUsable(const ReplicaState &state) {
    return state.Life.isUsable();
  }
  static bool runsSoftware(const ReplicaState &state, const RouteQuery &query);
  /// Returns the software versions of a service of which replicas drain.
  std::set<std::string_view>
  leavingVersions(std::span<const ReplicaState *const> all) const;
  double cost(const ReplicaState &state, const RouteQuery &query,
              double typicalErrorShare, Instant now) const;
  bool isVersionUsable(const WeightsRef &weights, std::uint64_t version,
                       Instant now) const;
  /// Returns the time from which a version of an adapter counts as replaced, if
  /// it does.
  std::optional<Instant> replacedAt(const WeightsRef &weights,
                                    std::uint64_t version) const;
  std::uint32_t uncachedTokens(const ReplicaState &state,
                               const RouteQuery &query) const;
  std::uint32_t cachedTokens(const ReplicaState &state,
                             const RouteQuery &query) const;
  /// Returns the weights' state at a replica that has them in a version which
  /// may be used; null if it doesn't.
  const ResidentWeights *usableWeights(const ReplicaState &state,
                                       const WeightsRef &weights,
                                       Instant now) const;
  bool hasRoom(const ReplicaState &state, const RouteQuery &query,
               Instant now) const;
  std::optional<PlaceNeed> placeNeed(const ReplicaState &state,
                                     const RouteQuery &query) const;
  double typicalErrorShare(const std::string &service, Instant now) const;
  /// Records an incarnation and returns whether it is the latest one that is
  /// known. The record of an earlier one is added to `ended`.
  bool acceptIncarnation(const ReplicaIncarnation &incarnation, Instant now,
                         std::vector<ReplicaPtr> &ended);
  void applyRecord(const ReplicaRecord &record, std::uint64_t position,
                   Instant now, std::vector<ReplicaPtr> &ended);
  /// Applies an event to a replica's life, and reports it if its phase changes.
  void changeLife(ReplicaState &state,
                  const std::function<void(ReplicaLife &life)> &event);
  /// Returns until when replicas are used whose entries have expired.
  Instant endOfExpiryGrace(Span ageBefore, Instant now) const;
  void rebuildIndex();
  /// Returns the prefill backlog up to which the request is sent to an engine.
  /// Negative if the engine must have been without a backlog for some time.
  Span maxPrefillBacklog(const RouteQuery &query, Instant now) const;
  Span prefillTime(const std::string &service, std::uint32_t tokens) const;
  Span prefillTime(const ReplicaState &state, std::uint32_t tokens) const;
  /// This node's part of a plain replica's slots.
  double plainShare(const ReplicaState &state) const;
  /// Cost of the request's own time at a replica, and of what other nodes are
  /// likely to have sent to it.
  double speedCost(const ReplicaState &state, const RouteQuery &query,
                   Instant now) const;
  /// Adds a sample of a replica's speed: how long it took for something that
  /// typically takes `typical`.
  void addSpeedSample(const std::string &replica, ReplicaState &state,
                      Span took, Span typical, Instant now);
  void onPromptSent(ReplicaState &state, const RouteQuery &query, Instant now);
  void onPromptStarted(const std::string &replica, ReplicaState &state,
                       Instant sentAt, Span took, bool wasIdle);
  /// Returns how long something would have taken at a replica of mean speed.
  Span atMeanSpeed(const ReplicaState &state, Span took) const;
  void applySpeed(ReplicaState &state, Instant now) const;
  /// Publishes factors that have changed, for the other nodes.
  void publishSpeeds(std::span<ReplicaState *const> changed, Instant now);
  /// Returns the state of a replica about which others may report; null, and
  /// counts the report, if there is none in use.
  ReplicaState *findForSpeed(const std::string &replica);
  void addUnseen(ReplicaState &state, Span prefill, Instant now) const;
  static std::uint64_t partKey(const RouteQuery &query, std::uint64_t part);

  Settings Options;
  std::function<void(const ReplicaRecord &, ReplicaPhase, ReplicaPhase)>
      OnPhase;
  std::shared_ptr<const RoutePlan> Plan;
  std::map<std::string, ReplicaState> Replicas;
  /// The latest incarnation of each replica, by its id.
  std::map<std::string, ReplicaIncarnation> LatestIncarnations;
  /// The replicas by service, for `choose`.
  std::map<std::string, std::vector<ReplicaState *>> ByService;
  double TrafficShare = 1;
  std::uint64_t Revision = 1;
  /// Rises whenever a replica's limit has changed.
  std::uint64_t LimitRevision = 0;
  /// Residency that owners reported for replicas not yet received from the
  /// registry.
  std::map<std::string, Residency> PendingResidency;
  DeclaredVersions Versions;
  RejectionLimits Rejections;
  ReplicaPauses Pauses;
  /// By incarnation. Kept while a replica's entry may come and go.
  std::map<std::string, Leave> Leaving;
  std::uint64_t LeavingRevision = 0;
  std::uint64_t SentIntoPauses = 0;
  std::uint64_t NextAttempt = 1;
  /// Prefill speed of the engines of each service.
  std::map<std::string, PrefillSpeed> PrefillSpeeds;
  /// Typical times of the responses of each plain service.
  std::map<std::string, PrefillSpeed> PlainTimes;
  std::map<std::string, SpeedRange> SpeedRanges;
  Instant SpeedsAt{};
  std::uint64_t SpeedRevision = 0;
  /// Replicas by the revision of their published speed factors.
  std::map<std::uint64_t, std::string> SpeedChanges;
  std::size_t PublishTurn = 0;
  /// Replicas with samples that have not been taken, by failure domain.
  std::map<std::string, std::deque<std::string>> Sampled;
  std::uint64_t RejectedSpeeds = 0;
  /// By failure domain.
  std::map<std::string, Span> NewsDelays;
};

} // namespace hemlockglade
