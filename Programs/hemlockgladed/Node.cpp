#include "Node.h"

#include "Answers.h"

#include <easylogging++.h>
#include <nlohmann/json.hpp>
#include <random>

namespace hemlockglade {

using nlohmann::json;

namespace {

constexpr Span TickInterval = std::chrono::milliseconds(50);
constexpr Span RecoveryInterval = std::chrono::milliseconds(250);
constexpr Span CleanUpInterval = std::chrono::seconds(10);
constexpr Span IdlePoll = std::chrono::milliseconds(50);
constexpr std::string_view ConfigKey = "config/head";

/// A node that is silent for a whole lease runs nothing any more, unless it
/// is frozen; engines that take its orders then get more time.
RecoverySettings recoverySettings(const NodeSettings &settings) {
  constexpr int UnfencedLeases = 3;
  RecoverySettings recovery;
  recovery.SilentWait = settings.LeaseDuration + settings.LeaseMargin;
  recovery.UnfencedWait = UnfencedLeases * recovery.SilentWait;
  return recovery;
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
    : Context(context), Settings(std::move(settings)), Timers(context),
      Client(context), ControlClient(context), Engines(ControlClient),
      Platform(ControlClient, Settings.PlatformUrl),
      Cells(Settings.Name, recoverySettings(Settings), Engines, cellHooks()),
      Asker([this](const std::string &cell) { return Cells.find(cell); },
            [this](const std::string &cell) { return Leases->ownerOf(cell); }),
      Incarnation(newIncarnation()),
      Callers({Settings.Name, Incarnation, Settings.DirectoryTtl},
              callerHooks()),
      Exchanges(exchangeHooks()), Retries(RetryPolicySettings{}),
      InForce(std::make_shared<Catalog>()) {}

Node::~Node() = default;

void Node::start() {
  Peers =
      std::make_unique<PeerNet>(Context, Settings.Address, Settings.PeerPort,
                                [this](std::shared_ptr<PeerStream> stream) {
                                  if (stream->path() == peer_path::Admit)
                                    Asker.serve(stream);
                                  else
                                    stream->close();
                                });
  Asker.attach(*Peers);
  Cells.attach(*Peers);
  HttpServerSettings http;
  http.Address = Settings.Address;
  http.Port = Settings.CallerPort;
  Http = std::make_unique<HttpServer>(
      Context, http,
      [this](HttpIncoming incoming, std::shared_ptr<HttpReply> reply) {
        onHttp(std::move(incoming), std::move(reply));
      });
  NodeRecord self{Settings.Name,
                  Incarnation,
                  Settings.Address + ':' + std::to_string(Http->port()),
                  Settings.Address + ':' + std::to_string(Peers->port()),
                  Settings.FailureDomain,
                  false};
  LeaseHooks hooks;
  hooks.Now = &TimerService::now;
  hooks.OnOwned = [this](const std::string &cell, Epoch fence) {
    Cells.own(cell, fence);
  };
  hooks.OnLost = [this](const std::string &cell) { Cells.lose(cell); };
  Leases = std::make_shared<LeaseKeeper>(
      LeaseSettings{Settings.LeaseDuration, Settings.LeaseMargin}, self,
      Platform.table(), hooks);
  ClaimHooks claims;
  claims.WallMs = &wallMs;
  claims.After = [this](Span delay, std::function<void()> call) {
    Timers.after(delay, [call = std::move(call)](Instant) { call(); });
  };
  Claims = std::make_shared<ClaimBook>(ClaimSettings{},
                                       Settings.Name + '-' + Incarnation,
                                       Platform.table(), claims);
  Subscriptions.push_back(Timers.every(
      RecoveryInterval, [this](Instant now) { Cells.tickRecovery(now); }));
  Subscriptions.push_back(
      Timers.every(CleanUpInterval, [this](Instant) { cleanUpClaims(); }));
  Subscriptions.push_back(Timers.every(
      Settings.RenewInterval, [this](Instant) { Leases->round(cellNames()); }));
  Subscriptions.push_back(Timers.every(Settings.ConfigInterval,
                                       [this](Instant) { lookAtConfig(); }));
  Subscriptions.push_back(Timers.every(Settings.ConfigInterval,
                                       [this](Instant) { lookAtHosts(); }));
  Subscriptions.push_back(
      Timers.every(TickInterval, [this](Instant) { Cells.tick(); }));
  Subscriptions.push_back(Timers.every(
      Settings.ReportInterval, [this](Instant) { Cells.askReports(); }));
  Leases->round({});
  lookAtConfig();
}

void Node::onHttp(HttpIncoming incoming, std::shared_ptr<HttpReply> reply) {
  const auto &path = incoming.Path;
  if (Callers.take(incoming, reply))
    return;
  if (path == "/healthz")
    return reply->sendWhole(200, {}, "ok\n");
  if (path == "/admin/show")
    return onShow(incoming, *reply);
  if (path == "/admin/apply" && incoming.Method == "POST")
    return onApply(std::move(incoming), std::move(reply));
  answer::error(*reply, 404, "not_found", "no such path");
}

OwnedCellsHooks Node::cellHooks() {
  OwnedCellsHooks hooks;
  hooks.InForce = [this] { return catalog(); };
  hooks.Nodes = [this] { return Leases->nodes(); };
  hooks.Holds = [this](const std::string &cell) { return Leases->holds(cell); };
  hooks.Mode = [this](const std::string &cell) { return Leases->modeOf(cell); };
  hooks.Post = [this](std::function<void()> call) {
    asio::post(Context, std::move(call));
  };
  hooks.After = [this](Span delay, std::function<void()> call) {
    Timers.after(delay, [call = std::move(call)](Instant) { call(); });
  };
  return hooks;
}

CallerFrontHooks Node::callerHooks() {
  CallerFrontHooks hooks;
  hooks.InForce = [this] { return catalog(); };
  hooks.Addresses = [this](const std::string &cell) {
    return addressesFor(cell);
  };
  hooks.Begin = [this](ExchangeRequest request,
                       std::shared_ptr<HttpReply> reply) {
    Retries.onFirstAttempt();
    std::make_shared<Exchange>(std::move(request), std::move(reply), Client,
                               Exchanges)
        ->start();
  };
  return hooks;
}

std::shared_ptr<const ExchangeHooks> Node::exchangeHooks() {
  auto hooks = std::make_shared<ExchangeHooks>();
  hooks->Ask = [this](const AdmitRequest &request, Admission::OnReply reply) {
    return Asker.ask(request, std::move(reply));
  };
  hooks->Register = [this](const RegisteredRequest &request) {
    return Cells.enter(request);
  };
  hooks->Unregister = [this](const RegisteredRequest &request) {
    Cells.leave(request);
  };
  hooks->Claim = [this](const ExchangeRequest &request,
                        ClaimBook::OnAnswer done) {
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
    return Retries.decide(attempt, TimerService::now());
  };
  hooks->After = [this](Span delay, std::function<void()> call) {
    Timers.after(delay, [call = std::move(call)](Instant) { call(); });
  };
  hooks->OnEnd = [this](const ExchangeEnd &end) { onExchangeEnd(end); };
  return hooks;
}

void Node::onExchangeEnd(const ExchangeEnd &end) {
  LOG(INFO) << "end request=" << end.Request.Id
            << " attempt=" << end.Request.Admit.Attempt
            << " adapter=" << end.Request.Admit.Adapter
            << " replica=" << end.Replica
            << " outcome=" << outcomeName(end.Ended) << " reason=" << end.Reason
            << " gone=" << end.Gone;
}

std::vector<std::string> Node::addressesFor(const std::string &cell) const {
  std::vector<std::string> addresses;
  auto owner = Leases->ownerOf(cell);
  if (owner && !owner->Leaving)
    addresses.push_back(owner->CallerAddress);
  for (const auto &node : Leases->nodes()) {
    if (!node.Leaving && !(owner && node.Name == owner->Name))
      addresses.push_back(node.CallerAddress);
  }
  return addresses;
}

void Node::onShow(const HttpIncoming &incoming, HttpReply &reply) {
  auto what = queryValue(incoming.Query, "what");
  json rows = json::array();
  if (what == "nodes") {
    for (const auto &node : Leases->nodes())
      rows.push_back({{"node", node.Name},
                      {"callers", node.CallerAddress},
                      {"failure_domain", node.FailureDomain},
                      {"leaving", node.Leaving}});
  } else if (what == "cells") {
    for (const auto &[cell, record] : Leases->cells())
      rows.push_back(
          {{"cell", cell}, {"owner", record.Owner}, {"epoch", record.Fence}});
  } else if (what == "config") {
    rows.push_back({{"revision", catalog()->Number},
                    {"adapters", catalog()->Adapters.size()},
                    {"replicas", catalog()->Replicas.size()}});
  } else {
    for (const auto &runner : Cells.all()) {
      for (const auto &[replica, resident] : runner->loaded())
        rows.push_back({{"replica", replica},
                        {"adapter", runner->adapterName(resident.Adapter)},
                        {"running", resident.Running}});
    }
  }
  answer::json(reply, 200, {{"rows", rows}});
}

void Node::onApply(HttpIncoming incoming, std::shared_ptr<HttpReply> reply) {
  auto parsed = readDeclarations(incoming.Body);
  if (!parsed)
    return answer::error(*reply, 400, "invalid_declarations",
                         parsed.error().Text);
  Platform.table().Get(
      std::string(ConfigKey),
      [this, reply, text = std::move(incoming.Body)](auto row) mutable {
        if (!row)
          return answer::error(*reply, 503, "store_unavailable",
                               "the table did not answer");
        commitCatalog(std::move(text), *row ? (*row)->Version : 0, reply);
      });
}

void Node::commitCatalog(std::string text, std::uint64_t expected,
                         std::shared_ptr<HttpReply> reply) {
  TableTransaction transaction;
  transaction.AttemptId = Incarnation + "-config-" + std::to_string(++Commands);
  transaction.Writes.push_back({std::string(ConfigKey), expected, text});
  Platform.table().Commit(transaction, [this, reply, expected,
                                        text](auto result) {
    if (!result)
      return answer::error(
          *reply, result.error() == TableError::Conflict ? 409 : 503,
          "not_committed", "another change came first, or the table is away");
    takeConfig({std::string(ConfigKey), expected + 1, text});
    answer::json(*reply, 200, {{"revision", expected + 1}});
  });
}

void Node::lookAtConfig() {
  Platform.table().Get(std::string(ConfigKey), [this](auto row) {
    if (row && *row)
      takeConfig(**row);
  });
}

void Node::takeConfig(const TableRow &row) {
  {
    std::lock_guard lock(Mutex);
    if (row.Version <= ConfigVersion)
      return;
  }
  auto parsed = readDeclarations(row.Value);
  if (!parsed) {
    LOG(ERROR) << "config revision=" << row.Version
               << " unreadable: " << parsed.error().Text;
    return;
  }
  parsed->Number = row.Version;
  auto next = std::make_shared<const Catalog>(std::move(*parsed));
  {
    std::lock_guard lock(Mutex);
    if (row.Version <= ConfigVersion)
      return;
    ConfigVersion = row.Version;
    InForce = next;
  }
  LOG(INFO) << "config revision=" << row.Version << " in-force";
  Cells.configure(*next);
  Leases->round(cellNames());
}

void Node::cleanUpClaims() {
  auto nodes = Leases->nodes();
  for (std::size_t it = 0; it < nodes.size(); ++it) {
    if (nodes[it].Name == Settings.Name)
      Claims->cleanUp(it, nodes.size());
  }
}

void Node::lookAtHosts() {
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

std::vector<std::string> Node::cellNames() const {
  auto inForce = catalog();
  std::vector<std::string> out;
  for (const auto &[name, service] : inForce->Services) {
    for (std::uint32_t it = 0; it < service.Cells; ++it)
      out.push_back(cellName(name, it));
  }
  return out;
}

std::shared_ptr<const Catalog> Node::catalog() const {
  std::lock_guard lock(Mutex);
  return InForce;
}

void Node::stop(std::function<void()> done) {
  if (Leaving.exchange(true))
    return;
  LOG(INFO) << "stop node=" << Settings.Name;
  Leases->release([this, done = std::move(done)]() mutable {
    // Callers may keep our address for the time to live.
    auto until = TimerService::now() + Settings.StopBound;
    Timers.after(Settings.DirectoryTtl,
                 [this, until, done = std::move(done)](Instant) mutable {
                   waitUntilIdle(until, std::move(done));
                 });
  });
}

void Node::waitUntilIdle(Instant until, std::function<void()> done) {
  bool late = TimerService::now() >= until;
  auto unfinished = Http->unfinished();
  if (unfinished == 0 || late) {
    if (unfinished)
      LOG(WARNING) << "stop cuts unfinished=" << unfinished;
    return Leases->retire(std::move(done));
  }
  Timers.after(IdlePoll, [this, until, done = std::move(done)](Instant) {
    waitUntilIdle(until, done);
  });
}

} // namespace hemlockglade
