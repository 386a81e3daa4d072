#include "Node.h"

#include <easylogging++.h>
#include <nlohmann/json.hpp>
#include <random>

namespace hemlockglade {

using nlohmann::json;

namespace {

constexpr Span TickInterval = std::chrono::milliseconds(50);
constexpr Span IdlePoll = std::chrono::milliseconds(50);
constexpr std::string_view ConfigKey = "config/head";
constexpr std::string_view CompletionsPath = "/v1/completions";
constexpr std::string_view ChatPath = "/v1/chat/completions";
constexpr std::string_view ServicesPrefix = "/services/";
constexpr std::string_view DefaultClass = "default";
constexpr Span DefaultDeadline = std::chrono::seconds(30);

std::string newIncarnation() {
  std::random_device device;
  std::array<char, 17> buf{};
  std::snprintf(buf.data(), buf.size(), "%08x%08x", device(), device());
  return buf.data();
}

void sendJson(HttpReply &reply, int status, const json &node) {
  reply.sendWhole(status, {{"Content-Type", "application/json"}},
                  node.dump() + '\n');
}

void sendError(HttpReply &reply, int status, std::string_view type,
               std::string_view text) {
  reply.sendWhole(status,
                  {{"Content-Type", "application/json"},
                   {std::string(header::Outcome),
                    std::string(outcomeName(Outcome::NotRun))}},
                  errorBody(type, text));
}

} // namespace

Node::Node(asio::io_context &context, NodeSettings settings)
    : Context(context), Settings(std::move(settings)), Timers(context),
      Client(context), ControlClient(context), Engines(ControlClient),
      Platform(ControlClient, Settings.PlatformUrl),
      Asker([this](const std::string &cell) { return runnerOf(cell); },
            [this](const std::string &cell) { return Leases->ownerOf(cell); }),
      Incarnation(newIncarnation()), InForce(std::make_shared<Catalog>()) {}

Node::~Node() = default;

void Node::start() {
  Peers = std::make_unique<PeerNet>(
      Context, Settings.Address, Settings.PeerPort,
      [this](const std::shared_ptr<PeerStream> &stream) {
        if (stream->path() == peer_path::Admit)
          Asker.serve(stream);
        else
          stream->close();
      });
  Asker.attach(*Peers);
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
    onOwned(cell, fence);
  };
  hooks.OnLost = [this](const std::string &cell) { onLost(cell); };
  Leases = std::make_shared<LeaseKeeper>(
      LeaseSettings{Settings.LeaseDuration, Settings.LeaseMargin}, self,
      Platform.table(), hooks);
  Subscriptions.push_back(Timers.every(
      Settings.RenewInterval, [this](Instant) { Leases->round(cellNames()); }));
  Subscriptions.push_back(Timers.every(Settings.ConfigInterval,
                                       [this](Instant) { lookAtConfig(); }));
  Subscriptions.push_back(Timers.every(Settings.ConfigInterval,
                                       [this](Instant) { lookAtHosts(); }));
  Subscriptions.push_back(Timers.every(TickInterval, [this](Instant) {
    for (auto &runner : runners())
      runner->tick();
  }));
  Subscriptions.push_back(
      Timers.every(Settings.ReportInterval, [this](Instant) {
        for (auto &runner : runners())
          runner->askReports();
      }));
  Leases->round({});
  lookAtConfig();
}

void Node::onHttp(HttpIncoming incoming, std::shared_ptr<HttpReply> reply) {
  const auto &path = incoming.Path;
  if (path == CompletionsPath || path == ChatPath)
    return onCompletion(incoming, std::move(reply));
  if (path.starts_with(ServicesPrefix))
    return onService(incoming, std::move(reply));
  if (path == "/directory")
    return onDirectory(incoming, *reply);
  if (path == "/healthz")
    return reply->sendWhole(200, {}, "ok\n");
  if (path == "/admin/show")
    return onShow(incoming, *reply);
  if (path == "/admin/apply" && incoming.Method == "POST")
    return onApply(std::move(incoming), reply);
  sendError(*reply, 404, "not_found", "no such path");
}

ExchangeRequest Node::newExchange(const HttpIncoming &incoming) {
  ExchangeRequest request;
  request.Id = Settings.Name + '-' + Incarnation.substr(0, 8) + '-' +
               std::to_string(++LastRequest);
  request.Method = incoming.Method;
  request.Body = incoming.Body;
  request.Admit.Id = request.Id;
  request.Admit.Caller = incoming.Remote;
  request.Admit.Class =
      incoming.field(header::Class).value_or(std::string(DefaultClass));
  Span deadline = DefaultDeadline;
  auto inForce = catalog();
  auto it = inForce->Classes.find(request.Admit.Class);
  if (it != inForce->Classes.end())
    deadline = it->second.Deadline;
  if (auto field = incoming.field(header::Deadline))
    deadline = std::chrono::milliseconds(std::atoll(field->c_str()));
  request.Admit.DeadlineUs = deadline.count();
  if (auto type = incoming.field("Content-Type"))
    request.Fields.emplace_back("Content-Type", *type);
  return request;
}

void Node::onCompletion(const HttpIncoming &incoming,
                        std::shared_ptr<HttpReply> reply) {
  auto inForce = catalog();
  auto completion = readCompletion(incoming.Body, [&](const std::string &name) {
    auto it = inForce->Adapters.find(name);
    return it == inForce->Adapters.end() ? 0 : it->second.Current;
  });
  if (!completion) {
    bool unknown = completion.error().Kind == ProtocolErrorKind::Unknown;
    return sendError(*reply, unknown ? 404 : 400,
                     unknown ? "adapter_not_found" : "invalid_request",
                     completion.error().Text);
  }
  auto adapter = inForce->Adapters.find(completion->Adapter.Name);
  if (adapter == inForce->Adapters.end())
    return sendError(*reply, 404, "adapter_not_found",
                     "no adapter " + completion->Adapter.Name);
  const auto &versions = adapter->second.Versions;
  if (std::find(versions.begin(), versions.end(),
                completion->Adapter.Version) == versions.end())
    return sendError(*reply, 404, "version_not_found",
                     "no version " + completion->Adapter.text());
  auto service = inForce->Services.find(adapter->second.Service);
  if (service == inForce->Services.end())
    return sendError(*reply, 404, "service_not_found",
                     "no service " + adapter->second.Service);
  auto request = newExchange(incoming);
  request.PathAndQuery = incoming.Path;
  request.Body = std::move(completion->Body);
  request.Stream = completion->Stream;
  request.Admit.Adapter = completion->Adapter.text();
  request.Admit.Cell = cellOf(service->second, request.Admit.Adapter);
  request.Admit.PrefixHash = completion->PrefixHash;
  request.Admit.PromptTokens = completion->PromptTokens;
  begin(std::move(request), std::move(reply));
}

void Node::onService(const HttpIncoming &incoming,
                     std::shared_ptr<HttpReply> reply) {
  auto rest = incoming.Path.substr(ServicesPrefix.size());
  auto slash = std::min(rest.find('/'), rest.size());
  auto name = rest.substr(0, slash);
  auto inForce = catalog();
  auto service = inForce->Services.find(name);
  if (service == inForce->Services.end() ||
      service->second.Kind != ServiceKind::Plain)
    return sendError(*reply, 404, "service_not_found", "no service " + name);
  auto request = newExchange(incoming);
  request.PathAndQuery = slash < rest.size() ? rest.substr(slash) : "/";
  if (!incoming.Query.empty())
    request.PathAndQuery += '?' + incoming.Query;
  request.Repeatable = incoming.field(header::Repeatable) != "no";
  request.Admit.Cell = cellOf(service->second, incoming.Remote);
  begin(std::move(request), std::move(reply));
}

void Node::begin(ExchangeRequest request, std::shared_ptr<HttpReply> reply) {
  std::make_shared<Exchange>(std::move(request), std::move(reply), Asker,
                             Client, Counts)
      ->start();
}

void Node::onDirectory(const HttpIncoming &incoming, HttpReply &reply) {
  auto inForce = catalog();
  auto name = queryValue(incoming.Query, "service");
  auto model = queryValue(incoming.Query, "model");
  if (auto adapter = AdapterRef::parse(model); adapter && name.empty()) {
    auto it = inForce->Adapters.find(adapter->Name);
    if (it != inForce->Adapters.end())
      name = it->second.Service;
  }
  auto service = inForce->Services.find(name);
  if (service == inForce->Services.end())
    return sendError(reply, 404, "service_not_found", "no service " + name);
  auto owner = Leases->ownerOf(cellOf(service->second, model));
  json addresses = json::array();
  if (owner && !owner->Leaving)
    addresses.push_back(owner->CallerAddress);
  for (const auto &node : Leases->nodes()) {
    if (!node.Leaving && !(owner && node.Name == owner->Name))
      addresses.push_back(node.CallerAddress);
  }
  auto ttl = std::chrono::duration<double>(Settings.DirectoryTtl).count();
  sendJson(reply, 200, {{"addresses", addresses}, {"ttl_s", ttl}});
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
    for (const auto &runner : runners()) {
      for (const auto &[replica, resident] : runner->loaded())
        rows.push_back({{"replica", replica},
                        {"adapter", runner->adapterName(resident.Adapter)},
                        {"running", resident.Running}});
    }
  }
  sendJson(reply, 200, {{"rows", rows}});
}

void Node::onApply(HttpIncoming incoming,
                   const std::shared_ptr<HttpReply> &reply) {
  auto parsed = readDeclarations(incoming.Body);
  if (!parsed)
    return sendError(*reply, 400, "invalid_declarations", parsed.error().Text);
  Platform.table().Get(
      std::string(ConfigKey),
      [this, reply, text = std::move(incoming.Body)](auto row) mutable {
        if (!row)
          return sendError(*reply, 503, "store_unavailable",
                           "the table did not answer");
        commitCatalog(std::move(text), *row ? (*row)->Version : 0, reply);
      });
}

void Node::commitCatalog(std::string text, std::uint64_t expected,
                         const std::shared_ptr<HttpReply> &reply) {
  TableTransaction transaction;
  transaction.AttemptId =
      Incarnation + "-config-" + std::to_string(++LastRequest);
  transaction.Writes.push_back({std::string(ConfigKey), expected, text});
  Platform.table().Commit(transaction, [this, reply, expected,
                                        text](auto result) {
    if (!result)
      return sendError(
          *reply, result.error() == TableError::Conflict ? 409 : 503,
          "not_committed", "another change came first, or the table is away");
    takeConfig({std::string(ConfigKey), expected + 1, text});
    sendJson(*reply, 200, {{"revision", expected + 1}});
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
  for (auto &runner : runners())
    runner->configure(*next);
  Leases->round(cellNames());
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
    for (auto &runner : runners())
      runner->setLeaving(leaving);
  });
}

void Node::onOwned(const std::string &cell, Epoch fence) {
  LOG(INFO) << "own cell=" << cell << " epoch=" << fence;
  CellRunnerHooks hooks;
  hooks.Holds = [this, cell] { return Leases->holds(cell); };
  auto runner = std::make_shared<CellRunner>(cell, fence, Engines, hooks);
  {
    std::lock_guard lock(Mutex);
    Runners[cell] = runner;
  }
  runner->configure(*catalog());
  runner->tick();
  runner->askReports();
}

void Node::onLost(const std::string &cell) {
  LOG(INFO) << "lose cell=" << cell;
  std::shared_ptr<CellRunner> runner;
  {
    std::lock_guard lock(Mutex);
    auto it = Runners.find(cell);
    if (it == Runners.end())
      return;
    runner = it->second;
    Runners.erase(it);
  }
  runner->stop();
}

std::shared_ptr<CellRunner> Node::runnerOf(const std::string &cell) const {
  std::lock_guard lock(Mutex);
  auto it = Runners.find(cell);
  return it == Runners.end() ? nullptr : it->second;
}

std::vector<std::shared_ptr<CellRunner>> Node::runners() const {
  std::lock_guard lock(Mutex);
  std::vector<std::shared_ptr<CellRunner>> out;
  for (const auto &[cell, runner] : Runners)
    out.push_back(runner);
  return out;
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
  if (Counts.Running == 0 || late) {
    if (Counts.Running)
      LOG(WARNING) << "stop cuts running=" << Counts.Running;
    return done();
  }
  Timers.after(IdlePoll, [this, until, done = std::move(done)](Instant) {
    waitUntilIdle(until, done);
  });
}

} // namespace hemlockglade
