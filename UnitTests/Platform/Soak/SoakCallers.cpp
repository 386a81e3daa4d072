#include "UnitTests/Platform/Soak/SoakCallers.h"

#include "Hemlockglade/Protocol/JsonText.h"
#include "Hemlockglade/Transport/Peer/PeerNet.h"
#include "platform/Names.h"

namespace hemlockglade::soak {

namespace {

using std::chrono::milliseconds;

constexpr auto Deadline = milliseconds(3000);
/// How much longer than its deadline a caller waits for an answer.
constexpr auto Patience = milliseconds(1500);
constexpr auto ProbeEvery = milliseconds(500);
constexpr auto LooksEvery = milliseconds(1000);

constexpr std::uint16_t FirstError = 400;

bool promisesNotRun(std::uint16_t status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

struct SoakCallers::Sending {
  std::string Name;
  std::string Tag;
  std::string Path;
  std::string Adapter;
  bool Stream = false;
  bool Once = false;
  bool Leaves = false;
  bool Kept = false;
  bool Over = false;
  std::string To;
  std::shared_ptr<HttpConnection> Connection;
  std::optional<HttpAnswerHead> Head;
  std::string Body;
};

SoakCallers::SoakCallers(asio::io_context &context,
                         std::list<std::unique_ptr<SoakNode>> &nodes,
                         SoakHistory &history, std::uint64_t seed)
    : Context(context), Nodes(nodes), History(history), Timers(context),
      Pool(context, {}), Asking(context, {}), Random(seed),
      CrashingRandom(seed) {}

void SoakCallers::start() {
  Going = true;
  ask();
  Subscriptions.push_back(Timers.every(LooksEvery, [this](Instant) { ask(); }));
  Subscriptions.push_back(
      Timers.every(ProbeEvery, [this](Instant) { probeAll(); }));
  next();
  if (CrashingEvery > Span(0))
    Subscriptions.push_back(
        Timers.every(CrashingEvery, [this](Instant) { sendCrashing(); }));
}

void SoakCallers::sendCrashing() {
  if (!Going || Known.All.empty())
    return;
  const auto &address = Known.All[CrashingRandom() % Known.All.size()];
  HttpRequestHead head{"POST", "/chat" + std::string(site::CrashingTarget), {}};
  head.Fields = {
      {"Host", "a.example"},
      {std::string(platform_name::RequestId), "x" + std::to_string(++Number)},
      {std::string(platform_name::TimeLeftMs),
       std::to_string(milliseconds(Deadline).count())},
      {std::string(platform_name::Weights), std::string(site::Model) + "/a1"},
      {std::string(platform_name::TokenCounts), "200,48"},
      {std::string(platform_name::PromptParts), "a1:100,c1:100"},
      {"Content-Length", "0"}};
  if (Workspaces)
    addKey(head, "free");
  auto connection = Pool.take(parseEndpoint(address), Span(0));
  HttpCallHooks hooks;
  hooks.OnDone = [connection] { connection->abort(); };
  connection->call(writeHead(head), "", false, std::move(hooks));
}

void SoakCallers::addKey(HttpRequestHead &head,
                         const std::string &workspace) const {
  head.Fields.push_back({std::string(platform_name::CallerKey),
                         SoakWorkspaces::keyOf(workspace, Plan)});
  head.Fields.push_back(
      {std::string(SoakWorkspaces::Truth),
       SoakWorkspaces::truthOf(workspace, TimerService::now())});
  // Nobody may choose the workspace that replicas are told.
  head.Fields.push_back({std::string(platform_name::Workspace), "forged"});
}

void SoakCallers::probeRevoked(SoakNode &node) {
  HttpRequestHead head{"GET", "/look/revoked", {}};
  head.Fields = {
      {"Host", "a.example"},
      {std::string(platform_name::RequestId), "v" + std::to_string(++Number)},
      {std::string(platform_name::TimeLeftMs), "400"},
      {std::string(platform_name::CallerKey), SoakWorkspaces::revokedBy(Plan)}};
  auto connection = Pool.take(parseEndpoint(node.caller()));
  HttpCallHooks hooks;
  ++Seen.RevokedTried;
  hooks.OnHead = [this](const HttpAnswerHead &answer) {
    Seen.RevokedServed += answer.Status < FirstError ? 1 : 0;
    return true;
  };
  hooks.OnDone = [this, connection] { Pool.give(connection); };
  connection->call(writeHead(head), "", false, std::move(hooks));
}

void SoakCallers::next() {
  if (!Going)
    return;
  if (!Known.All.empty())
    send();
  Timers.after(spanOf(1 / Rate), [this](Instant) { next(); });
}

void SoakCallers::ask() {
  std::vector<SoakNode *> up;
  for (auto &it : Nodes)
    if (it->running() && !it->paused())
      up.push_back(it.get());
  if (up.empty())
    return;
  auto &node = *up[Random() % up.size()];
  HttpCall call;
  call.Address = parseEndpoint(node.directory());
  call.Target = std::string(platform_name::DirectoryCall) +
                "?name=a.example&zone=" + node.domain();
  auto askedAt = TimerService::now();
  Asking.call(call, [this, askedAt](auto answer) {
    if (!answer || answer->Head.Status != 200)
      return;
    auto body = parseJson(answer->Body);
    Known.All = body.at("addresses").template get<std::vector<std::string>>();
    Known.AskedAt = askedAt;
    Known.TimeToLive = spanOf(body.at("ttl_s").template get<double>());
  });
}

std::string SoakCallers::nameOf(const std::string &address) const {
  for (const auto &it : Nodes)
    if (it->caller() == address)
      return it->name();
  return address;
}

std::shared_ptr<SoakCallers::Sending> SoakCallers::draw() {
  auto it = std::make_shared<Sending>();
  it->Name = "s" + std::to_string(++Number);
  it->Tag = "t" + std::to_string(Number);
  constexpr std::uint64_t Kinds = 10;
  constexpr std::uint64_t Rarely = 25;
  auto kind = Random() % Kinds;
  it->Stream = kind < 6;
  it->Once = kind == 4 || kind == 5 || kind >= 8;
  it->Path = it->Stream ? (it->Once ? "/once/" : "/chat/")
                        : (it->Once ? "/order/" : "/look/");
  it->Leaves = Random() % Rarely == 0;
  // A few adapters get most of the requests.
  auto rank = std::min(Random() % site::Adapters, Random() % site::Adapters);
  if (it->Stream)
    it->Adapter = std::string(site::Model) + "/a" + std::to_string(rank + 1);
  return it;
}

void SoakCallers::send() {
  auto it = draw();
  auto address = Known.All[Random() % Known.All.size()];
  it->To = nameOf(address);
  it->Connection = Pool.take(parseEndpoint(address), std::chrono::seconds(5));
  it->Kept = it->Connection->open();
  ++Open;
  ++Seen.Sent;
  auto &event = History.note("callers", "sent");
  event.Sending = it->Name;
  event.Tag = it->Tag;
  event.Adapter = it->Adapter;
  event.To = it->To;
  event.Key = it->Once ? it->Tag : "";
  event.AskedAt = Known.AskedAt;
  event.TimeToLive = Known.TimeToLive;
  std::string body = "hi";
  HttpRequestHead head{"POST", it->Path + it->Tag, {}};
  auto add = [&head](std::string_view name, std::string value) {
    head.Fields.push_back({std::string(name), std::move(value)});
  };
  add("Host", "a.example");
  add(platform_name::RequestId, it->Tag);
  add(platform_name::TimeLeftMs,
      std::to_string(milliseconds(Deadline).count()));
  add("Content-Length", std::to_string(body.size()));
  if (Workspaces)
    addKey(head, Workspaces->draw());
  if (it->Stream) {
    add(platform_name::Weights, it->Adapter);
    add(platform_name::TokenCounts, "200,48");
    add(platform_name::PromptParts,
        "a1:100,b" + std::to_string(Number) + ":100");
  }
  HttpCallHooks hooks;
  hooks.OnHead = [it](const HttpAnswerHead &head) {
    it->Head = head;
    return true;
  };
  hooks.OnBody = [it](std::string_view part) { it->Body.append(part); };
  hooks.OnDone = [this, it] { onDone(it); };
  hooks.OnFailed = [this, it](HttpFailure how) {
    bool nothing = how == HttpFailure::NotConnected || !it->Kept;
    finish(it, !it->Head && nothing ? "none" : "unknown");
  };
  auto bound = it->Leaves ? milliseconds(60) : Deadline + Patience;
  Timers.after(bound, [this, it](Instant) { finish(it, "left"); });
  it->Connection->call(writeHead(head), body, false, std::move(hooks));
}

void SoakCallers::onDone(const std::shared_ptr<Sending> &sending) {
  auto status = sending->Head->Status;
  const auto *id = findField(sending->Head->Fields, platform_name::RequestId);
  if (id && *id != sending->Tag)
    return finish(sending, "complete", "an answer to another request");
  if (status < 300) {
    bool sealed = findField(sending->Head->Fields, platform_name::Seal);
    return finish(sending, "complete",
                  sealed ? "" : "a success without a seal");
  }
  if (promisesNotRun(status))
    return finish(sending, "not-run");
  if (status == 400 || status == 404)
    return finish(sending, "failed", "refused though the route is there");
  finish(sending, "failed");
}

void SoakCallers::finish(const std::shared_ptr<Sending> &sending,
                         std::string outcome, std::string fault) {
  if (std::exchange(sending->Over, true))
    return;
  --Open;
  if (outcome == "left" || outcome == "unknown" || outcome == "none" ||
      !sending->Connection->reusable())
    sending->Connection->abort();
  else
    Pool.give(sending->Connection);
  Seen.Complete += outcome == "complete";
  Seen.Refused += outcome == "not-run";
  constexpr std::uint16_t TooMany = 429;
  Seen.Limited += sending->Head && sending->Head->Status == TooMany;
  Seen.Failed += outcome == "failed";
  Seen.Unknown += outcome == "unknown" || outcome == "none";
  Seen.Left += outcome == "left";
  auto &event = History.note("callers", "answered");
  event.Sending = sending->Name;
  event.Tag = sending->Tag;
  event.To = sending->To;
  event.Key = sending->Once ? sending->Tag : "";
  event.Outcome = std::move(outcome);
  event.Fault = std::move(fault);
  event.Status = sending->Head ? sending->Head->Status : 0;
  event.Hash = site::hashOf(sending->Body);
  if (sending->Head)
    if (const auto *by = findField(sending->Head->Fields, "Served-By"))
      event.Adapter = *by;
}

void SoakCallers::probeAll() {
  if (!Going)
    return;
  for (auto &it : Nodes)
    if (it->running() && !it->paused() && !it->stopping()) {
      probe(*it);
      if (Workspaces && Plan > 1)
        probeRevoked(*it);
    }
}

void SoakCallers::probe(SoakNode &node) {
  // Each version of the plan adds a route that only it and later ones have.
  HttpRequestHead head{"GET", "/probe/" + std::to_string(Plan) + "/", {}};
  head.Fields = {
      {"Host", "a.example"},
      {std::string(platform_name::RequestId), "p" + std::to_string(++Number)},
      {std::string(platform_name::TimeLeftMs), "400"}};
  if (Workspaces)
    addKey(head, "free");
  auto askedAt = TimerService::now();
  auto connection = Pool.take(parseEndpoint(node.caller()));
  auto status = std::make_shared<std::uint16_t>(0);
  HttpCallHooks hooks;
  hooks.OnHead = [status](const HttpAnswerHead &head) {
    *status = head.Status;
    return true;
  };
  hooks.OnDone = [this, connection, status, askedAt, plan = Plan,
                  name = node.name()] {
    Pool.give(connection);
    constexpr std::uint16_t NoRoute = 404;
    // Only these two say which plan was looked at.
    if (*status != NoRoute && *status >= FirstError)
      return;
    auto &event = History.note("callers", "in_force");
    event.To = name;
    event.AskedAt = askedAt;
    event.Revision = *status == NoRoute ? plan - 1 : plan;
  };
  connection->call(writeHead(head), "", false, std::move(hooks));
}

} // namespace hemlockglade::soak
