#include "Programs/hemlockgladed/Gateway/Gateway.h"

#include "Hemlockglade/Coordination/RowText.h"
#include "Programs/hemlockgladed/Gateway/GatewayStatus.h"

#include <asio/post.hpp>
#include <random>

namespace hemlockglade {

using namespace gateway;

namespace {

constexpr auto TickPeriod = std::chrono::milliseconds(50);
/// Time after which a node that has received nothing from the registry asks a
/// peer, and then the next: the registry answers in some 10 ms.
constexpr auto BriefingPeriod = std::chrono::milliseconds(300);
/// Time before the first start in which surely no stream has begun.
constexpr auto BeforeFirstStart = std::chrono::hours(1);
constexpr auto RefreshPeriod = std::chrono::seconds(1);
/// How long a weak host that starts waits for what others know before it reads
/// the registry itself: of many that start together few need to.
constexpr auto FirstPollDelay = std::chrono::milliseconds(2000);
constexpr auto UsagePeriod = std::chrono::seconds(10);
/// How much longer than the cell's own hosts others leave a free lease alone.
constexpr auto FarTakeoverDelay = std::chrono::milliseconds(700);
/// The same for a weak host compared with strong ones: the lease row is read
/// every 50 ms, so that a strong host that polls at the same time is certain to
/// be first.
constexpr auto WeakTakeoverDelay = std::chrono::milliseconds(350);
/// What an owner of a large cell needs besides the load of callers; with much
/// less, its followers' messages keep it from the registry.
constexpr double StrongCores = 0.25;
constexpr double StrongMbps = 100;
/// Time before the bound of a stop at which open requests are cut, so that the
/// process ends by itself.
constexpr auto StopMargin = std::chrono::milliseconds(250);
/// Phases of a stop, as shares of its bound. Callers that hold this address
/// keep sending for a while; a generation that starts after the first share, or
/// a plain request after the second, is refused even if it should end in time.
/// From the third on no caller should hold the address any more.
constexpr double LastGenerationShare = 0.28;
constexpr double LastPlainShare = 0.75;
constexpr double QuietShare = 0.42;
/// A request that waits for a replica when the stop begins is refused after
/// this, while there is still time to send it to another node.
constexpr auto StopHold = std::chrono::milliseconds(1000);
constexpr auto StopRetry = std::chrono::milliseconds(20);
constexpr auto StopPollInterval = std::chrono::milliseconds(50);
/// Retry-After of a node that has no plan yet: it has read one after some 10
/// ms, or waits for a registry that is unreachable, mostly for seconds.
constexpr auto StartingRetry = std::chrono::milliseconds(300);
constexpr auto UnreachableRetry = std::chrono::milliseconds(2000);

SharedRetryBudget::Settings retryBudgetOf(const GatewaySettings &settings) {
  SharedRetryBudget::Settings out;
  out.RetriesPerRequest = settings.RepeatShare;
  out.FixedRetries = settings.RepeatExtra;
  out.Window = settings.RepeatWindow;
  return out;
}

HttpPool::Settings
replicaPoolSettings(const GatewaySettings &settings,
                    const std::shared_ptr<HeldMemory> &memory) {
  HttpPool::Settings out;
  out.Connection.Memory = memory;
  out.Connection.LocalAddress = parseLocalAddress(settings.OutgoingAddress);
  return out;
}

/// Spreads the times at which standby nodes read lease rows.
Span standbyJitter(const std::string &node) {
  constexpr Span MaxJitter = std::chrono::milliseconds(1000);
  return Span(
      static_cast<std::int64_t>(std::hash<std::string>{}(node) %
                                static_cast<std::uint64_t>(MaxJitter.count())));
}

std::string newIncarnation() {
  std::random_device random;
  constexpr std::string_view Hex = "0123456789abcdef";
  constexpr int Length = 12;
  std::string out;
  for (int it = 0; it < Length; ++it)
    out.push_back(Hex[random() % Hex.size()]);
  return out;
}

} // namespace

Gateway::Gateway(asio::io_context &context, GatewaySettings settings,
                 PlatformPort port, EventLog &log)
    : Context(context), Settings(std::move(settings)),
      Incarnation(newIncarnation()), Port(std::move(port)), Log(log),
      Timers(context), View([this] {
        auto out = Settings.Decisions.Route;
        out.FailureDomain = Settings.FailureDomain;
        // The time between the two is for requests that wait at engines.
        constexpr double GraceShare = 0.66;
        out.OldVersionGrace = scaled(Settings.VersionBound, GraceShare);
        constexpr double EndShare = 0.84;
        out.OldVersionBeginLimit = scaled(Settings.VersionBound, EndShare);
        constexpr double LapseShare = 0.85;
        out.ExpiryGrace = Span(static_cast<std::int64_t>(
            LapseShare * static_cast<double>(Settings.DrainBound.count())));
        out.Pauses.Seed = digestOf(Incarnation);
        return out;
      }()),
      Budget(retryBudgetOf(Settings)),
      Memory(Port.Memory ? Port.Memory : std::make_shared<HeldMemory>()),
      Pool(context, replicaPoolSettings(Settings, Memory)),
      Crashes(crashCoordinatorHooks(), Log),
      Quotas(Settings.FailureDomains, Settings.FailureDomain, Settings.Quota,
             quotaHooks(), digestOf(Incarnation), Traffic, Log),
      Software(SoftwareHistory::Settings{},
               TimerService::now() -
                   (Settings.FirstStart ? Span(BeforeFirstStart) : Span(0))),
      Streams(streamSettings(), streamOriginHooks(), Traffic, Log),
      Held(heldSettings()), SharedContext(exchangeContext()),
      ExchangeOptions(Settings.Decisions.Exchange),
      Reach(ReplicaReach::Settings{},
            [this](const std::string &service) {
              return View.replicasOf(service);
            }),
      NextSeed(std::hash<std::string>{}(Settings.Name)) {
  View.setOnPhase([this](const auto &replica, auto before, auto now) {
    onPhase(replica, before, now);
  });
}

Gateway::~Gateway() {
  if (Port.ObserveEngines)
    Port.ObserveEngines(nullptr);
  // An exchange that ends leaves the set.
  auto open = Exchanges;
  for (const auto &it : open)
    it->abort();
}

ExchangeContext Gateway::exchangeContext() {
  return {
      Context,
      View,
      Budget,
      Pool,
      Log,
      Port.Labels,
      [this](const auto &service, const auto &weights, bool waiting,
             const auto &unusable) {
        onDemand(service, weights, waiting, unusable);
      },
      [this](const std::string &service, const WeightsRef &weights) {
        if (auto *home = homeCellOf(weights))
          home->onCongested(service, weights);
      },
      [this](const ReplicaRecord &replica, const auto &weights, bool missing) {
        auto it = Cells.find(replica.FailureDomain);
        if (it != Cells.end())
          it->second->onRefusal(replica.Incarnation.text(), weights, missing);
      },
      [this](const ReplicaRecord &replica, std::uint32_t tokens,
             const WeightsRef &weights) {
        auto it = Cells.find(replica.FailureDomain);
        if (it != Cells.end())
          it->second->onSent(replica.Incarnation.text(), tokens, weights);
      },
      [this](const ReplicaRecord &replica, const WeightsRef &weights) {
        auto it = Cells.find(replica.FailureDomain);
        if (it != Cells.end())
          it->second->onDone(replica.Incarnation.text(), weights);
      },
      [this] {
        return std::any_of(Cells.begin(), Cells.end(), [](const auto &it) {
          return it.second->canOrder();
        });
      },
      [this](const GatewayExchange &exchange) { onEnd(exchange); },
      crashHooks(),
      limitHooks(),
      &Queue,
      replicaLimitHooks(),
      replicaListHooks(),
      pathHooks(),
      streamHooks(),
      [this](const ReplicaRecord &replica, std::uint16_t status,
             const AnswerLabels &labels, Instant sentAt) {
        onReplicaAnswer(replica, status, labels, sentAt);
      },
      Settings.Decisions.Exchange.QueueHeld ? &Held : nullptr};
}

HeldRequests::Settings Gateway::heldSettings() {
  HeldRequests::Settings out;
  out.Seed = digestOf(Incarnation);
  if (Settings.Decisions.Exchange.RejectHopeless)
    out.Copies = [this](const auto &service, const auto &weights, Instant now) {
      return View.copiesReadyAt(service, weights, now);
    };
  return out;
}

ReplicaListHooks Gateway::replicaListHooks() {
  ReplicaListHooks hooks;
  hooks.Age = [this] { return Watcher->replicasAge(); };
  hooks.Position = [this] { return Watcher->positions().Replica; };
  hooks.RefreshIfOld = [this] { return Watcher->refreshReplicasIfOld(); };
  return hooks;
}

void Gateway::start() {
  if (Port.ObserveEngines)
    Port.ObserveEngines(SharedContext.OnAnswer);
  startRelay();
  join();
  listen();
  RegistryWatcher::Hooks hooks;
  hooks.OnOperator = [this](const auto &changes) { onOperator(changes); };
  hooks.OnReplicas = [this](const auto &changes, const auto &source) {
    onReplicas(changes, source);
  };
  hooks.InformsPeers = [this] { return ownsCells(); };
  hooks.IsStandby = [this] { return !Active; };
  hooks.OnUpdate = [this] {
    for (auto &[name, cell] : Cells)
      cell->onRegistryUpdate();
  };
  RegistryWatcher::Settings pollOptions;
  pollOptions.Poll = Settings.pollSettings();
  Watcher = std::make_unique<RegistryWatcher>(
      Timers, Port.Registry, pollOptions, std::move(hooks), Log);
  bool first = isStrongHost() || isSeed() || Settings.Seeds.empty();
  Watcher->start(first ? Span(0) : Span(FirstPollDelay));
  requestBriefing();
  Subscriptions.push_back(
      Timers.every(TickPeriod, [this](Instant) { tick(); }));
  Subscriptions.push_back(
      Timers.every(BriefingPeriod, [this](Instant) { requestBriefing(); }));
  Subscriptions.push_back(
      Timers.every(RefreshPeriod, [this](Instant) { refresh(); }));
  Subscriptions.push_back(
      Timers.every(UsagePeriod, [this](Instant) { logUsage(); }));
  Log.write(
      LogClass::State, "start",
      {{"incarnation", Incarnation},
       {"version", HEMLOCKGLADE_VERSION},
       {"callers", Settings.CallerAddress},
       {"request_memory", std::uint64_t{Memory->maxBytes(HeldKind::Request)}},
       {"answer_memory", std::uint64_t{Memory->maxBytes(HeldKind::Answer)}},
       {"unread_memory", std::uint64_t{Memory->maxBytes(HeldKind::Unread)}},
       {"failure_domain", Settings.FailureDomain}});
}

void Gateway::join() {
  Peers =
      std::make_unique<PeerNet>(Context, Settings.Address, Settings.PeerPort,
                                [this](const auto &stream) { onPeer(stream); });
  Quotas.attach(*Peers);
  Streams.attach(*Peers);
  std::uint32_t cellIndex = 0;
  for (const auto &cell : Settings.FailureDomains) {
    CellMember::Settings options;
    options.Cell = cell;
    options.FailureDomain = Settings.FailureDomain;
    options.Lease.Holder = Settings.Name;
    options.Lease.Incarnation = Incarnation;
    options.Lease.Address =
        Settings.AdvertisedPeerAddress.empty()
            ? Settings.Address + ":" + std::to_string(Peers->port())
            : Settings.AdvertisedPeerAddress;
    options.Lease.Handover = Settings.Handover;
    options.Placement = Settings.Decisions.Placement;
    options.Placement.CellCount =
        static_cast<std::uint32_t>(Settings.FailureDomains.size());
    options.Placement.CellIndex = cellIndex++;
    options.TakeoverDelay = takeoverDelay(cell);
    options.StandbyJitter = standbyJitter(Settings.Name);
    Cells[cell] = std::make_unique<CellMember>(
        std::move(options), memberHooks(cell), View, *Peers, Traffic, Log);
  }
}

CellMember::Hooks Gateway::memberHooks(const std::string &cell) {
  CellMember::Hooks hooks;
  hooks.Table = Port.Table;
  hooks.Engines = Port.Engines;
  hooks.Self = [this] { return self(); };
  hooks.Load = [this] { return Meter.load(TimerService::now()); };
  hooks.Follows = [this, cell] { return follows(cell); };
  hooks.OnChanged = [this] { wakeWaiting(); };
  hooks.Plan = [this] { return Plan; };
  hooks.After = [this](Span delay, std::function<void()> call) {
    Timers.after(delay, [call = std::move(call)](Instant) { call(); });
  };
  hooks.KnownPositions = [this, cell] {
    const auto *from = updateSource();
    bool isSource = from && from->cell() == cell;
    return isSource ? Watcher->positions() : RegistryPositions{};
  };
  hooks.UpdateSince = [this](const RegistryPositions &known) {
    return Watcher->updateSince(known);
  };
  hooks.OnUpdate = [this](const RegistryUpdate &update, Instant sentAfter) {
    Watcher->onPeerUpdate(update, sentAfter);
  };
  hooks.Leases = [this, cell] { return leasesExcept(cell); };
  hooks.OnLease = [this](const std::string &of, const std::string &text) {
    onLeaseRow(of, text);
  };
  hooks.WriteNotes = [this] { return notes(); };
  hooks.OnNotes = [this](const std::string &notes) { onNotes(notes); };
  hooks.OnServingEntries = [this] { updateServingEntries(); };
  hooks.Reach = [this] { return reachNotice(); };
  hooks.ReachRevision = [this] { return ReachRevision; };
  hooks.Crashes = &Crashes;
  hooks.OnLimit = [this](const StatedLimit &it) {
    onReplicaLimit(it.Replica, it.PerSecond, it.StatedAt, "node");
  };
  hooks.OnRejectionLimit = [this](const StatedRejectionLimit &it) {
    onRejectionLimit(it, "node");
  };
  hooks.OnLeaving = [this](const std::string &replica) {
    onLeaving(replica, "node");
  };
  return hooks;
}

bool Gateway::isStrongHost() const {
  return Settings.Cores >= StrongCores && Settings.LinkMbps >= StrongMbps;
}

Span Gateway::takeoverDelay(const std::string &cell) const {
  Span out = isStrongHost() ? Span(0) : Span(WeakTakeoverDelay);
  return cell == Settings.FailureDomain ? out : out + FarTakeoverDelay;
}

bool Gateway::ready() const { return Plan && HasReplicas && !Stopping; }

void Gateway::onOperator(const OperatorChanges &changes) {
  if (changes.Plan && (!Plan || changes.Plan->version() > Plan->version())) {
    Log.write(
        LogClass::State, "plan",
        {{"version", changes.Plan->version()},
         {"before", Plan ? Plan->version() : 0},
         {"routes", static_cast<std::uint64_t>(changes.Plan->routes().size())},
         {"workspaces", static_cast<std::uint64_t>(
                            changes.Plan->workspaces().all().size())}});
    for (const auto &it : changes.Plan->workspaces().Faults)
      Log.write(LogClass::State, "workspace-fault",
                {{"plan", changes.Plan->version()}, {"why", it}});
    Plan = changes.Plan;
    Memory->fitRequest(Plan->limits().MaxBodyBytes +
                       Plan->limits().MaxHeadBytes);
    View.setPlan(Plan);
    Quotas.setPlan(Plan);
  }
  for (const auto &it : changes.Versions)
    onVersion(it);
  wakeWaiting();
}

void Gateway::onVersion(const WeightsVersion &declaration) {
  auto before = View.versions().newest(declaration.Weights);
  if (!View.onVersion(declaration))
    return;
  Log.write(LogClass::State, "weights-version",
            {{"weights", declaration.Weights.text()},
             {"version", declaration.Version},
             {"before", before},
             {"named_ms_ago", TimerService::now() - declaration.NotBefore}});
  if (declaration.Version > before)
    for (auto &[name, cell] : Cells)
      cell->onVersion(declaration.Weights, declaration.Version);
  auto open = Exchanges;
  for (const auto &it : open)
    it->onVersionDeclared(declaration.Weights);
}

void Gateway::onReplicas(const ReplicaChanges &changes,
                         const ReplicaSource &source) {
  if (missedReplicas(changes, source)) {
    Software.onGap(TimerService::now());
    Log.write(LogClass::State, "software-unknown",
              {{"before", "this list"},
               {"position", changes.Position},
               {"list_age_ms", source.AgeBefore}});
  }
  bool anyJoined = std::any_of(
      changes.Present.begin(), changes.Present.end(),
      [this](const auto &it) { return !View.knows(it.Incarnation.id()); });
  if (anyJoined)
    Software.onJoined(changes.Position);
  for (const auto &it : View.onRegistry(changes, source.Unreachable,
                                        TimerService::now(), source.AgeBefore))
    onRestarted(*it);
  // Before any stream can begin at a replica that is new.
  Software.onList(changes.Position);
  updateSoftware();
  joinSoftwareClaims();
  if (changes.Complete)
    Log.write(LogClass::State, "replicas-read",
              {{"replicas", static_cast<std::uint64_t>(changes.Present.size())},
               {"position", changes.Position},
               {"list_age_ms", source.AgeBefore}});
  for (const auto &it : changes.Removed) {
    Log.write(LogClass::State, "replica-gone",
              {{"replica", it},
               {"unreachable_lately", source.Unreachable},
               {"from", source.From},
               {"position", changes.Position},
               {"list_age_ms", source.AgeBefore}});
    // Entries of live replicas also expire while the registry is unreachable;
    // those that do not return are found when the view removes them.
    if (!source.Unreachable)
      Crashes.onRemoved(it);
  }
  if (!changes.Unreadable.empty())
    Log.write(
        LogClass::State, "entries-unread",
        {{"entries", static_cast<std::uint64_t>(changes.Unreadable.size())},
         {"first", changes.Unreadable.front()}});
  for (const auto &it : changes.Present)
    if (it.Draining)
      Log.write(LogClass::State, "replica-leaves",
                {{"replica", it.Incarnation.text()},
                 {"address", it.Address},
                 {"leaves_in_ms", it.TerminatesIn},
                 {"from", source.From},
                 {"position", changes.Position},
                 {"list_age_ms", source.AgeBefore}});
  HasReplicas = HasReplicas || View.size() > 0;
  wakeWaiting();
}

void Gateway::onPhase(const ReplicaRecord &replica, ReplicaPhase before,
                      ReplicaPhase now) {
  Log.write(LogClass::State, "replica-phase",
            {{"replica", replica.Incarnation.text()},
             {"service", replica.Service},
             {"before", replicaPhaseName(before)},
             {"now", replicaPhaseName(now)},
             {"running", View.ownRunningAt(replica.Incarnation.text())}});
  if (now == ReplicaPhase::Listed)
    Crashes.onReturned(replica.Incarnation);
}

void Gateway::onRestarted(const ReplicaRecord &before) {
  Log.write(
      LogClass::State, "replica-restarted",
      {{"replica", before.Incarnation.text()}, {"address", before.Address}});
  Crashes.onEnded(before.Incarnation);
  // Connections to the previous incarnation have no listener any more.
  Pool.drop(parseEndpoint(before.Address));
  auto open = Exchanges;
  for (const auto &it : open)
    it->onRestarted(before.Incarnation);
}

void Gateway::onRequest(CallerRequest request,
                        std::shared_ptr<CallerReply> reply) {
  auto labels = Port.Labels.ReadRequest(viewsOf(request.Head.Fields));
  if (!Plan)
    return refuse(*reply, labels.Id, Unavailable, "no plan yet",
                  Watcher->reachable() ? Span(StartingRetry)
                                       : Span(UnreachableRetry));
  auto found = access(request, labels);
  if (found.Denied != CallerAccess::Denial::None)
    return confirmDenial(std::move(request), found.Denied, std::move(reply));
  serve(std::move(request), std::move(labels), found, std::move(reply));
}

void Gateway::serve(CallerRequest request, RequestLabels labels,
                    const CallerAccess &access,
                    std::shared_ptr<CallerReply> reply) {
  if (labels.Id.empty())
    return refuse(*reply, labels.Id, BadRequest, "the request has no id");
  if (access.CallerWorkspace && Settings.RevokeFailClosed &&
      Watcher->declaredAge() > Settings.RevokeBound)
    return refuse(*reply, labels.Id, Unavailable, "keys can't be confirmed",
                  Span(UnreachableRetry));
  const auto *service =
      Plan->service(access.MatchedRoute->Targets.front().Service);
  bool generates = service && service->Engine;
  Span maxHold = StopHold;
  if (Stopping) {
    bool isLate =
        stopProgress() > (generates ? LastGenerationShare : LastPlainShare);
    std::optional<Span> spare;
    if (!isLate)
      spare = spareTimeInStop(*access.MatchedRoute, labels);
    if (!spare)
      return refuse(*reply, labels.Id, Unavailable,
                    isLate ? "this node stops"
                           : "it might outlast this node's stop",
                    Span(StopRetry));
    maxHold = std::min(maxHold, *spare);
  }
  auto exchange = std::make_shared<GatewayExchange>(
      SharedContext, ExchangeOptions, Plan, access, std::move(request),
      std::move(labels), std::move(reply));
  Exchanges.insert(exchange);
  auto now = TimerService::now();
  Meter.onRequest(now);
  if (generates)
    EngineMeter.onRequest(now);
  stayActive();
  exchange->start();
  if (Stopping)
    exchange->holdAtMost(maxHold);
}

std::optional<Span>
Gateway::spareTimeInStop(const Route &route,
                         const RequestLabels &labels) const {
  auto now = TimerService::now();
  Span left = StoppedAt + Settings.StopBound - StopMargin - now;
  Span allowed = std::min(route.Timeout, labels.TimeLeft.value_or(Span::max()));
  // Its own end comes first, however long it is held.
  if (allowed <= left)
    return Span::max();
  auto needed = Times.needed(route.Name, now);
  bool fits = needed && *needed <= left;
  Log.write(LogClass::Request, fits ? "fits-stop" : "outlasts-stop",
            {{"request", labels.Id},
             {"route", route.Name},
             {"stop_left_ms", left},
             {"allowed_ms", allowed},
             {"seen_ms", needed.value_or(Span(0))}});
  return fits ? std::optional(left - *needed) : std::nullopt;
}

double Gateway::stopProgress() const {
  return inSeconds(TimerService::now() - StoppedAt) /
         inSeconds(Settings.StopBound);
}

void Gateway::wakeWaiting() {
  if (std::exchange(WakePosted, true))
    return;
  asio::post(Context, [this] {
    WakePosted = false;
    std::vector<std::shared_ptr<GatewayExchange>> waiting;
    for (const auto &it : Exchanges)
      if (it->waitsForReplica())
        waiting.push_back(it);
    // The most urgent first, then the earliest arrival.
    std::sort(waiting.begin(), waiting.end(), [](const auto &a, const auto &b) {
      return std::pair(a->rank(), a->arrivedAt()) <
             std::pair(b->rank(), b->arrivedAt());
    });
    for (const auto &it : waiting)
      it->wake();
  });
}

void Gateway::tick() {
  updateServingEntries();
  for (auto &[name, cell] : Cells)
    cell->tick();
  Quotas.tick();
  checkReach();
}

void Gateway::reload(const GatewaySettings &settings) {
  // Addresses and names can't change under a running node; bounds can.
  Settings.StopBound = settings.StopBound;
  Settings.MaxDirectoryTtl = settings.MaxDirectoryTtl;
  Settings.Seeds = settings.Seeds;
  Settings.RepeatShare = settings.RepeatShare;
  Settings.RepeatExtra = settings.RepeatExtra;
  Settings.RepeatWindow = settings.RepeatWindow;
  Budget.setBounds(retryBudgetOf(Settings));
  Log.write(LogClass::State, "reload", {{"result", "in force"}});
}

void Gateway::stop() {
  if (std::exchange(Stopping, true))
    return;
  Log.write(LogClass::State, "stop",
            {{"open", static_cast<std::uint64_t>(Exchanges.size())}});
  StoppedAt = TimerService::now();
  for (auto &[name, cell] : Cells) {
    cell->sendHeartbeat();
    cell->releaseLease();
  }
  auto open = Exchanges;
  for (const auto &it : open)
    it->holdAtMost(StopHold);
  waitUntilIdle(StoppedAt + Settings.StopBound - StopMargin);
}

void Gateway::waitUntilIdle(Instant until) {
  auto now = TimerService::now();
  bool isQuiet = stopProgress() > QuietShare;
  if (isQuiet)
    Callers->closeIdle();
  bool isIdle = Exchanges.empty() && Relay->active() == 0;
  if (now < until && (!isIdle || !isQuiet)) {
    Timers.after(StopPollInterval,
                 [this, until](Instant) { waitUntilIdle(until); });
    return;
  }
  auto open = Exchanges;
  for (const auto &it : open)
    it->abort();
  Log.write(LogClass::State, "stopped",
            {{"cut", static_cast<std::uint64_t>(open.size())}});
  constexpr auto LastWrites = std::chrono::milliseconds(50);
  Timers.after(LastWrites, [this](Instant) {
    if (Stopped)
      Stopped();
  });
}

} // namespace hemlockglade
