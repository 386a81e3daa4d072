#include "UnitTests/Platform/Soak/SoakReplica.h"

#include "Hemlockglade/Protocol/JsonText.h"
#include "platform/Names.h"

namespace hemlockglade::soak {

namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr auto BeatEvery = milliseconds(400);
constexpr auto StepEvery = milliseconds(8);
constexpr auto LoadTime = milliseconds(60);
/// How long a replica that leaves still serves, and then is gone.
constexpr auto ServesOn = milliseconds(2600);
/// How soon a request that crashes its replica does so, and how soon the
/// replica is back.
constexpr auto CrashAfter = milliseconds(20);
constexpr auto BackAfter = milliseconds(1500);
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

std::string site::wholeText(const std::string &tag, bool stream) {
  if (!stream)
    return "answer to " + tag;
  std::string out;
  for (int it = 1; it <= Events; ++it)
    out += eventText(tag, it);
  return out;
}

std::string site::hashOf(const std::string &text) {
  return std::to_string(std::hash<std::string>{}(text));
}

struct SoakReplica::Run {
  CallerRequest Request;
  std::shared_ptr<CallerReply> Reply;
  Instant ArrivedAt = TimerService::now();
  std::string Tag;
  std::string Adapter;
  std::uint64_t Version = 0;
  /// 0 until it begins to run.
  std::uint64_t Number = 0;
  bool Stream = false;
  bool BreaksOff = false;
  int Next = 1;
  bool Begun = false;
  bool Over = false;
};

SoakReplica::SoakReplica(asio::io_context &context, Settings settings,
                         SoakStore &store, SoakHistory &history,
                         std::uint64_t seed)
    : Context(context), Setup(std::move(settings)), Store(store),
      History(history), Timers(context), Random(seed), DelayRandom(seed),
      Link(context, 1) {
  start();
}

SoakReplica::~SoakReplica() { *Alive = false; }

void SoakReplica::start() {
  Incarnation = "i-" + std::to_string(Random());
  Leaving = false;
  Now = Mood::Well;
  Count = 0;
  Held.clear();
  Pending.clear();
  Going.clear();
  Uses.clear();
  CallerHooks hooks;
  hooks.Bounds = [] { return CallerBounds{}; };
  hooks.Closing = [this] { return Leaving; };
  hooks.OnRequest = [this](const CallerRequest &request, auto reply) {
    serve(request, reply);
  };
  Server = std::make_unique<CallerServer>(
      Context, asio::ip::tcp::endpoint{asio::ip::make_address("127.0.0.1"), 0},
      MaxConnections, std::move(hooks));
  Link.open();
  Link.setTarget(Server->port());
  note("started");
  Beat = Timers.every(BeatEvery, [this](Instant) { beat(); });
  beat();
}

void SoakReplica::crash() {
  Beat.reset();
  auto running = std::exchange(Running, {});
  for (const auto &it : running) {
    it->Reply->OnGone = nullptr;
    end(*it, "cut", false);
    it->Reply->abort();
  }
  Server.reset();
  // The random choice follows the start, so that others stay as they are.
  constexpr std::size_t Kinds = 3;
  Link.close(static_cast<SoakProxy::Remains>(
      std::hash<std::string>{}(Incarnation) % Kinds));
  // Its entry lapses after three beats without one.
  Timers.after(3 * BeatEvery,
               [this, gone = Incarnation, alive = Alive](Instant) {
                 if (*alive)
                   Store.remove(platform_name::ReplicaTable, gone);
               });
}

void SoakReplica::leave() {
  if (Leaving || !up())
    return;
  Leaving = true;
  // What it has taken begins before the time from which nothing may.
  for (const auto &it : std::set(Running))
    if (!it->Number)
      begin(it);
  beat();
  auto &event = note("listed");
  event.Endpoint = Incarnation;
  event.Leaving = true;
  Timers.after(ServesOn, [this, gone = Incarnation, alive = Alive](Instant) {
    if (*alive && up() && Incarnation == gone)
      crash();
  });
}

std::string SoakReplica::entry() const {
  Json node{{"service", Setup.Service},
            {"address", Link.address()},
            {"zone", Setup.FailureDomain},
            {"version", "v1"},
            {"slots", 8},
            {"sequence", Beats},
            {"cold_remaining_ms", 0},
            {"state", Leaving ? "draining" : "ready"}};
  if (Setup.Engine) {
    Json adapters = Json::array();
    for (const auto &[name, version] : Held)
      adapters.push_back(name + "@" + std::to_string(version));
    node["models"] = Json::array(
        {{{"name", site::Model}, {"version", 1}, {"adapters", adapters}}});
  }
  return node.dump();
}

void SoakReplica::beat() {
  ++Beats;
  Store.put(platform_name::ReplicaTable, Incarnation, entry());
}

void SoakReplica::serve(const CallerRequest &request,
                        const std::shared_ptr<CallerReply> &reply) {
  auto path = request.Head.path();
  auto meant = field(request, platform_name::Incarnation);
  auto tag = field(request, platform_name::RequestId);
  if (!meant.empty() && meant != Incarnation)
    return refuse(*reply, 421, tag);
  if (path == platform_name::OrderCall)
    return order(request, reply);
  if (path == platform_name::ReportCall)
    return reply->respond({200, {}}, report());
  if (Now == Mood::Sheds)
    return refuse(*reply, 503, tag);
  run(request, reply);
}

void SoakReplica::refuse(CallerReply &reply, std::uint16_t status,
                         const std::string &tag) {
  auto &event = note("refused");
  event.Tag = tag;
  event.Status = status;
  HttpAnswerHead head{
      status,
      {{std::string(platform_name::RequestId), tag},
       {std::string(platform_name::OwnIncarnation), Incarnation},
       {std::string(platform_name::NotRun), "1"}}};
  reply.respond(std::move(head), "");
}

std::string SoakReplica::report() const {
  Json node = Json::parse(entry());
  Json pending = Json::array();
  for (const auto &[name, version] : Pending)
    pending.push_back(std::string(site::Model) + "/" + name + "@" +
                      std::to_string(version));
  node["pending"] = pending;
  node["busy"] = false;
  node["sequence"] = Count;
  return node.dump();
}

void SoakReplica::order(const CallerRequest &request,
                        const std::shared_ptr<CallerReply> &reply) {
  auto node = Json::parse(request.Body);
  auto &event = note("ordered");
  event.Holder = node.at("holder");
  event.Fence = node.at("fencing_token");
  if (Now != Mood::LateOrders)
    return reply->respond({carryOut(request.Body), {}}, "{}");
  constexpr std::uint64_t MostMs = 5000;
  auto late = milliseconds(1000 + DelayRandom() % MostMs);
  Timers.after(late, [this, body = request.Body, reply, at = Incarnation,
                      alive = Alive](Instant) {
    if (*alive && up() && at == Incarnation)
      carryOut(body);
  });
}

std::uint16_t SoakReplica::carryOut(const std::string &body) {
  auto node = Json::parse(body);
  auto expected = node.value("if_revision", Count);
  if (expected != Count)
    return 409;
  auto adapter = node.value("adapter", std::string());
  if (adapter.empty())
    return 200;
  bool loads = node.at("operation") == "loading";
  if (loads) {
    auto version = node.value("version", std::uint64_t{1});
    if (Held.contains(adapter) && Held[adapter] >= version)
      return 200;
    ++Count;
    if (!load(adapter, version))
      asio::post(Context, [this, alive = Alive] {
        if (*alive && up())
          crash();
      });
    return 202;
  }
  ++Count;
  bool used = Uses[adapter] > 0;
  if (used)
    Going.insert(adapter);
  else
    unload(adapter);
  return used ? 202 : 200;
}

bool SoakReplica::load(const std::string &adapter, std::uint64_t version) {
  Pending[adapter] = version;
  std::set<std::string> places;
  for (const auto &[name, it] : Held)
    places.insert(name);
  for (const auto &[name, it] : Pending)
    places.insert(name);
  if (places.size() > site::AdapterPlaces) {
    note("overloaded").Adapter = adapter;
    return false;
  }
  Timers.after(LoadTime, [this, adapter, version, at = Incarnation,
                          alive = Alive](Instant) {
    if (!*alive || !up() || at != Incarnation || Pending.erase(adapter) == 0)
      return;
    Held[adapter] = version;
    note("loaded").Adapter = std::string(site::Model) + "/" + adapter + "@" +
                             std::to_string(version);
  });
  return true;
}

void SoakReplica::unload(const std::string &adapter) {
  Going.erase(adapter);
  Pending.erase(adapter);
  auto it = Held.find(adapter);
  if (it == Held.end())
    return;
  note("evicted").Adapter = std::string(site::Model) + "/" + adapter + "@" +
                            std::to_string(it->second);
  Held.erase(it);
}

HttpAnswerHead SoakReplica::head(std::uint16_t status, const Run &run) const {
  HttpAnswerHead out{status,
                     {{std::string(platform_name::RequestId), run.Tag},
                      {std::string(platform_name::OwnIncarnation), Incarnation},
                      {std::string(platform_name::Seal),
                       Incarnation + "." + std::to_string(run.Number)}}};
  if (!run.Adapter.empty())
    out.Fields.push_back(
        {"Served-By", run.Adapter + "@" + std::to_string(run.Version)});
  if (run.Stream)
    out.Fields.push_back({"Content-Type", "text/event-stream"});
  return out;
}

void SoakReplica::run(const CallerRequest &request,
                      const std::shared_ptr<CallerReply> &reply) {
  auto it = std::make_shared<Run>();
  it->Request = request;
  it->Reply = reply;
  it->Tag = field(request, platform_name::RequestId);
  it->Stream = Setup.Engine;
  if (Setup.Engine) {
    auto weights = field(request, platform_name::Weights);
    auto name = weights.substr(weights.find('/') + 1);
    auto held = Held.find(name);
    auto wanted = field(request, platform_name::WeightsVersion);
    if (held == Held.end() ||
        (!wanted.empty() && wanted != std::to_string(held->second)))
      return refuse(*reply, 421, it->Tag);
    if (Going.contains(name))
      return refuse(*reply, 503, it->Tag);
    it->Adapter = weights;
    it->Version = held->second;
    ++Uses[name];
  }
  if (request.Head.Target.ends_with(site::CrashingTarget) && OnCrashing)
    return crashUnder(reply, it->Tag);
  Running.insert(it);
  reply->OnGone = [this, it, alive = Alive] {
    if (*alive)
      end(*it, "cut", false);
  };
  if (Now != Mood::SlowToBegin || Leaving)
    return begin(it);
  constexpr std::uint64_t MostMs = 3000;
  Timers.after(milliseconds(DelayRandom() % MostMs),
               [this, it, alive = Alive](Instant) {
                 if (*alive && !it->Over && !it->Number)
                   begin(it);
               });
}

void SoakReplica::begin(const std::shared_ptr<Run> &it) {
  const auto &request = it->Request;
  it->Number = ++Runs;
  auto behind = field(request, platform_name::ResumeBehind);
  if (!behind.empty())
    it->Next = std::stoi(behind) + 1;
  it->BreaksOff = Now == Mood::BreaksOff && Random() % 2;
  noteRun(*it);
  if (Workspaces)
    Workspaces->onRun(
        field(request, SoakWorkspaces::Truth),
        Setup.Planted == Plant::MistakesWorkspace
            ? "another"
            : field(request, platform_name::Workspace),
        findField(request.Head.Fields, platform_name::CallerKey) != nullptr,
        TimerService::now());
  if (Setup.Planted == Plant::RunsTwice) {
    it->Number = ++Runs;
    noteRun(*it);
  }
  if (Setup.Planted == Plant::RunsRefused) {
    end(*it, "finished", true);
    return refuse(*it->Reply, 503, it->Tag);
  }
  if (Now == Mood::Hangs)
    return;
  Timers.after(it->Stream ? milliseconds(20) : milliseconds(15),
               [this, it, alive = Alive](Instant) {
                 if (*alive && !it->Over)
                   step(it);
               });
}

void SoakReplica::noteRun(const Run &run) {
  auto &event = note("ran");
  event.Tag = run.Tag;
  event.Run = run.Number;
  event.AskedAt = run.ArrivedAt;
  event.Adapter = run.Adapter.empty()
                      ? ""
                      : run.Adapter + "@" + std::to_string(run.Version);
}

void SoakReplica::crashUnder(const std::shared_ptr<CallerReply> &reply,
                             const std::string &tag) {
  if (Now == Mood::Fails) {
    // It fails requests before it begins to run them.
    Run run;
    run.Tag = tag;
    return reply->respond(head(500, run), "failed");
  }
  OnCrashing();
  Timers.after(CrashAfter,
               [this, reply, its = Incarnation, alive = Alive](Instant) {
                 if (!*alive || !up() || Incarnation != its)
                   return;
                 crash();
                 Timers.after(BackAfter, [this, alive](Instant) {
                   if (*alive && !up())
                     start();
                 });
               });
}

void SoakReplica::step(const std::shared_ptr<Run> &run) {
  if (Now == Mood::Fails) {
    end(*run, "finished", false);
    return run->Reply->respond(head(500, *run), "failed");
  }
  if (Now == Mood::LosesAnswers) {
    end(*run, "finished", true);
    return run->Reply->abort();
  }
  if (!run->Stream) {
    end(*run, "finished", true);
    bool swaps = Setup.Planted == Plant::SwapsAnswers;
    auto text = site::wholeText(swaps ? "another" : run->Tag, false);
    return run->Reply->respond(head(200, *run), text);
  }
  if (!std::exchange(run->Begun, true))
    run->Reply->begin(head(200, *run));
  auto text = site::eventText(run->Tag, run->Next);
  if (run->BreaksOff && run->Next > site::Events / 2) {
    end(*run, "cut", false);
    run->Reply->part(std::string_view(text).substr(0, text.size() / 2));
    return run->Reply->abort();
  }
  run->Reply->part(text);
  if (++run->Next > site::Events) {
    end(*run, "finished", true);
    return run->Reply->finish();
  }
  Timers.after(StepEvery, [this, run, alive = Alive](Instant) {
    if (*alive && !run->Over)
      step(run);
  });
}

void SoakReplica::end(Run &run, const char *how, bool whole) {
  if (std::exchange(run.Over, true))
    return;
  run.Reply->OnGone = nullptr;
  if (run.Number) {
    auto &event = note(how);
    event.Tag = run.Tag;
    event.Run = run.Number;
    event.Whole = whole;
    event.Hash = site::hashOf(site::wholeText(run.Tag, run.Stream));
  }
  std::erase_if(Running, [&run](const auto &it) { return it.get() == &run; });
  if (run.Adapter.empty())
    return;
  auto name = run.Adapter.substr(run.Adapter.find('/') + 1);
  if (--Uses[name] == 0 && Going.contains(name))
    unload(name);
}

} // namespace hemlockglade::soak
