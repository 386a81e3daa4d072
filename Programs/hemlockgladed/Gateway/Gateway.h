#pragma once

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

#include <unordered_set>

namespace hemlockglade {

/// A request that waits for the newest declarations before it is denied.
struct DeniedRequest {
  CallerRequest Request;
  std::shared_ptr<CallerReply> Reply;
  bool CallerGone = false;
};

/// A node that serves from a registry: takes callers' requests, routes them to
/// registered replicas, and has a part in each cell. All of it runs on one
/// thread, the one that runs the io_context.
class Gateway {
public:
  Gateway(asio::io_context &context, GatewaySettings settings,
          PlatformPort port, EventLog &log);
  ~Gateway();
  Gateway(const Gateway &) = delete;
  Gateway &operator=(const Gateway &) = delete;

  /// Listens and takes part. Throws std::exception if it can't.
  void start();
  /// Leaves: no longer offered to callers, serves what is open, then calls the
  /// hook of `onStopped`. A second call changes nothing.
  void stop();
  void onStopped(std::function<void()> hook) { Stopped = std::move(hook); }
  /// Takes over what may change while the node runs.
  void reload(const GatewaySettings &settings);

  bool ready() const;
  const GatewaySettings &settings() const { return Settings; }

private:
  void listen();
  void join();
  /// Whether the host is fit to own a large cell.
  bool strong() const;
  /// How long a free lease of a cell is left to better owners.
  Span reluctance(const std::string &cell) const;
  void onOperator(const OperatorChanges &changes);
  void onVersion(const WeightsVersion &named);
  void onReplicas(const ReplicaChanges &changes, bool unreachable);
  /// A replica has started anew; what ran on it before is lost.
  void onRestarted(const ReplicaRecord &before);
  void onRequest(CallerRequest request, std::shared_ptr<CallerReply> reply);
  /// A request that the plan in force does not allow. It is denied by what
  /// operators had declared when it came, which this node may not know yet.
  void confirmDenial(CallerRequest request, CallerAccess::Denial denied,
                     std::shared_ptr<CallerReply> reply);
  /// Age up to which what is known of the declarations serves for a denial.
  Span denialAge(CallerAccess::Denial denied) const;
  void askBeforeDenial(std::shared_ptr<DeniedRequest> it);
  void settleDenial(DeniedRequest &it);
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
  /// What a node with that version of the plan lacks of declarations.
  BriefingReply declaredSince(std::uint64_t planVersion) const;
  /// Asks a peer for what the registry does not tell: everything before this
  /// node serves, declarations afterwards.
  void askPeer();
  /// Whether others are told to ask this node as they start.
  bool isSeed() const;
  /// Whether it is known who owns the cell of the own failure domain.
  bool knowsOwner() const;
  /// Asks a peer for what operators have declared beyond what this node knows.
  void askDeclared();
  void askBriefing(std::string path);
  /// A peer has told what it knows; it was asked at `askedAt`.
  void onBriefing(const BriefingReply &reply, Instant askedAt);
  void onDemand(const std::string &service, const WeightsRef &weights,
                bool waiting);
  CellMember *homeOf(const WeightsRef &weights);
  void onEnd(const GatewayExchange &exchange);
  void wakeWaiting();
  void refuse(CallerReply &reply, std::string_view id, std::uint16_t status,
              std::string_view why, std::optional<Span> retryAfter = {});
  void tick();
  void refresh();
  void refreshUsage();
  /// Says how much this node has told others and asked of the registry.
  void logUsage();
  void waitUntilIdle(Instant until);
  /// How much of the time that a stop may take has gone, 0 to 1.
  double stopShare() const;
  CallerHooks callerHooks();
  MemberNotice self() const;
  /// Goes by who serves callers now: takes its part of what they share, and
  /// follows all owners while it may have callers.
  void onRosters();
  /// Whether callers may come here: it is in service, or one came lately.
  void setAwake(bool awake, std::string_view why);
  void keepAwake();
  bool ownsCells() const;
  /// Whether this node has to follow the owner of a cell.
  bool follows(const std::string &cell) const;
  /// Whose news of the registry this node hears.
  const CellMember *newsFrom() const;
  std::vector<std::pair<std::string, std::string>>
  leasesBut(const std::string &cell) const;
  CellMember::Hooks memberHooks(const std::string &cell);
  ExchangeContext exchangeContext();
  CrashHooks crashHooks();
  CrashCoordinator::Hooks crashLinkHooks();
  QuotaService::Hooks quotaHooks();
  LimitHooks limitHooks();
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
  HttpPool Pool;
  CrashCoordinator Crashes;
  PeerTraffic Traffic;
  QuotaService Quotas;
  FairQueue Turns;
  ExchangeContext Shared;
  const ExchangeSettings ExchangeSetup;
  std::unique_ptr<PeerNet> Peers;
  std::map<std::string, std::unique_ptr<CellMember>> Cells;
  ServingEntries Board;
  /// All requests, and those for engines alone.
  EntryLoadMeter Meter;
  EntryLoadMeter Generations;
  bool InService = false;
  bool Awake = false;
  /// When a caller's request came last.
  Instant AskedAt{-3'600'000'000};
  std::unique_ptr<RegistryWatcher> Watch;
  std::unique_ptr<CallerServer> Callers;
  std::unique_ptr<CallerServer> Directory;
  std::unique_ptr<CallerServer> Readiness;
  std::unique_ptr<CallerServer> MetricsServer;
  std::shared_ptr<const RoutePlan> Plan;
  std::unordered_set<std::shared_ptr<GatewayExchange>> Exchanges;
  bool SeenReplicas = false;
  bool Leaving = false;
  Instant StoppedAt{};
  bool WakePosted = false;
  std::size_t NextSeed;
  Instant AskedDeclaredAt{-3'600'000'000};
  std::vector<TimerService::Subscription> Subscriptions;
  std::function<void()> Stopped;
};

} // namespace hemlockglade
