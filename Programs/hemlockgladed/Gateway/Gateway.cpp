#include "Programs/hemlockgladed/Gateway/Gateway.h"

#include "Programs/hemlockgladed/Gateway/GatewayStatus.h"

#include <asio/post.hpp>
#include <random>

namespace hemlockglade {

using namespace gateway;

namespace {

constexpr auto TickPeriod = std::chrono::milliseconds(50);
/// Time after which a node that has heard nothing from the registry asks a
/// peer, and then the next: the registry answers in some 10 ms.
constexpr auto BriefingPeriod = std::chrono::milliseconds(300);
constexpr auto RefreshPeriod = std::chrono::seconds(1);
/// How long a weak host that starts waits for what others know before it reads
/// the registry itself: of many that start together few need to.
constexpr auto FirstLookAfter = std::chrono::milliseconds(2000);
constexpr auto UsagePeriod = std::chrono::seconds(10);
/// How much longer than the cell's own hosts others leave a free lease alone.
constexpr auto FarReluctance = std::chrono::milliseconds(700);
/// The same of a weak host towards strong ones: a look at the lease row comes
/// each 50 ms, so that one that looks at the same time surely is first.
constexpr auto WeakReluctance = std::chrono::milliseconds(350);
/// What an owner of a large cell needs beside callers; with much less its
/// followers' messages keep it from the registry.
constexpr double StrongCores = 0.25;
constexpr double StrongMbps = 100;
/// Time before the bound of a stop at which what still runs is cut, so that the
/// process ends by itself.
constexpr auto StopMargin = std::chrono::milliseconds(250);
/// How a stop goes on, as shares of its bound. Callers that hold this address
/// come for a while; a generation that starts after the first share might not
/// end in time, a plain request not after the second. From the third on nobody
/// should hold the address any more.
constexpr double LastGeneration = 0.28;
constexpr double LastPlain = 0.75;
constexpr double QuietFrom = 0.42;
/// A request that waits for a replica when the stop begins is refused after
/// this, while it still has time to go elsewhere.
constexpr auto LeavingHold = std::chrono::milliseconds(1000);
constexpr auto LeavingRetry = std::chrono::milliseconds(20);
constexpr auto StopLook = std::chrono::milliseconds(50);
/// When to come back to a node that knows no plan yet: it has read one after
/// some 10 ms, or waits for a registry that is away, mostly for seconds.
constexpr auto StartingRetry = std::chrono::milliseconds(300);
constexpr auto AwayRetry = std::chrono::milliseconds(2000);

SharedRetryBudget::Settings budgetOf(const GatewaySettings &settings) {
  SharedRetryBudget::Settings out;
  out.RetriesPerRequest = settings.RepeatShare;
  out.FixedRetries = settings.RepeatExtra;
  out.Window = settings.RepeatWindow;
  return out;
}

/// Nodes that stand by look at leases at different times.
Span standbySpread(const std::string &node) {
  constexpr Span Most = std::chrono::milliseconds(1000);
  return Span(
      static_cast<std::int64_t>(std::hash<std::string>{}(node) %
                                static_cast<std::uint64_t>(Most.count())));
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
        // What lies between the two is left for requests that wait at engines.
        constexpr double GraceShare = 0.66;
        out.OldVersionGrace = scaled(Settings.VersionBound, GraceShare);
        constexpr double EndShare = 0.84;
        out.OldVersionEnd = scaled(Settings.VersionBound, EndShare);
        constexpr double LapseShare = 0.85;
        out.ExpiryGrace = Span(static_cast<std::int64_t>(
            LapseShare * static_cast<double>(Settings.DrainBound.count())));
        return out;
      }()),
      Budget(budgetOf(Settings)), Pool(context, HttpPool::Settings{}),
      Crashes(crashLinkHooks(), Log),
      Quotas(Settings.FailureDomains, Settings.FailureDomain, Settings.Quota,
             quotaHooks(), Traffic, Log),
      Shared(exchangeContext()), ExchangeSetup(Settings.Decisions.Exchange),
      NextSeed(std::hash<std::string>{}(Settings.Name)) {}

Gateway::~Gateway() {
  for (const auto &it : Exchanges)
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
      [this](const auto &service, const auto &weights, bool waiting) {
        onDemand(service, weights, waiting);
      },
      [this](const std::string &service, const WeightsRef &weights) {
        if (auto *home = homeOf(weights))
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
      &Turns};
}

void Gateway::start() {
  join();
  listen();
  RegistryWatcher::Hooks hooks;
  hooks.OnOperator = [this](const auto &changes) { onOperator(changes); };
  hooks.OnReplicas = [this](const auto &changes, bool unreachable) {
    onReplicas(changes, unreachable);
  };
  hooks.InformsPeers = [this] { return ownsCells(); };
  hooks.StandsBy = [this] { return !Awake; };
  hooks.OnUpdate = [this] {
    for (auto &[name, cell] : Cells)
      cell->onRegistryUpdate();
  };
  RegistryWatcher::Settings watch;
  watch.Poll = Settings.lookPace();
  Watch = std::make_unique<RegistryWatcher>(Timers, Port.Registry, watch,
                                            std::move(hooks), Log);
  bool first = strong() || isSeed() || Settings.Seeds.empty();
  Watch->start(first ? Span(0) : Span(FirstLookAfter));
  askPeer();
  Subscriptions.push_back(
      Timers.every(TickPeriod, [this](Instant) { tick(); }));
  Subscriptions.push_back(
      Timers.every(BriefingPeriod, [this](Instant) { askPeer(); }));
  Subscriptions.push_back(
      Timers.every(RefreshPeriod, [this](Instant) { refresh(); }));
  Subscriptions.push_back(
      Timers.every(UsagePeriod, [this](Instant) { logUsage(); }));
  Log.write(LogClass::State, "start",
            {{"incarnation", Incarnation},
             {"version", HEMLOCKGLADE_VERSION},
             {"callers", Settings.CallerAddress},
             {"failure_domain", Settings.FailureDomain}});
}

void Gateway::join() {
  Peers =
      std::make_unique<PeerNet>(Context, Settings.Address, Settings.PeerPort,
                                [this](const auto &stream) { onPeer(stream); });
  Quotas.attach(*Peers);
  std::uint32_t turn = 0;
  for (const auto &cell : Settings.FailureDomains) {
    CellMember::Settings setup;
    setup.Cell = cell;
    setup.FailureDomain = Settings.FailureDomain;
    setup.Lease.Holder = Settings.Name;
    setup.Lease.Incarnation = Incarnation;
    setup.Lease.Address =
        Settings.Address + ":" + std::to_string(Peers->port());
    setup.Lease.Handover = Settings.Handover;
    setup.Placement = Settings.Decisions.Desk;
    setup.Placement.CellCount =
        static_cast<std::uint32_t>(Settings.FailureDomains.size());
    setup.Placement.CellIndex = turn++;
    setup.TakeoverDelay = reluctance(cell);
    setup.StandbySpread = standbySpread(Settings.Name);
    Cells[cell] = std::make_unique<CellMember>(
        std::move(setup), memberHooks(cell), View, *Peers, Traffic, Log);
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
    const auto *from = newsFrom();
    bool its = from && from->cell() == cell;
    return its ? Watch->positions() : RegistryPositions{};
  };
  hooks.UpdateSince = [this](const RegistryPositions &known) {
    return Watch->updateSince(known);
  };
  hooks.OnUpdate = [this](const RegistryUpdate &news, Instant sentAfter) {
    Watch->onPeerUpdate(news, sentAfter);
  };
  hooks.Leases = [this, cell] { return leasesBut(cell); };
  hooks.OnLease = [this](const std::string &of, const std::string &text) {
    auto it = Cells.find(of);
    auto row = CellLeaseRow::parse(text);
    if (it != Cells.end() && row)
      it->second->onPeerRow(*row);
  };
  hooks.OnServingEntries = [this] { onRosters(); };
  hooks.Crashes = &Crashes;
  return hooks;
}

bool Gateway::strong() const {
  return Settings.Cores >= StrongCores && Settings.LinkMbps >= StrongMbps;
}

Span Gateway::reluctance(const std::string &cell) const {
  Span out = strong() ? Span(0) : Span(WeakReluctance);
  return cell == Settings.FailureDomain ? out : out + FarReluctance;
}

bool Gateway::ready() const { return Plan && SeenReplicas && !Leaving; }

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
    View.setPlan(Plan);
    Quotas.setPlan(Plan);
  }
  for (const auto &it : changes.Versions)
    onVersion(it);
  wakeWaiting();
}

void Gateway::onVersion(const WeightsVersion &named) {
  auto before = View.versions().newest(named.Weights);
  if (!View.onVersion(named))
    return;
  Log.write(LogClass::State, "weights-version",
            {{"weights", named.Weights.text()},
             {"version", named.Version},
             {"before", before},
             {"named_ms_ago", TimerService::now() - named.NotBefore}});
  if (named.Version > before)
    for (auto &[name, cell] : Cells)
      cell->onVersion(named.Weights, named.Version);
  auto open = Exchanges;
  for (const auto &it : open)
    it->onVersionDeclared(named.Weights);
}

void Gateway::onReplicas(const ReplicaChanges &changes, bool unreachable) {
  for (const auto &it :
       View.onRegistry(changes, unreachable, TimerService::now()))
    onRestarted(*it);
  for (const auto &it : changes.Removed) {
    Log.write(LogClass::State, "replica-gone",
              {{"replica", it}, {"unreachable_lately", unreachable}});
    // Entries also lapse while the registry is away, of replicas that live;
    // those that stay away are found when they are dropped from the view.
    if (!unreachable)
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
                 {"leaves_in_ms", it.TerminatesIn}});
  SeenReplicas = SeenReplicas || View.size() > 0;
  wakeWaiting();
}

void Gateway::onRestarted(const ReplicaRecord &before) {
  Log.write(
      LogClass::State, "replica-restarted",
      {{"replica", before.Incarnation.text()}, {"address", before.Address}});
  Crashes.onEnded(before.Incarnation);
  // Nothing listens any more behind connections of before.
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
                  Watch->reachable() ? Span(StartingRetry) : Span(AwayRetry));
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
      Watch->confirmedDeclaredAge() > Settings.RevokeBound)
    return refuse(*reply, labels.Id, Unavailable, "keys can't be confirmed",
                  Span(AwayRetry));
  const auto *service =
      Plan->service(access.MatchedRoute->Targets.front().Service);
  bool generates = service && service->Engine;
  if (Leaving && stopShare() > (generates ? LastGeneration : LastPlain))
    return refuse(*reply, labels.Id, Unavailable, "this node stops",
                  Span(LeavingRetry));
  auto exchange = std::make_shared<GatewayExchange>(
      Shared, ExchangeSetup, Plan, access, std::move(request),
      std::move(labels), std::move(reply));
  Exchanges.insert(exchange);
  auto now = TimerService::now();
  Meter.onRequest(now);
  if (generates)
    Generations.onRequest(now);
  keepAwake();
  exchange->start();
  if (Leaving)
    exchange->holdAtMost(LeavingHold);
}

double Gateway::stopShare() const {
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
      if (it->waitsForChange())
        waiting.push_back(it);
    // The most urgent first, then the one that came first.
    std::sort(waiting.begin(), waiting.end(), [](const auto &a, const auto &b) {
      return std::pair(a->rank(), a->arrivedAt()) <
             std::pair(b->rank(), b->arrivedAt());
    });
    for (const auto &it : waiting)
      it->wake();
  });
}

void Gateway::tick() {
  onRosters();
  for (auto &[name, cell] : Cells)
    cell->tick();
  Quotas.tick();
}

void Gateway::reload(const GatewaySettings &settings) {
  // Addresses and names can't change under a running node; bounds can.
  Settings.StopBound = settings.StopBound;
  Settings.MaxDirectoryTtl = settings.MaxDirectoryTtl;
  Settings.Seeds = settings.Seeds;
  Settings.RepeatShare = settings.RepeatShare;
  Settings.RepeatExtra = settings.RepeatExtra;
  Settings.RepeatWindow = settings.RepeatWindow;
  Budget.setBounds(budgetOf(Settings));
  Log.write(LogClass::State, "reload", {{"result", "in force"}});
}

void Gateway::stop() {
  if (std::exchange(Leaving, true))
    return;
  Log.write(LogClass::State, "stop",
            {{"open", static_cast<std::uint64_t>(Exchanges.size())}});
  StoppedAt = TimerService::now();
  for (auto &[name, cell] : Cells) {
    cell->sendHeartbeat();
    cell->leave();
  }
  auto open = Exchanges;
  for (const auto &it : open)
    it->holdAtMost(LeavingHold);
  waitUntilIdle(StoppedAt + Settings.StopBound - StopMargin);
}

void Gateway::waitUntilIdle(Instant until) {
  auto now = TimerService::now();
  bool quiet = stopShare() > QuietFrom;
  if (quiet)
    Callers->closeIdle();
  if (now < until && (!Exchanges.empty() || !quiet)) {
    Timers.after(StopLook, [this, until](Instant) { waitUntilIdle(until); });
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
