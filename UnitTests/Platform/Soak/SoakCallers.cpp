#include "UnitTests/Platform/Soak/SoakCallers.h"

#include "Hemlockglade/Protocol/JsonText.h"
#include "Hemlockglade/Transport/Peer/PeerNet.h"
#include "platform/Names.h"

#include <sstream>

namespace hemlockglade::soak {

namespace {

using std::chrono::milliseconds;

constexpr auto RequestTimeout = milliseconds(3000);
/// How much longer than its request's timeout a caller waits for an answer.
constexpr auto AnswerGrace = milliseconds(1500);
constexpr auto ProbeInterval = milliseconds(500);
constexpr auto DirectoryInterval = milliseconds(1000);

constexpr std::uint16_t MinErrorStatus = 400;

bool isNotRunStatus(std::uint16_t status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

/// A stream over all requests of its caller.
struct SoakCallers::StreamState {
  /// Id of the request that brought the first event.
  std::string FirstTag;
  std::string Adapter;
  /// Versions of the software that its events come from.
  std::set<std::string> Software;
  int LastEvent = 0;
  int Tries = 0;

  /// Reads the whole events of a request's answer. Returns the text as the
  /// gateways check it: from the first event on, as if all had been sent to
  /// this request, and without the marks of the software.
  std::string read(const std::string &body, const std::string &tag) {
    std::string out;
    for (int it = 1; it <= LastEvent; ++it)
      out += site::eventText(tag, it);
    std::istringstream in(body);
    std::string software;
    int number = 0;
    for (std::string line; std::getline(in, line);) {
      constexpr std::string_view Mark = "software: ";
      if (line.starts_with("id: "))
        number = std::stoi(line.substr(4));
      if (line.starts_with(Mark)) {
        software = line.substr(Mark.size());
        continue;
      }
      out += line + "\n";
      if (!line.empty())
        continue;
      LastEvent = number;
      Software.insert(software);
    }
    return out;
  }
};

struct SoakCallers::Call {
  std::string Name;
  std::string Tag;
  std::string Path;
  std::string Adapter;
  bool Stream = false;
  /// Set for streams that may be taken up.
  std::shared_ptr<StreamState> Resumable;
  bool TakesUp = false;
  /// Two engines served the stream's software version as it was sent.
  bool IsServed = false;
  bool AtMostOnce = false;
  bool Aborts = false;
  bool Reused = false;
  bool Ended = false;
  std::string To;
  std::shared_ptr<HttpConnection> Connection;
  std::optional<HttpAnswerHead> Head;
  std::string Body;
};

SoakCallers::SoakCallers(asio::io_context &context,
                         std::list<std::unique_ptr<SoakNode>> &nodes,
                         SoakHistory &history, std::uint64_t seed)
    : Context(context), Nodes(nodes), History(history), Timers(context),
      Pool(context, {}), DirectoryCaller(context, {}), Random(seed),
      CrashingRandom(seed), HotRandom(seed) {}

void SoakCallers::start() {
  Running = true;
  queryDirectory();
  Subscriptions.push_back(
      Timers.every(DirectoryInterval, [this](Instant) { queryDirectory(); }));
  Subscriptions.push_back(
      Timers.every(ProbeInterval, [this](Instant) { probeNodes(); }));
  sendNext();
  if (CrashingInterval > Span(0))
    Subscriptions.push_back(Timers.every(
        CrashingInterval, [this](Instant) { sendCrashingRequest(); }));
  if (CrashingPartInterval > Span(0))
    Subscriptions.push_back(Timers.every(
        CrashingPartInterval, [this](Instant) { sendCrashingPart(); }));
}

void SoakCallers::sendCrashingRequest() {
  sendHarmful("/chat" + std::string(site::CrashingTargetSuffix),
              "a1:100,c1:100");
}

void SoakCallers::sendCrashingPart() {
  auto own = std::to_string(LastId + 1);
  sendHarmful("/chat/x" + own,
              "a1:100," + std::string(site::CrashingPart) + "d" + own + ":100");
}

void SoakCallers::sendHarmful(const std::string &target,
                              const std::string &parts) {
  if (!Running || Targets.All.empty())
    return;
  const auto &address = Targets.All[CrashingRandom() % Targets.All.size()];
  HttpRequestHead head{"POST", target, {}};
  head.Fields = {
      {"Host", "a.example"},
      {std::string(platform_name::RequestId), "x" + std::to_string(++LastId)},
      {std::string(platform_name::TimeLeftMs),
       std::to_string(milliseconds(RequestTimeout).count())},
      {std::string(platform_name::Weights), std::string(site::Model) + "/a1"},
      {std::string(platform_name::TokenCounts), "200,48"},
      {std::string(platform_name::PromptParts), parts},
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
      {std::string(SoakWorkspaces::SenderField),
       SoakWorkspaces::senderOf(workspace, TimerService::now())});
  // Gateways must overwrite this field: a caller can't choose the workspace
  // that replicas receive.
  head.Fields.push_back({std::string(platform_name::Workspace), "forged"});
}

void SoakCallers::probeRevokedKey(SoakNode &node) {
  HttpRequestHead head{"GET", "/look/revoked", {}};
  head.Fields = {
      {"Host", "a.example"},
      {std::string(platform_name::RequestId), "v" + std::to_string(++LastId)},
      {std::string(platform_name::TimeLeftMs), "400"},
      {std::string(platform_name::CallerKey),
       SoakWorkspaces::keyRevokedBy(Plan)}};
  auto connection = Pool.take(parseEndpoint(node.callerAddress()));
  HttpCallHooks hooks;
  ++Totals.RevokedSent;
  hooks.OnHead = [this](const HttpAnswerHead &answer) {
    Totals.RevokedServed += answer.Status < MinErrorStatus ? 1 : 0;
    return true;
  };
  hooks.OnDone = [this, connection] { Pool.give(connection); };
  connection->call(writeHead(head), "", false, std::move(hooks));
}

void SoakCallers::sendNext() {
  if (!Running)
    return;
  if (!Targets.All.empty())
    send(drawCall());
  Timers.after(spanOf(1 / Rate), [this](Instant) { sendNext(); });
}

void SoakCallers::queryDirectory() {
  std::vector<SoakNode *> running;
  for (auto &it : Nodes)
    if (it->isRunning() && !it->isPaused())
      running.push_back(it.get());
  if (running.empty())
    return;
  auto &node = *running[Random() % running.size()];
  HttpCall call;
  call.Address = parseEndpoint(node.directoryAddress());
  call.Target = std::string(platform_name::DirectoryCall) +
                "?name=a.example&zone=" + node.domain();
  auto askedAt = TimerService::now();
  DirectoryCaller.call(call, [this, askedAt](auto answer) {
    if (!answer || answer->Head.Status != 200)
      return;
    auto body = parseJson(answer->Body);
    Targets.All = body.at("addresses").template get<std::vector<std::string>>();
    Targets.AskedAt = askedAt;
    Targets.TimeToLive = spanOf(body.at("ttl_s").template get<double>());
  });
}

std::string SoakCallers::nodeNameOf(const std::string &address) const {
  for (const auto &it : Nodes)
    if (it->callerAddress() == address)
      return it->name();
  return address;
}

std::shared_ptr<SoakCallers::Call> SoakCallers::drawCall() {
  auto it = std::make_shared<Call>();
  it->Name = "s" + std::to_string(++LastId);
  it->Tag = "t" + std::to_string(LastId);
  constexpr std::uint64_t Kinds = 10;
  constexpr std::uint64_t AbortOneIn = 25;
  auto kind = Random() % Kinds;
  it->Stream = kind < 6;
  it->AtMostOnce = kind == 4 || kind == 5 || kind >= 8;
  it->Path = it->Stream ? (it->AtMostOnce ? "/once/" : "/chat/")
                        : (it->AtMostOnce ? "/order/" : "/look/");
  it->Aborts = Random() % AbortOneIn == 0;
  // A few adapters get most of the requests.
  auto rank =
      std::min(Random() % site::AdapterCount, Random() % site::AdapterCount);
  auto number = static_cast<int>(rank) + 1;
  if (HotAdapter && HotRandom() % 2)
    number = HotAdapter;
  if (it->Stream)
    it->Adapter = std::string(site::Model) + "/a" + std::to_string(number);
  if (it->Stream && !it->AtMostOnce) {
    it->Resumable = std::make_shared<StreamState>();
    it->Resumable->FirstTag = it->Tag;
    it->Resumable->Adapter = it->Adapter;
  }
  return it;
}

void SoakCallers::takeUp(const std::shared_ptr<StreamState> &stream) {
  if (!Running || Targets.All.empty())
    return;
  auto it = std::make_shared<Call>();
  it->Name = "s" + std::to_string(++LastId);
  it->Tag = "t" + std::to_string(LastId);
  it->Path = "/chat/";
  it->Stream = it->TakesUp = true;
  it->Adapter = stream->Adapter;
  it->Resumable = stream;
  it->IsServed = isServed(*stream);
  ++stream->Tries;
  send(it);
}

bool SoakCallers::isServed(const StreamState &stream) const {
  constexpr int MinServing = 2;
  return ServingCount && !stream.Software.empty() &&
         ServingCount(*stream.Software.begin()) >= MinServing;
}

bool SoakCallers::onStreamEnd(const std::shared_ptr<Call> &call, bool wasLost) {
  auto &stream = *call->Resumable;
  auto before = stream.LastEvent;
  call->Body = stream.read(call->Body, call->Tag);
  bool hasEvents = stream.LastEvent > before;
  constexpr int MaxTries = 3;
  constexpr auto RetryDelay = milliseconds(250);
  bool isOpen = stream.LastEvent > 0 && stream.LastEvent < site::StreamEvents;
  if (isOpen && wasLost && stream.Tries < MaxTries) {
    Timers.after(RetryDelay,
                 [this, call](Instant) { takeUp(call->Resumable); });
    return hasEvents;
  }
  auto &event = History.record("callers", "streamed");
  event.Tag = stream.FirstTag;
  for (const auto &it : stream.Software)
    event.Change += (event.Change.empty() ? "" : " ") + it;
  return hasEvents;
}

void SoakCallers::send(const std::shared_ptr<Call> &it) {
  constexpr std::uint64_t KeptOneIn = 3;
  bool usesKept = !KeptAddresses.empty() && LastId % KeptOneIn == 0;
  const auto &targets = usesKept ? KeptAddresses : Targets.All;
  auto address = targets[Random() % targets.size()];
  it->To = nodeNameOf(address);
  it->Connection = Pool.take(parseEndpoint(address), std::chrono::seconds(5));
  it->Reused = it->Connection->open();
  ++OpenCalls;
  ++Totals.Sent;
  auto &event = History.record("callers", "sent");
  event.Sending = it->Name;
  event.Tag = it->Tag;
  event.Adapter = it->Adapter;
  event.Service = it->Stream ? site::EngineService : site::PlainService;
  event.To = it->To;
  event.Key = it->AtMostOnce ? it->Tag : "";
  event.AskedAt = Targets.AskedAt;
  event.TimeToLive = Targets.TimeToLive;
  std::string body = "hi";
  HttpRequestHead head{"POST", it->Path + it->Tag, {}};
  auto add = [&head](std::string_view name, std::string value) {
    head.Fields.push_back({std::string(name), std::move(value)});
  };
  add("Host", "a.example");
  add(platform_name::RequestId, it->Tag);
  add(platform_name::TimeLeftMs,
      std::to_string(milliseconds(RequestTimeout).count()));
  add("Content-Length", std::to_string(body.size()));
  if (Workspaces)
    addKey(head, Workspaces->drawWorkspace());
  if (it->Stream) {
    add(platform_name::Weights, it->Adapter);
    add(platform_name::TokenCounts, "200,48");
    add(platform_name::PromptParts,
        "a1:100,b" + std::to_string(LastId) + ":100");
  }
  if (it->TakesUp) {
    add(platform_name::Resumes, it->Resumable->FirstTag);
    add(platform_name::ResumeBehind, std::to_string(it->Resumable->LastEvent));
  }
  HttpCallHooks hooks;
  hooks.OnHead = [it](const HttpAnswerHead &head) {
    it->Head = head;
    return true;
  };
  hooks.OnBody = [it](std::string_view part) { it->Body.append(part); };
  hooks.OnDone = [this, it] { onDone(it); };
  hooks.OnFailed = [this, it](HttpFailure how) {
    bool neverSent = how == HttpFailure::NotConnected || !it->Reused;
    finish(it, !it->Head && neverSent ? "none" : "unknown");
  };
  auto timeout = it->Aborts ? milliseconds(60) : RequestTimeout + AnswerGrace;
  Timers.after(timeout, [this, it](Instant) { finish(it, "left"); });
  it->Connection->call(writeHead(head), body, false, std::move(hooks));
}

void SoakCallers::onDone(const std::shared_ptr<Call> &call) {
  auto status = call->Head->Status;
  const auto *id = findField(call->Head->Fields, platform_name::RequestId);
  if (id && *id != call->Tag)
    return finish(call, "complete", "an answer to another request");
  if (status < 300) {
    bool hasSeal = findField(call->Head->Fields, platform_name::Seal);
    return finish(call, "complete", hasSeal ? "" : "a success without a seal");
  }
  if (isNotRunStatus(status))
    return finish(call, "not-run");
  if (status == 400 || status == 404)
    return finish(call, "failed", "refused though the route is there");
  finish(call, "failed");
}

void SoakCallers::finish(const std::shared_ptr<Call> &call, std::string outcome,
                         std::string fault) {
  if (std::exchange(call->Ended, true))
    return;
  --OpenCalls;
  if (outcome == "left" || outcome == "unknown" || outcome == "none" ||
      !call->Connection->reusable())
    call->Connection->abort();
  else
    Pool.give(call->Connection);
  if (call->Body.find(SoakProxy::EndlessText) != std::string::npos) {
    auto &got = History.record("callers", "got_endless");
    got.Tag = call->Tag;
    got.To = call->To;
  }
  bool hasEvents = call->Resumable && onStreamEnd(call, outcome != "complete" &&
                                                            outcome != "left");
  if (!call->Resumable && call->Stream)
    call->Body = StreamState().read(call->Body, call->Tag);
  Totals.Complete += outcome == "complete";
  Totals.Refused += outcome == "not-run";
  constexpr std::uint16_t TooManyRequests = 429;
  Totals.Limited += call->Head && call->Head->Status == TooManyRequests;
  Totals.Failed += outcome == "failed";
  Totals.Unknown += outcome == "unknown" || outcome == "none";
  Totals.Aborted += outcome == "left";
  auto &event = History.record("callers", "answered");
  event.Sending = call->Name;
  event.Tag = call->Tag;
  event.To = call->To;
  event.Key = call->AtMostOnce ? call->Tag : "";
  event.Outcome = std::move(outcome);
  event.BroughtEvents = hasEvents;
  if (call->TakesUp && call->IsServed && isServed(*call->Resumable))
    event.StreamPart = "goes-on";
  else if (call->Resumable && !call->TakesUp)
    event.StreamPart = "begins";
  event.Fault = std::move(fault);
  event.Status = call->Head ? call->Head->Status : 0;
  event.Hash = site::hashOf(call->Body);
  if (call->Head)
    if (const auto *by = findField(call->Head->Fields, "Served-By"))
      event.Adapter = *by;
}

void SoakCallers::probeNodes() {
  if (!Running)
    return;
  for (auto &it : Nodes)
    if (it->isRunning() && !it->isPaused() && !it->isStopping()) {
      probePlan(*it);
      if (Workspaces && Plan > 1)
        probeRevokedKey(*it);
    }
}

void SoakCallers::probePlan(SoakNode &node) {
  // Each version of the plan adds a route that exists only in it and in later
  // versions.
  HttpRequestHead head{"GET", "/probe/" + std::to_string(Plan) + "/", {}};
  head.Fields = {
      {"Host", "a.example"},
      {std::string(platform_name::RequestId), "p" + std::to_string(++LastId)},
      {std::string(platform_name::TimeLeftMs), "400"}};
  if (Workspaces)
    addKey(head, "free");
  auto askedAt = TimerService::now();
  auto connection = Pool.take(parseEndpoint(node.callerAddress()));
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
    // Only a success and 404 show which plan the node used.
    if (*status != NoRoute && *status >= MinErrorStatus)
      return;
    auto &event = History.record("callers", "in_force");
    event.To = name;
    event.AskedAt = askedAt;
    event.Revision = *status == NoRoute ? plan - 1 : plan;
  };
  connection->call(writeHead(head), "", false, std::move(hooks));
}

} // namespace hemlockglade::soak
