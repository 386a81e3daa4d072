#pragma once

#include "Hemlockglade/Coordination/Entries/RelaySelector.h"
#include "Hemlockglade/Coordination/Route/ReplicaReach.h"
#include "Hemlockglade/Coordination/Route/RouteTimes.h"
#include "Hemlockglade/Coordination/Streams/SoftwareHistory.h"
#include "Hemlockglade/Protocol/Settings/GatewaySettings.h"
#include "Hemlockglade/State/Metrics/MetricRegistry.h"
#include "Hemlockglade/State/Routing/CallerAccess.h"
#include "Hemlockglade/Transport/Http1/CallerServer.h"
#include "Programs/hemlockgladed/Gateway/CellMember.h"
#include "Programs/hemlockgladed/Gateway/CrashCoordinator.h"
#include "Programs/hemlockgladed/Gateway/GatewayExchange.h"
#include "Programs/hemlockgladed/Gateway/PlatformPort.h"
#include "Programs/hemlockgladed/Gateway/QuotaService.h"
#include "Programs/hemlockgladed/Gateway/RegistryWatcher.h"
#include "Programs/hemlockgladed/Gateway/RelayService.h"
#include "Programs/hemlockgladed/Gateway/StreamOriginService.h"

#include <random>
#include <unordered_set>

namespace hemlockglade {

/// A request that would be denied, and waits until this node has the newest
/// declarations.
struct DeniedRequest {
  CallerRequest Request;
  std::shared_ptr<CallerReply> Reply;
  bool CallerGone = false;
};

/// A node that serves replicas from a registry: it takes callers' requests,
/// routes them to registered replicas, and takes part in each cell. All of it
/// runs on one thread, the one that runs the io_context.
class Gateway {
public:
  Gateway(asio::io_context &context, GatewaySettings settings,
          PlatformPort port, EventLog &log);
  ~Gateway();
  Gateway(const Gateway &) = delete;
  Gateway &operator=(const Gateway &) = delete;

  /// Opens the listeners and joins the cells. Throws std::exception on failure.
  void start();
  /// Stops the node: it is no longer offered to callers, finishes open
  /// requests, then calls the hook of `onStopped`. A second call changes
  /// nothing.
  void stop();
  void onStopped(std::function<void()> hook) { Stopped = std::move(hook); }
  /// Applies the settings that may change while the node runs.
  void reload(const GatewaySettings &settings);

  bool ready() const;
  const GatewaySettings &settings() const { return Settings; }

private:
  void listen();
  void join();
  /// Whether the host is strong enough to own a large cell.
  bool isStrongHost() const;
  /// How long this node leaves a free lease of a cell to better owners.
  Span takeoverDelay(const std::string &cell) const;
  void onOperator(const OperatorChanges &changes);
  void onVersion(const WeightsVersion &declaration);
  void onReplicas(const ReplicaChanges &changes, const ReplicaSource &source);
  /// Called when the phase of a replica's life has changed.
  void onPhase(const ReplicaRecord &replica, ReplicaPhase before,
               ReplicaPhase now);
  /// Called when a newer incarnation of a replica is known; what ran on the one
  /// before is lost.
  void onRestarted(const ReplicaRecord &before);
  void onRequest(CallerRequest request, std::shared_ptr<CallerReply> reply);
  /// Handles a request that the plan in force does not allow. It is denied only
  /// by what operators had declared when it arrived, which this node may not
  /// have yet.
  void confirmDenial(CallerRequest request, CallerAccess::Denial denied,
                     std::shared_ptr<CallerReply> reply);
  /// Maximum age of this node's declarations for which it may deny a request
  /// without confirmation.
  Span maxDenialAge(CallerAccess::Denial denied) const;
  void confirmWithPeer(std::shared_ptr<DeniedRequest> it);
  void completeDenial(DeniedRequest &it);
  void deny(CallerReply &reply, std::string_view id, CallerAccess::Denial why);
  CallerAccess access(const CallerRequest &request,
                      const RequestLabels &labels) const;
  void serve(CallerRequest request, RequestLabels labels,
             const CallerAccess &access, std::shared_ptr<CallerReply> reply);
  void onDirectory(const CallerRequest &request, CallerReply &reply);
  void onReadiness(const CallerRequest &request, CallerReply &reply);
  void onMetrics(const CallerRequest &request, CallerReply &reply);
  void onPeer(const std::shared_ptr<PeerStream> &stream);
  BriefingReply briefing(std::uint64_t planVersion) const;
  /// The declarations that a node with that version of the plan lacks.
  BriefingReply declaredSince(std::uint64_t planVersion) const;
  /// Requests from a peer what the registry does not provide, if that is due:
  /// everything before this node serves, declarations afterwards.
  void requestBriefing();
  /// Whether this node is a seed, which others send their first requests to as
  /// they start.
  bool isSeed() const;
  /// Whether the owner of the cell of the own failure domain is known.
  bool knowsOwner() const;
  /// Requests from a peer what operators have declared beyond what this node
  /// has.
  void requestDeclarations();
  void sendBriefingRequest(std::string path);
  /// Called with a peer's answer to a request that was sent at `requestedAt`.
  void onBriefing(const BriefingReply &reply, Instant requestedAt);
  void onDemand(const std::string &service, const WeightsRef &weights,
                bool waiting, const std::set<std::string> &unusable);
  CellMember *homeCellOf(const WeightsRef &weights);
  void onEnd(const GatewayExchange &exchange);
  /// Counts what an exchange knows of its sendings and their answers.
  void countSendings(const GatewayExchange &exchange);
  void wakeWaiting();
  void refuse(CallerReply &reply, std::string_view id, std::uint16_t status,
              std::string_view why, std::optional<Span> retryAfter = {});
  void tick();
  void refresh();
  void refreshUsage();
  /// Updates the metrics of what is held for others, and logs what was ended
  /// since the last call.
  void refreshMemory();
  void refreshAnswers();
  /// Updates the metrics of callers' connections, and logs those that were
  /// closed since the last call to make room.
  void refreshPlaces();
  /// Updates the metrics of the retry budgets, and logs those of services with
  /// retries since the last call.
  void refreshRetryBudgets();
  /// Logs how much this node has sent to others and how often it has called the
  /// registry.
  void logUsage();
  void waitUntilIdle(Instant until);
  /// Share of the time bound of a stop that has passed, 0 to 1.
  double stopProgress() const;
  /// Returns for how long a request that arrives during a stop may be held so
  /// that it still ends before the process; nothing if it might outlast it.
  std::optional<Span> spareTimeInStop(const Route &route,
                                      const RequestLabels &labels) const;
  CallerHooks callerHooks();
  MemberNotice self() const;
  /// Updates which nodes serve callers: takes this node's share of what they
  /// divide among them, and follows all owners while it may have callers.
  void updateServingEntries();
  /// Sets whether callers may send requests here: it is in service, or one came
  /// lately.
  void setActive(bool active, std::string_view why);
  void stayActive();
  bool ownsCells() const;
  /// Whether this node has to follow the owner of a cell.
  bool follows(const std::string &cell) const;
  /// The cell whose owner sends this node registry updates; null for none.
  const CellMember *updateSource() const;
  std::vector<std::pair<std::string, std::string>>
  leasesExcept(const std::string &cell) const;
  CellMember::Hooks memberHooks(const std::string &cell);
  ExchangeContext exchangeContext();
  HeldRequests::Settings heldSettings();
  ReplicaLimitHooks replicaLimitHooks();
  ReplicaListHooks replicaListHooks();
  PathHooks pathHooks();
  StreamHooks streamHooks();
  StreamOriginService::Settings streamSettings() const;
  StreamOriginService::Hooks streamOriginHooks();
  /// Looks for what began a stream. One that no node knows can only have begun
  /// at a service whose replicas have run one software version all the while,
  /// which this node says only of a time that its list of replicas covers.
  void findStreamOrigin(
      std::string_view streamId, const std::string &service,
      std::function<void(const std::optional<StreamOrigin> &origin)> found);
  struct StreamSearch;
  void searchStream(const std::shared_ptr<StreamSearch> &search);
  void onStreamSearched(const std::shared_ptr<StreamSearch> &search);
  void endStreamSearch(const StreamSearch &search);
  /// Records which software versions serve now.
  void updateSoftware();
  /// Whether replicas may have come and gone since this node's last list, or
  /// before its first one, without being in these changes.
  bool missedReplicas(const ReplicaChanges &changes,
                      const ReplicaSource &source) const;
  /// Extends the time over which all software versions are known by what other
  /// processes have noted.
  void joinSoftwareClaims();
  /// Reads what was removed from the registry since a claim ends.
  void checkSoftwareClaim(const SoftwareHistory::Claim &claim);
  ReplicaPath choosePath(const ReplicaRecord &replica,
                         const std::set<std::string> &excludedRelays);
  void startRelay();
  /// Probes suspected paths to replicas, and acts on changed verdicts.
  void checkReach();
  void probePath(const ReplicaPtr &replica,
                 const std::function<void(bool reached)> &done = {});
  /// Probes other replicas of the service; calls `done` with whether one of
  /// them, if there are any, accepts connections.
  void probeOthers(const ReplicaRecord &replica,
                   std::function<void(bool reaches)> done);
  void onReachChange(const ReplicaReach::Change &change);
  /// This node's connectivity as others are told.
  ReachNotice reachNotice() const;
  void updateReachNotice();
  /// Takes in what an answer of a replica, to whomever, says of the replica.
  void onReplicaAnswer(const ReplicaRecord &replica, std::uint16_t status,
                       const AnswerLabels &labels, Instant sentAt);
  /// Called when a replica has said, here or to another node, that it leaves.
  void onLeaving(const std::string &replica, std::string_view from);
  /// Called when a replica rejects a request and wants none for a time.
  void onPauseAsked(const std::string &replica, Span span,
                    std::string_view from);
  /// Called when a replica's limit, or that it has none, is known from one of
  /// its answers or from another node.
  void onReplicaLimit(const std::string &replica,
                      std::optional<double> perSecond, Instant statedAt,
                      std::string_view from);
  /// How many of a replica's places are this node's while no owner grants them.
  double placesWithoutOwner(const Workspace &holder) const;
  /// Called when it is known from an answer or from another node how many
  /// rejections a second a service's replicas bear.
  void onRejectionLimit(const StatedRejectionLimit &stated,
                        std::string_view from);
  /// What other processes have to know that start while no other is left.
  std::string notes() const;
  /// Takes in what the notes of a lease row, or another node, say.
  void onNotes(const std::string &notes);
  /// Takes in the lease row of a cell that another node has sent.
  void onLeaseRow(const std::string &cell, const std::string &text);
  CrashHooks crashHooks();
  CrashCoordinator::Hooks crashCoordinatorHooks();
  QuotaService::Hooks quotaHooks();
  LimitHooks limitHooks();
  /// Finds out whether a replica has ended whose connection has ended an
  /// answer.
  void probeEnded(const ReplicaRecord &replica,
                  std::function<void(bool hasEnded)> done);
  void onBarred(const RequestKey &key);

  asio::io_context &Context;
  GatewaySettings Settings;
  const std::string Incarnation;
  PlatformPort Port;
  EventLog &Log;
  TimerService Timers;
  MetricRegistry Metrics;
  ReplicaView View;
  SharedRetryBudget Budget;
  /// What `refreshRetryBudgets` has logged last, and when it was called last.
  std::map<std::string, SharedRetryBudget::Usage> LoggedBudgets;
  Instant BudgetsLoggedAt = TimerService::now();
  /// Accounts for the bytes that are held for others; the members after it are
  /// what metrics and the log have of what it has ended.
  const std::shared_ptr<HeldMemory> Memory;
  std::array<std::uint64_t, HeldMemory::EndlessKinds> EndlessAnswers{};
  std::array<std::uint64_t, HeldMemory::Kinds> EndedShares{};
  HttpPool Pool;
  CrashCoordinator Crashes;
  PeerTraffic Traffic;
  QuotaService Quotas;
  FairQueue Queue;
  SoftwareHistory Software;
  /// What a claim about software versions leaves open is being read.
  bool ClaimPending = false;
  StreamOriginService Streams;
  HeldRequests Held;
  ExchangeContext SharedContext;
  const ExchangeSettings ExchangeOptions;
  std::unique_ptr<PeerNet> Peers;
  std::map<std::string, std::unique_ptr<CellMember>> Cells;
  ServingEntries Entries;
  /// Connectivity to the replicas, what others were told of it, and the nodes
  /// that forward requests to replicas which can't be reached.
  ReplicaReach Reach;
  ReachNotice ToldReach;
  std::uint64_t ReachRevision = 1;
  RelaySelector Relays;
  std::unique_ptr<RelayService> Relay;
  std::mt19937_64 Random{std::random_device{}()};
  /// Meters of all requests, and of those for engines alone.
  EntryLoadMeter Meter;
  EntryLoadMeter EngineMeter;
  RouteTimes Times;
  bool InService = false;
  /// Callers are sent to other nodes, since this one is cut off from replicas:
  /// answers ask them to close their connections.
  bool LeftOut = false;
  bool Active = false;
  /// When callers' requests for engines last had the rate that makes the node
  /// active.
  Instant LastRequestAt{-3'600'000'000};
  std::unique_ptr<RegistryWatcher> Watcher;
  std::unique_ptr<CallerServer> Callers;
  std::unique_ptr<CallerServer> Directory;
  std::unique_ptr<CallerServer> Readiness;
  std::unique_ptr<CallerServer> MetricsServer;
  /// What metrics and the log have of the connections that were closed to make
  /// room or got none, by listener.
  std::map<std::string_view, std::uint64_t> LoggedPlaces;
  std::shared_ptr<const RoutePlan> Plan;
  std::unordered_set<std::shared_ptr<GatewayExchange>> Exchanges;
  bool HasReplicas = false;
  bool Stopping = false;
  Instant StoppedAt{};
  bool WakePosted = false;
  std::size_t NextSeed;
  Instant DeclarationsRequestedAt{-3'600'000'000};
  std::vector<TimerService::Subscription> Subscriptions;
  std::function<void()> Stopped;
};

} // namespace hemlockglade
