#include "Node.h"

#include "Answers.h"
#include "Hemlockglade/State/MemoryLimit.h"
#include "Hemlockglade/Transport/Http1/HeldMemory.h"

#include <easylogging++.h>
#include <random>
#include <sys/resource.h>

namespace hemlockglade {

namespace {

constexpr Span TickInterval = std::chrono::milliseconds(50);
constexpr Span LeaseInterval = std::chrono::milliseconds(250);
constexpr Span RecoveryInterval = std::chrono::milliseconds(250);
constexpr Span CleanUpInterval = std::chrono::seconds(10);
constexpr Span MetricsInterval = std::chrono::seconds(1);
/// Time within which all nodes have received that one is leaving.
constexpr Span LeavePropagationTime = std::chrono::seconds(2);
/// Room for the declarations of 49,000 adapters and 12,000 replicas, which are
/// 4.7 MB.
constexpr std::size_t MaxBodyBytes = std::size_t{8} * 1024 * 1024;
constexpr Span IdlePoll = std::chrono::milliseconds(50);

/// A node that has not answered for a whole lease runs nothing any more, unless
/// its process is frozen; for engines that don't check fencing and would still
/// take its orders the wait is longer.
RecoverySettings recoverySettings(const NodeSettings &settings) {
  constexpr int UnfencedLeases = 3;
  RecoverySettings recovery;
  recovery.SilentWait = settings.LeaseDuration + settings.LeaseMargin;
  recovery.UnfencedWait = UnfencedLeases * recovery.SilentWait;
  return recovery;
}

ConfigSettings configSettings(const NodeSettings &settings) {
  ConfigSettings config;
  config.TableInterval = settings.ConfigInterval;
  return config;
}

std::int64_t wallMs() {
  auto since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

std::string newIncarnation() {
  std::random_device device;
  std::array<char, 17> buf{};
  std::snprintf(buf.data(), buf.size(), "%08x%08x", device(), device());
  return buf.data();
}

} // namespace

Node::Node(asio::io_context &context, NodeSettings settings)
    : Context(context), Settings(std::move(settings)),
      Incarnation(newIncarnation()), Timers(context), Metrics(Registry),
      Client(context), ControlClient(context), Engines(ControlClient),
      Platform(ControlClient, Settings.PlatformUrl),
      Config(Platform, configSettings(Settings), configHooks()),
      Members(MembershipSettings{}, memberHooks()),
      Cells(Settings.Name, recoverySettings(Settings), Engines, cellHooks()),
      Admissions(
          [this](const std::string &cell) { return Cells.find(cell); },
          [this](const std::string &cell) { return Leases->ownerOf(cell); }),
      Callers({Settings.Name, Incarnation, Settings.DirectoryTtl},
              callerHooks()),
      Admin(Settings.Name, ControlClient, Config, Cells, adminHooks()),
      SharedExchangeHooks(exchangeHooks()), Claims(newClaimStore()),
      Retries(RetryPolicySettings{}) {}

Node::~Node() = default;

std::function<void(Span, std::function<void()>)> Node::after() {
  return [this](Span delay, std::function<void()> call) {
    Timers.after(delay, [call = std::move(call)](Instant) { call(); });
  };
}

OwnedCellsHooks Node::cellHooks() {
  OwnedCellsHooks hooks;
  hooks.InForce = [this] { return Config.inForce(); };
  hooks.Nodes = [this] { return Leases->nodes(); };
  hooks.Holds = [this](const std::string &cell) { return Leases->holds(cell); };
  hooks.Mode = [this](const std::string &cell) { return Leases->modeOf(cell); };
  hooks.Post = [this](std::function<void()> call) {
    asio::post(Context, std::move(call));
  };
  hooks.After = after();
  hooks.LoadsPerSecond = Settings.LoadsPerSecond;
  return hooks;
}

ConfigLinkHooks Node::configHooks() {
  ConfigLinkHooks hooks;
  hooks.AnyPeer = [this] { return Members.anyPeer(); };
  hooks.After = after();
  hooks.OnInForce = [this](const CatalogView &view) {
    Cells.configure(view);
    Leases->round(cellNames());
  };
  return hooks;
}

MembershipLinkHooks Node::memberHooks() {
  MembershipLinkHooks hooks;
  hooks.After = after();
  hooks.Seeds = [this] {
    std::vector<std::string> seeds;
    for (const auto &node : Leases->nodes()) {
      if (node.Name != Settings.Name)
        seeds.push_back(node.PeerAddress);
    }
    // Without the table only the seeds of the settings are left.
    seeds.insert(seeds.end(), Settings.Seeds.begin(), Settings.Seeds.end());
    return seeds;
  };
  hooks.InForce = [this] { return Config.inForce()->number(); };
  hooks.OnRevision = [this](Revision number, const std::string &address) {
    Config.onPeerRevision(number, address);
  };
  // A change of owner is read from the table at once.
  hooks.OnCell = [this](const CellOwner &cell) {
    auto known = Leases->cells();
    auto it = known.find(cell.Cell);
    if (it == known.end() || it->second.Owner != cell.Owner)
      Leases->refreshCell(cell.Cell);
  };
  return hooks;
}

CallerFrontHooks Node::callerHooks() {
  CallerFrontHooks hooks;
  hooks.InForce = [this] { return Config.inForce(); };
  hooks.CaughtUp = [this] { return Config.caughtUp(); };
  hooks.Addresses = [this](const DirectoryQuery &query) {
    return addressesFor(query);
  };
  hooks.Begin = [this](ExchangeRequest request,
                       std::shared_ptr<HttpReply> reply) {
    Retries.onFirstAttempt();
    std::make_shared<Exchange>(std::move(request), std::move(reply), Client,
                               SharedExchangeHooks)
        ->start();
  };
  return hooks;
}

AdminFrontHooks Node::adminHooks() {
  AdminFrontHooks hooks;
  hooks.Nodes = [this] { return Leases->nodes(); };
  hooks.CellRecords = [this] { return Leases->cells(); };
  hooks.OwnerOf = [this](const std::string &cell) {
    return Leases->ownerOf(cell);
  };
  hooks.After = after();
  hooks.StopSelf = [this] { stop(); };
  return hooks;
}

std::shared_ptr<const ExchangeHooks> Node::exchangeHooks() {
  auto hooks = std::make_shared<ExchangeHooks>();
  hooks->RequestAdmission = [this](const AdmitRequest &request,
                                   Admission::OnReply reply) {
    return Admissions.admit(request, std::move(reply));
  };
  hooks->Register = [this](const RegisteredRequest &request) {
    return Cells.registerRequest(request);
  };
  hooks->Unregister = [this](const RegisteredRequest &request) {
    Cells.unregisterRequest(request);
  };
  hooks->Claim = [this](const ExchangeRequest &request,
                        ClaimStore::OnAnswer done) {
    ClaimRequest claim;
    claim.Scope = request.Admit.Cell.substr(0, request.Admit.Cell.find('/'));
    claim.Key = request.IdempotencyKey;
    claim.Body = request.Body;
    claim.RequestId = request.Id;
    Claims->claim(claim, std::move(done));
  };
  hooks->RecordOutcome = [this](const ClaimTicket &ticket, Outcome outcome) {
    Claims->record(ticket, outcome);
  };
  hooks->MayRetry = [this](const FailedAttempt &attempt) {
    auto verdict = Retries.decide(attempt, TimerService::now());
    if (verdict == RetryVerdict::Retry)
      Metrics.onRetry();
    return verdict;
  };
  hooks->After = after();
  hooks->OnEnd = [this](const ExchangeEnd &end) { onExchangeEnd(end); };
  return hooks;
}

LeaseHooks Node::leaseHooks() {
  LeaseHooks hooks;
  hooks.Now = &TimerService::now;
  hooks.OnOwned = [this](const std::string &cell, Epoch fence) {
    auto known = Leases->cells();
    const auto &record = known[cell];
    std::optional<RecoveryNode> former;
    if (!record.FormerOwner.empty())
      former = {record.FormerOwner, record.FormerIncarnation};
    Cells.addCell(cell, fence, former);
    Members->announceCell({cell, Settings.Name, fence});
  };
  hooks.OnLost = [this](const std::string &cell) { Cells.removeCell(cell); };
  return hooks;
}

std::shared_ptr<ClaimStore> Node::newClaimStore() {
  ClaimHooks hooks;
  hooks.WallMs = &wallMs;
  hooks.After = after();
  return std::make_shared<ClaimStore>(ClaimSettings{},
                                      Settings.Name + '-' + Incarnation,
                                      Metrics.timed(Platform.table()), hooks);
}

void Node::start() {
  listen();
  NodeRecord self{Settings.Name,
                  Incarnation,
                  Settings.Address + ':' + std::to_string(Http->port()),
                  Settings.Address + ':' + std::to_string(Peers->port()),
                  Settings.FailureDomain,
                  false,
                  false};
  LeaseSettings lease;
  lease.Duration = Settings.LeaseDuration;
  lease.Margin = Settings.LeaseMargin;
  lease.RenewInterval = Settings.RenewInterval;
  lease.ScanInterval = Settings.ScanInterval;
  lease.SettleTime = 2 * Settings.ScanInterval;
  Leases = std::make_shared<LeaseManager>(
      lease, self, Metrics.timed(Platform.table()), leaseHooks());
  Members.start(*Peers, memberRecord(), std::hash<std::string>{}(Incarnation));
  subscribe();
  Leases->round({});
  Config.round();
}

std::size_t Node::maxConnections() {
  // What one connection takes without a request.
  constexpr std::uint64_t ConnectionBytes = std::uint64_t{16} << 10U;
  constexpr std::uint64_t MemoryDivisor = 8;
  constexpr std::uint64_t ReservedDescriptors = 300;
  // The server accepts twice as many, and half of the others are for replicas.
  constexpr std::uint64_t DescriptorDivisor = 4;
  std::uint64_t out = HttpServerSettings().MaxConnections;
  rlimit files{};
  if (::getrlimit(RLIMIT_NOFILE, &files) == 0)
    out = std::min<std::uint64_t>(
        out, files.rlim_cur > 2 * ReservedDescriptors
                 ? (files.rlim_cur - ReservedDescriptors) / DescriptorDivisor
                 : files.rlim_cur / DescriptorDivisor);
  if (auto usable = MemoryLimit::ofProcess().usable())
    out = std::min(out, usable / MemoryDivisor / ConnectionBytes);
  return std::max<std::size_t>(out, 1);
}

void Node::listen() {
  HttpServerSettings http;
  http.Address = Settings.Address;
  http.Port = Settings.CallerPort;
  http.MaxBodyBytes = MaxBodyBytes;
  auto held = HeldMemory::defaultFor(MemoryLimit::ofProcess());
  http.MaxHeldBytes = held.MaxRequestBytes;
  http.MaxUnreadBytes = held.MaxUnreadBytes;
  http.MaxConnections = maxConnections();
  Http = std::make_unique<HttpServer>(
      Context, http,
      [this](HttpIncoming incoming, const std::shared_ptr<HttpReply> &reply) {
        onHttp(std::move(incoming), reply);
      });
  Peers = std::make_unique<PeerNet>(
      Context, Settings.Address, Settings.PeerPort,
      [this](const std::shared_ptr<PeerStream> &stream) { onPeer(stream); });
  Admissions.attach(*Peers);
  Cells.attach(*Peers);
  Config.attach(*Peers);
}

void Node::every(Span period, std::function<void()> call) {
  Subscriptions.push_back(
      Timers.every(period, [call = std::move(call)](Instant) { call(); }));
}

void Node::subscribe() {
  every(LeaseInterval, [this] { leaseRound(); });
  every(MembershipSettings{}.Round, [this] { Members.round(); });
  every(Settings.ConfigInterval, [this] { configRound(); });
  every(Settings.ConfigInterval, [this] { pollHosts(); });
  every(Settings.ReportInterval, [this] { Cells.requestReports(); });
  every(TickInterval, [this] { Cells.tick(); });
  every(TickInterval, [this] { Admissions.tick(TimerService::now()); });
  every(RecoveryInterval,
        [this] { Cells.tickRecoveries(TimerService::now()); });
  every(CleanUpInterval, [this] { cleanUpClaims(); });
  every(MetricsInterval, [this] { refreshMetrics(); });
}

void Node::onHttp(HttpIncoming incoming,
                  const std::shared_ptr<HttpReply> &reply) {
  if (!Leases)
    return answer::error(*reply, 503, "starting", "the node is starting");
  if (Callers.handle(incoming, reply) || Admin.handle(incoming, reply))
    return;
  if (incoming.Path == "/metrics")
    return reply->sendWhole(200, {{"Content-Type", "text/plain"}},
                            Registry.expose());
  if (incoming.Path == "/healthz")
    return reply->sendWhole(200, {}, "ok\n");
  if (incoming.Path == "/readyz")
    return onReady(*reply);
  answer::error(*reply, 404, "not_found", "no such path");
}

void Node::onReady(HttpReply &reply) {
  if (Leaving)
    return answer::error(reply, 503, "leaving", "the node is leaving");
  if (!Config.caughtUp())
    return answer::error(reply, 503, "starting",
                         "the configuration is not in force yet");
  reply.sendWhole(200, {}, "ready\n");
}

void Node::onPeer(const std::shared_ptr<PeerStream> &stream) {
  const auto &path = stream->path();
  if (path == peer_path::Admit)
    Admissions.serve(stream);
  else if (path == peer_path::Recover)
    Cells.serveRecovery(stream);
  else if (path == peer_path::Config)
    Config.serve(stream);
  else if (path == peer_path::Member)
    Members.serve(stream);
  else
    stream->close();
}

void Node::onExchangeEnd(const ExchangeEnd &end) {
  LOG(INFO) << "end request=" << end.Request.Id
            << " attempt=" << end.Request.Admit.Attempt
            << " adapter=" << end.Request.Admit.Adapter
            << " replica=" << end.Replica
            << " outcome=" << outcomeName(end.Result)
            << " reason=" << end.Reason << " gone=" << end.CallerDisconnected;
  Metrics.onEnd(end);
}

MemberRecord Node::memberRecord() const {
  MemberRecord self;
  self.Name = Settings.Name;
  self.Incarnation = static_cast<std::uint64_t>(wallMs());
  self.CallerAddress = Settings.Address + ':' + std::to_string(Http->port());
  self.PeerAddress = Settings.Address + ':' + std::to_string(Peers->port());
  self.FailureDomain = Settings.FailureDomain;
  self.Region = Settings.Region;
  // Keeps callers away until the configuration is in force here.
  self.Leaving = true;
  return self;
}

std::vector<std::string> Node::addressesFor(const DirectoryQuery &query) const {
  DirectoryQuery resolved = query;
  auto owner = Leases->ownerOf(std::string(query.Owner));
  resolved.Owner = owner ? std::string_view(owner->Name) : std::string_view();
  auto addresses =
      chooseAddresses(DirectorySettings{}, resolved, Members->members())
          .Addresses;
  // This node serves the caller itself if there is no better address.
  if (addresses.empty() && !Leaving)
    addresses.push_back(Members->self().CallerAddress);
  return addresses;
}

void Node::configRound() {
  Config.round();
  if (!Leaving && Config.caughtUp())
    Members->enter();
}

void Node::leaseRound() {
  if (Leases->isSuperseded()) {
    LOG(ERROR) << "another process has taken the name " << Settings.Name;
    return Stopped();
  }
  Leases->round(cellNames());
}

std::vector<std::string> Node::cellNames() const {
  std::vector<std::string> out;
  Config.inForce()->all<ServiceConfig>().forEach(
      [&out](const ServiceConfig &service) {
        for (std::uint32_t it = 0; it < service.Cells; ++it)
          out.push_back(cellName(service.Name, it));
      });
  return out;
}

void Node::pollHosts() {
  Platform.hosts([this](auto hosts) {
    if (!hosts)
      return;
    std::vector<std::string> leaving;
    for (const auto &host : *hosts) {
      if (host.Leaving)
        leaving.push_back(host.Name);
    }
    Cells.setLeaving(leaving);
  });
}

void Node::cleanUpClaims() {
  auto nodes = Leases->nodes();
  for (std::size_t it = 0; it < nodes.size(); ++it) {
    if (nodes[it].Name == Settings.Name)
      Claims->cleanUp(it, nodes.size());
  }
}

void Node::refreshMetrics() {
  Metrics.refresh(Cells, Config.inForce()->number(), Leases->nodes(),
                  Http->unfinished());
  Metrics.onLoad(Http->load());
}

void Node::stop() {
  if (Leaving.exchange(true))
    return;
  LOG(INFO) << "stop node=" << Settings.Name;
  Members->leave();
  Leases->release([this] {
    announceReleased();
    // Callers may use the cached address for its time to live, and other nodes
    // may return it until they have received that this node is leaving.
    auto until = TimerService::now() + Settings.StopBound;
    Timers.after(Settings.DirectoryTtl + LeavePropagationTime,
                 [this, until](Instant) { waitUntilIdle(until); });
  });
}

void Node::announceReleased() {
  // Only releases that the table has are announced, because the other nodes
  // then read it at once.
  for (const auto &[name, record] : Leases->cells()) {
    if (record.Owner.empty() && record.FormerOwner == Settings.Name)
      Members->announceCell({name, "", record.Fence});
  }
}

void Node::waitUntilIdle(Instant until) {
  bool late = TimerService::now() >= until;
  auto unfinished = Http->unfinished();
  if (unfinished && !late) {
    Timers.after(IdlePoll, [this, until](Instant) { waitUntilIdle(until); });
    return;
  }
  if (unfinished)
    LOG(WARNING) << "stop cuts unfinished=" << unfinished;
  Members->depart();
  Leases->retire([this] {
    if (Stopped)
      Stopped();
  });
}

} // namespace hemlockglade
