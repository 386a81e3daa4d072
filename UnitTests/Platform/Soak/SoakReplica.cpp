#include "UnitTests/Platform/Soak/SoakReplicaRun.h"

#include "Hemlockglade/Protocol/JsonText.h"
#include "platform/Names.h"

#include <unistd.h>

namespace hemlockglade::soak {

namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr auto HeartbeatInterval = milliseconds(400);
constexpr auto StepInterval = milliseconds(8);
constexpr auto LoadTime = milliseconds(60);
/// How soon a request crashes its replica, and how soon after that the replica
/// starts again.
constexpr auto CrashDelay = milliseconds(20);
constexpr auto RestartDelay = milliseconds(1500);
constexpr std::size_t MaxConnections = 400;

std::string field(const CallerRequest &request, std::string_view name) {
  const auto *value = findField(request.Head.Fields, name);
  return value ? *value : "";
}

} // namespace

std::string site::eventText(const std::string &tag, int number) {
  return "id: " + std::to_string(number) + "\ndata: " + tag + " " +
         std::to_string(number) + "\n\n";
}

std::string site::fullText(const std::string &tag, bool stream) {
  if (!stream)
    return "answer to " + tag;
  std::string out;
  for (int it = 1; it <= StreamEvents; ++it)
    out += eventText(tag, it);
  return out;
}

std::string site::hashOf(const std::string &text) {
  return std::to_string(std::hash<std::string>{}(text));
}

SoakReplica::SoakReplica(asio::io_context &context, Settings settings,
                         SoakStore &store, SoakHistory &history,
                         std::uint64_t seed)
    : Context(context), Options(std::move(settings)), Store(store),
      History(history), Timers(context), Random(seed), DelayRandom(seed),
      Link(context, 1) {
  start();
}

SoakReplica::~SoakReplica() { *Alive = false; }

void SoakReplica::start() {
  Life = Random();
  // Another soak with the same seed, which may run beside this one, has other
  // incarnations.
  Incarnation = "i-" + std::to_string(Life) + "-" + std::to_string(::getpid());
  Draining = Leaving = false;
  CurrentMode = Mode::Healthy;
  RequestLimit.reset();
  Pause.reset();
  Revision = 0;
  Loaded.clear();
  Loading.clear();
  Evicting.clear();
  UseCounts.clear();
  Rejections.clear();
  Waiting.clear();
  CallerHooks hooks;
  hooks.Bounds = [] { return CallerBounds{}; };
  hooks.Closing = [this] { return Draining; };
  hooks.OnRequest = [this](const CallerRequest &request, auto reply) {
    serve(request, reply);
  };
  Server = std::make_unique<CallerServer>(
      Context, asio::ip::tcp::endpoint{asio::ip::make_address("127.0.0.1"), 0},
      MaxConnections, std::move(hooks));
  Link.open();
  Link.setTarget(Server->port());
  record("started");
  HeartbeatTimer =
      Timers.every(HeartbeatInterval, [this](Instant) { sendHeartbeat(); });
  sendHeartbeat();
}

void SoakReplica::setLimit(std::optional<double> perSecond) {
  if (!isRunning() || RequestLimit == perSecond)
    return;
  if (std::exchange(RequestLimit, perSecond))
    record("unlimited");
  if (perSecond)
    record("limited").Change = std::to_string(*perSecond);
}

void SoakReplica::setMaxRejections(std::optional<double> perSecond) {
  MaxRejections = perSecond;
  MaxRejectionsSince = TimerService::now();
  Rejections.clear();
}

void SoakReplica::crash() {
  setLimit(std::nullopt);
  HeartbeatTimer.reset();
  auto running = std::exchange(Running, {});
  for (const auto &it : running) {
    it->Reply->OnGone = nullptr;
    end(*it, "cut", false);
    it->Reply->abort();
  }
  Server.reset();
  // Derived from the incarnation rather than drawn, so that later draws from
  // the seed stay the same.
  constexpr std::size_t Kinds = 3;
  Link.close(static_cast<SoakProxy::ClosedMode>(
      std::hash<std::string>{}("i-" + std::to_string(Life)) % Kinds));
  // Its registry entry expires after three heartbeat intervals.
  Timers.after(3 * HeartbeatInterval,
               [this, expected = Incarnation, alive = Alive](Instant) {
                 if (*alive)
                   Store.remove(platform_name::ReplicaTable, expected);
               });
}

void SoakReplica::drain() {
  if (Draining || !isRunning())
    return;
  Draining = Leaving = true;
  // Accepted requests begin now, before the bound after which a draining
  // endpoint must not get new work.
  for (const auto &it : std::set(Running))
    if (!it->Number)
      begin(it);
  sendHeartbeat();
  auto &event = record("listed");
  event.Endpoint = Incarnation;
  event.Leaving = true;
  endAfterDraining();
}

void SoakReplica::leaveUnlisted() {
  if (Draining || Leaving || !isRunning())
    return;
  Leaving = true;
  endAfterDraining();
}

void SoakReplica::endAfterDraining() {
  Timers.after(Options.DrainTime,
               [this, expected = Incarnation, alive = Alive](Instant) {
                 if (*alive && isRunning() && Incarnation == expected)
                   crash();
               });
}

bool SoakReplica::isServing() const {
  switch (CurrentMode) {
  case Mode::Hangs:
  case Mode::Sheds:
  case Mode::LosesAnswers:
  case Mode::Fails:
    return false;
  case Mode::Healthy:
  case Mode::TruncatesStreams:
  case Mode::DelaysStart:
  case Mode::DelaysOrders:
    break;
  }
  return isRunning() && !Draining && !Leaving;
}

void SoakReplica::replace(const std::string &software) {
  drain();
  constexpr auto Pause = milliseconds(300);
  Timers.after(Options.DrainTime + Pause,
               [this, software, alive = Alive](Instant) {
                 if (!*alive || isRunning())
                   return;
                 Options.Software = software;
                 start();
               });
}

std::string SoakReplica::registryEntry() const {
  Json node{{"service", Options.Service},
            {"address", Link.address()},
            {"zone", Options.FailureDomain},
            {"version", Options.Software},
            {"slots", Options.Slots},
            {"sequence", Heartbeats},
            {"cold_remaining_ms", 0},
            {"state", Draining ? "draining" : "ready"}};
  if (Options.Engine) {
    Json adapters = Json::array();
    for (const auto &[name, version] : Loaded)
      adapters.push_back(name + "@" + std::to_string(version));
    node["models"] = Json::array(
        {{{"name", site::Model}, {"version", 1}, {"adapters", adapters}}});
  }
  return node.dump();
}

void SoakReplica::sendHeartbeat() {
  ++Heartbeats;
  Store.put(platform_name::ReplicaTable, Incarnation, registryEntry());
}

void SoakReplica::serve(const CallerRequest &request,
                        const std::shared_ptr<CallerReply> &reply) {
  auto path = request.Head.path();
  auto requestedIncarnation = field(request, platform_name::Incarnation);
  auto tag = field(request, platform_name::RequestId);
  if (!requestedIncarnation.empty() && requestedIncarnation != Incarnation)
    return refuse(*reply, 421, tag);
  if (path == platform_name::OrderCall)
    return onOrder(request, reply);
  if (path == platform_name::ReportCall)
    return reply->respond({200, {}}, report());
  auto &arrived = record("arrived");
  arrived.Tag = tag;
  arrived.Service = Options.Service;
  if (Pause)
    return refuseWithPause(*reply, tag);
  if (CurrentMode == Mode::Sheds)
    return refuse(*reply, 503, tag);
  accept(request, reply);
}

std::string SoakReplica::report() const {
  Json node = Json::parse(registryEntry());
  Json pending = Json::array();
  for (const auto &[name, version] : Loading)
    pending.push_back(std::string(site::Model) + "/" + name + "@" +
                      std::to_string(version));
  node["pending"] = pending;
  node["busy"] = false;
  node["sequence"] = Revision;
  return node.dump();
}

void SoakReplica::onOrder(const CallerRequest &request,
                          const std::shared_ptr<CallerReply> &reply) {
  auto node = Json::parse(request.Body);
  auto &event = record("ordered");
  event.Holder = node.at("holder");
  event.Fence = node.at("fencing_token");
  if (CurrentMode != Mode::DelaysOrders)
    return reply->respond({execute(request.Body), {}}, "{}");
  constexpr std::uint64_t MaxDelayMs = 5000;
  auto delay = milliseconds(1000 + DelayRandom() % MaxDelayMs);
  Timers.after(delay, [this, body = request.Body, reply, expected = Incarnation,
                       alive = Alive](Instant) {
    if (*alive && isRunning() && expected == Incarnation)
      execute(body);
  });
}

std::uint16_t SoakReplica::execute(const std::string &body) {
  auto node = Json::parse(body);
  auto expected = node.value("if_revision", Revision);
  if (expected != Revision)
    return 409;
  auto adapter = node.value("adapter", std::string());
  if (adapter.empty())
    return 200;
  bool isLoad = node.at("operation") == "loading";
  if (isLoad) {
    auto version = node.value("version", std::uint64_t{1});
    if (Loaded.contains(adapter) && Loaded[adapter] >= version)
      return 200;
    ++Revision;
    if (!load(adapter, version))
      asio::post(Context, [this, alive = Alive] {
        if (*alive && isRunning())
          crash();
      });
    return 202;
  }
  ++Revision;
  bool isUsed = UseCounts[adapter] > 0;
  if (isUsed)
    Evicting.insert(adapter);
  else
    unload(adapter);
  return isUsed ? 202 : 200;
}

bool SoakReplica::load(const std::string &adapter, std::uint64_t version) {
  Loading[adapter] = version;
  std::set<std::string> slots;
  for (const auto &[name, it] : Loaded)
    slots.insert(name);
  for (const auto &[name, it] : Loading)
    slots.insert(name);
  if (slots.size() > site::AdapterSlots) {
    record("overloaded").Adapter = adapter;
    return false;
  }
  Timers.after(
      scaled(LoadTime, Options.TimeFactor),
      [this, adapter, version, expected = Incarnation, alive = Alive](Instant) {
        if (!*alive || !isRunning() || expected != Incarnation ||
            Loading.erase(adapter) == 0)
          return;
        Loaded[adapter] = version;
        record("loaded").Adapter = std::string(site::Model) + "/" + adapter +
                                   "@" + std::to_string(version);
      });
  return true;
}

void SoakReplica::unload(const std::string &adapter) {
  Evicting.erase(adapter);
  Loading.erase(adapter);
  auto it = Loaded.find(adapter);
  if (it == Loaded.end())
    return;
  record("evicted").Adapter = std::string(site::Model) + "/" + adapter + "@" +
                              std::to_string(it->second);
  Loaded.erase(it);
}

void SoakReplica::accept(const CallerRequest &request,
                         const std::shared_ptr<CallerReply> &reply) {
  auto it = std::make_shared<Run>();
  it->Request = request;
  it->Reply = reply;
  it->Tag = field(request, platform_name::RequestId);
  it->Stream = Options.Engine;
  if (Options.Engine) {
    auto weights = field(request, platform_name::Weights);
    auto name = weights.substr(weights.find('/') + 1);
    auto loaded = Loaded.find(name);
    auto wanted = field(request, platform_name::WeightsVersion);
    if (loaded == Loaded.end() ||
        (!wanted.empty() && wanted != std::to_string(loaded->second)))
      return refuse(*reply, 421, it->Tag);
    if (Evicting.contains(name))
      return refuse(*reply, 503, it->Tag);
    it->Adapter = weights;
    it->Version = loaded->second;
    ++UseCounts[name];
  }
  if (request.Head.Target.ends_with(site::CrashingTargetSuffix) && OnCrash)
    return crashAfterDelay(reply, it->Tag);
  if (field(request, platform_name::PromptParts).find(site::CrashingPart) !=
          std::string::npos &&
      OnPartCrash)
    return crashByPart(reply, *it);
  auto waiting = std::count_if(Waiting.begin(), Waiting.end(),
                               [](const auto &at) { return !at->Ended; });
  bool isFull = Running.size() >= Options.Slots;
  if (Options.LimitsRoom && isFull &&
      static_cast<std::size_t>(waiting) >= maxWaiting()) {
    if (Options.Engine)
      --UseCounts[it->Adapter.substr(it->Adapter.find('/') + 1)];
    return rejectForRoom(*reply, it->Tag);
  }
  Running.insert(it);
  reply->OnGone = [this, it, alive = Alive] {
    if (*alive)
      end(*it, "cut", false);
  };
  if (Options.LimitsRoom && !Draining) {
    Waiting.push_back(it);
    return beginWaiting();
  }
  if (CurrentMode != Mode::DelaysStart || Draining)
    return begin(it);
  constexpr std::uint64_t MaxDelayMs = 3000;
  Timers.after(milliseconds(DelayRandom() % MaxDelayMs),
               [this, it, alive = Alive](Instant) {
                 if (*alive && !it->Ended && !it->Number)
                   begin(it);
               });
}

void SoakReplica::beginWaiting() {
  auto begun = [this] {
    return static_cast<std::size_t>(
        std::count_if(Running.begin(), Running.end(),
                      [](const auto &it) { return it->Number > 0; }));
  };
  while (!Waiting.empty() && begun() < Options.Slots) {
    auto next = Waiting.front();
    Waiting.pop_front();
    if (!next->Ended)
      begin(next);
  }
}

void SoakReplica::begin(const std::shared_ptr<Run> &it) {
  const auto &request = it->Request;
  it->Number = ++RunCount;
  auto resumeAfter = field(request, platform_name::ResumeBehind);
  if (!resumeAfter.empty())
    it->NextEvent = std::stoi(resumeAfter) + 1;
  // Behind some events of this run, also of one that goes on with a stream.
  constexpr int MaxEventsBefore = site::StreamEvents / 2;
  if (CurrentMode == Mode::TruncatesStreams && Random() % 2)
    it->TruncatedAt =
        it->NextEvent + 1 + static_cast<int>(DelayRandom() % MaxEventsBefore);
  recordRun(*it);
  if (Workspaces)
    Workspaces->onRun(
        field(request, SoakWorkspaces::SenderField),
        Options.Planted == PlantedViolation::WrongWorkspace
            ? "another"
            : field(request, platform_name::Workspace),
        findField(request.Head.Fields, platform_name::CallerKey) != nullptr,
        TimerService::now());
  if (Options.Planted == PlantedViolation::RunsTwice) {
    it->Number = ++RunCount;
    recordRun(*it);
  }
  if (Options.Planted == PlantedViolation::RunsRefused) {
    end(*it, "finished", true);
    return refuse(*it->Reply, 503, it->Tag);
  }
  if (CurrentMode == Mode::Hangs)
    return;
  Timers.after(it->Stream ? scaled(milliseconds(20), Options.TimeFactor)
                          : Options.WorkTime,
               [this, it, alive = Alive](Instant) {
                 if (*alive && !it->Ended)
                   step(it);
               });
}

void SoakReplica::recordRun(const Run &run) {
  auto &event = record("ran");
  event.Tag = run.Tag;
  event.Run = run.Number;
  event.AskedAt = run.ArrivedAt;
  event.Adapter = run.Adapter.empty()
                      ? ""
                      : run.Adapter + "@" + std::to_string(run.Version);
}

void SoakReplica::crashAfterDelay(const std::shared_ptr<CallerReply> &reply,
                                  const std::string &tag) {
  if (CurrentMode == Mode::Fails) {
    // The request fails before it begins to run.
    Run run;
    run.Tag = tag;
    return reply->respond(head(500, run), "failed");
  }
  OnCrash();
  Timers.after(CrashDelay,
               [this, reply, expected = Incarnation, alive = Alive](Instant) {
                 if (!*alive || !isRunning() || Incarnation != expected)
                   return;
                 crash();
                 Timers.after(RestartDelay, [this, alive](Instant) {
                   if (*alive && !isRunning())
                     start();
                 });
               });
}

void SoakReplica::crashByPart(const std::shared_ptr<CallerReply> &reply,
                              const Run &run) {
  OnPartArrived();
  auto begins = DelayRandom() % 2 == 0;
  auto answer = head(200, run);
  Timers.after(CrashDelay, [this, reply, begins, answer, tag = run.Tag,
                            expected = Incarnation, alive = Alive](Instant) {
    if (!*alive || !isRunning() || Incarnation != expected)
      return;
    OnPartCrash();
    if (begins) {
      reply->begin(answer);
      reply->part(site::eventText(tag, 1));
    }
    asio::post(Context, [this, expected, alive] {
      if (!*alive || !isRunning() || Incarnation != expected)
        return;
      crash();
      Timers.after(RestartDelay, [this, alive](Instant) {
        if (*alive && !isRunning())
          start();
      });
    });
  });
}

void SoakReplica::step(const std::shared_ptr<Run> &run) {
  if (CurrentMode == Mode::Fails) {
    end(*run, "finished", false);
    return run->Reply->respond(head(500, *run), "failed");
  }
  if (CurrentMode == Mode::LosesAnswers) {
    end(*run, "finished", true);
    return run->Reply->abort();
  }
  if (!run->Stream) {
    end(*run, "finished", true);
    bool isSwapped = Options.Planted == PlantedViolation::SwapsAnswers;
    auto text = site::fullText(isSwapped ? "another" : run->Tag, false);
    text.append(Options.PaddingBytes, ' ');
    return run->Reply->respond(head(200, *run), text);
  }
  if (!std::exchange(run->HeadSent, true))
    run->Reply->begin(head(200, *run));
  auto text = site::eventText(run->Tag, run->NextEvent);
  text.insert(text.find('\n') + 1, "software: " + Options.Software + "\n");
  if (run->NextEvent == run->TruncatedAt) {
    end(*run, "cut", false);
    run->Reply->part(std::string_view(text).substr(0, text.size() / 2));
    return run->Reply->abort();
  }
  run->Reply->part(text);
  if (++run->NextEvent > site::StreamEvents) {
    end(*run, "finished", true);
    return run->Reply->finish();
  }
  Timers.after(scaled(StepInterval, Options.TimeFactor),
               [this, run, alive = Alive](Instant) {
                 if (*alive && !run->Ended)
                   step(run);
               });
}

void SoakReplica::end(Run &run, const char *how, bool isComplete) {
  if (std::exchange(run.Ended, true))
    return;
  run.Reply->OnGone = nullptr;
  if (run.Number) {
    auto &event = record(how);
    event.Tag = run.Tag;
    event.Run = run.Number;
    event.Whole = isComplete;
    event.Hash = site::hashOf(site::fullText(run.Tag, run.Stream));
  }
  std::erase_if(Running, [&run](const auto &it) { return it.get() == &run; });
  if (Options.LimitsRoom && !Draining)
    asio::post(Context, [this, alive = Alive] {
      if (*alive && isRunning())
        beginWaiting();
    });
  if (run.Adapter.empty())
    return;
  auto name = run.Adapter.substr(run.Adapter.find('/') + 1);
  if (--UseCounts[name] == 0 && Evicting.contains(name))
    unload(name);
}

} // namespace hemlockglade::soak
