#include "UnitTests/Platform/Soak/SoakWorld.h"

#include "Hemlockglade/Protocol/JsonText.h"
#include "platform/Names.h"

#include <algorithm>
#include <iostream>
#include <unistd.h>

namespace hemlockglade::soak {

namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

const std::vector<std::string> Domains{"hall-a", "hall-b", "hall-c"};
constexpr int PlainReplicas = 3;
constexpr auto QuietTime = seconds(4);
constexpr auto MaxFaultTime = milliseconds(5000);

Json route(const std::string &prefix, const std::string &type,
           std::string_view service, int attempts, bool resumable) {
  Json out{{"name", "r" + prefix},  {"host", "a.example"},
           {"prefix", prefix},      {"type", type},
           {"timeout_ms", 3000},    {"target_latency_ms", 500},
           {"target_gap_ms", 200},  {"priority", 1},
           {"service", service},    {"max_attempts", attempts},
           {"resumable", resumable}};
  return out;
}

} // namespace

SoakWorld::SoakWorld(Settings settings)
    : Options(std::move(settings)), Random(Options.Seed),
      EntriesRandom(Options.Seed), RevertRandom(Options.Seed),
      VersionRandom(Options.Seed), LimitRandom(Options.Seed),
      StaleListRandom(Options.Seed), CutOffRandom(Options.Seed),
      LivesRandom(Options.Seed), ReleaseRandom(Options.Seed),
      BrittleRandom(Options.Seed), PauseRandom(Options.Seed),
      LeaveRandom(Options.Seed), HotRandom(Options.Seed),
      EndlessRandom(Options.Seed), RepeatRandom(Options.Seed),
      CrowdRandom(Options.Seed), Timers(Context), Store(Context, Random()),
      Callers(Context, Nodes, History, Random()) {
  TerminationSignals.async_wait([this](asio::error_code ec, int) {
    if (ec)
      return;
    Nodes.clear();
    std::exit(2);
  });
  Callers.setRate(Options.Rate);
  Callers.setCrashingInterval(Options.CrashingInterval);
  Callers.setCrashingPartInterval(Options.CrashingPartInterval);
  Callers.setServingCount([this](const std::string &software) {
    return static_cast<int>(
        std::count_if(Replicas.begin(), Replicas.end(), [&](const auto &it) {
          return it->settings().Engine && it->isServing() &&
                 it->settings().Software == software;
        }));
  });
  buildReplicas();
  declarePlan();
  buildNodes();
}

SoakWorld::~SoakWorld() = default;

void SoakWorld::buildReplicas() {
  for (int it = 0; it < Options.Engines + PlainReplicas; ++it) {
    SoakReplica::Settings replica;
    replica.Engine = it < Options.Engines;
    replica.Planted = Options.Planted;
    if (Options.BrittleInterval > Span(0)) {
      replica.LimitsRoom = true;
      // Fewer slots than gateways, and so few that bursts fill them.
      constexpr std::uint32_t PlainSlots = 3;
      replica.Slots = replica.Engine ? replica.Slots : PlainSlots;
      replica.WorkTime = milliseconds(60);
    }
    if (Options.RepeatInterval > Span(0) && !replica.Engine) {
      replica.LimitsRoom = true;
      // One that rejects most of what comes, from all gateways alike.
      replica.Slots = 1;
      replica.WorkTime = milliseconds(60);
    }
    if (Options.StaleListInterval > Span(0) || Options.LeaveInterval > Span(0))
      replica.DrainTime = seconds(5);
    replica.Service = replica.Engine ? site::EngineService : site::PlainService;
    // So that each failure domain has engines of different speeds.
    static constexpr std::array<double, 3> TimeFactors{0.6, 1, 1.6};
    if (Options.Uneven && replica.Engine)
      replica.TimeFactor = TimeFactors[static_cast<std::size_t>(it + it / 3) %
                                       TimeFactors.size()];
    replica.FailureDomain =
        Domains[static_cast<std::size_t>(it) % Domains.size()];
    Replicas.push_back(std::make_unique<SoakReplica>(
        Context, std::move(replica), Store, History, Random()));
    Replicas.back()->OnCrash = [this] {
      log("a request crashes a replica");
      Crashes.push_back(TimerService::now());
    };
    Replicas.back()->link().OnEndless =
        [this, &replica = *Replicas.back()](const auto &answer) {
          recordEndless(replica, answer);
        };
    Replicas.back()->OnPartArrived = [this] {
      PartArrivals.push_back(TimerService::now());
    };
    Replicas.back()->OnPartCrash = [this] {
      log("a part crashes a replica");
      PartCrashes.push_back(TimerService::now());
    };
  }
}

void SoakWorld::buildNodes() {
  std::vector<std::string> seeds;
  for (int it = 0; it < std::min(3, Options.Nodes); ++it)
    seeds.push_back(Network.address(it) + ":" +
                    std::to_string(LoopbackNetwork::FirstPort + 4));
  for (int it = 0; it < Options.Nodes; ++it) {
    SoakNode::Settings node;
    node.Program = Options.Program;
    node.Folder = Options.Folder;
    node.Name = "n" + std::to_string(it);
    node.FailureDomain = Domains[static_cast<std::size_t>(it) % Domains.size()];
    node.Address = Network.address(it);
    node.FirstPort = LoopbackNetwork::FirstPort;
    node.Seeds = seeds;
    node.VersionBound = Options.VersionBound;
    node.RepeatExtra = Options.RepeatExtra;
    node.RanksLoads = Options.HotInterval > Span(0);
    node.ProxiesPeers = Options.StaleListInterval > Span(0);
    if (Options.Planted == SoakReplica::PlantedViolation::HoldsCrowds)
      node.MoreSettings = "request_memory_mb: 2048\n";
    else if (Options.CrowdInterval > Span(0))
      node.MaxDataBytes = MachineBytes;
    Nodes.push_back(std::make_unique<SoakNode>(Context, std::move(node),
                                               Store.port(), History));
    Nodes.back()->start();
  }
}

void SoakWorld::runFor(Span span) {
  Context.restart();
  Context.run_for(span);
}

void SoakWorld::runScenario(Span faultTime) {
  if (Options.Workspaces) {
    Callers.setWorkspaces(&Workspaces);
    for (auto &it : Replicas)
      it->setWorkspaces(&Workspaces);
  }
  constexpr auto ProcessCheckInterval = milliseconds(20);
  ProcessTimer = Timers.every(ProcessCheckInterval, [this](Instant) {
    for (auto &it : Nodes)
      it->checkProcess();
  });
  constexpr auto MemorySampleInterval = milliseconds(100);
  if (Options.CrowdInterval > Span(0))
    MemoryTimer = Timers.every(MemorySampleInterval,
                               [this](Instant) { samplePeakMemory(); });
  // Time for leases to be acquired and the first adapters to be loaded.
  constexpr auto StartupTime = seconds(2);
  runFor(StartupTime);
  Callers.start();
  runFor(StartupTime);
  InjectsFaults = true;
  scheduleFault();
  DeclaresVersions = Options.VersionInterval > Span(0);
  StatesLimits = Options.LimitInterval > Span(0);
  repeatWhile(InjectsFaults, Options.EntriesInterval,
              &SoakWorld::injectEntriesFault);
  repeatWhile(InjectsFaults, Options.RevertInterval, &SoakWorld::revertStore);
  repeatWhile(DeclaresVersions, Options.VersionInterval,
              &SoakWorld::injectVersionFault);
  repeatWhile(StatesLimits, Options.LimitInterval, &SoakWorld::injectLimit);
  repeatWhile(InjectsFaults, Options.StaleListInterval,
              &SoakWorld::injectStaleList);
  repeatWhile(InjectsFaults, Options.CutOffInterval, &SoakWorld::injectCutOff);
  repeatWhile(InjectsFaults, Options.LivesInterval, &SoakWorld::injectLives);
  repeatWhile(InjectsFaults, Options.ReleaseInterval,
              &SoakWorld::injectRelease);
  repeatWhile(InjectsFaults, Options.BrittleInterval,
              &SoakWorld::injectBrittle);
  repeatWhile(InjectsFaults, Options.PauseInterval, &SoakWorld::injectPauses);
  repeatWhile(InjectsFaults, Options.LeaveInterval, &SoakWorld::injectLeave);
  repeatWhile(InjectsFaults, Options.HotInterval, &SoakWorld::changeHotAdapter);
  repeatWhile(InjectsFaults, Options.EndlessInterval,
              &SoakWorld::injectEndless);
  repeatWhile(InjectsFaults, Options.RepeatInterval, &SoakWorld::injectRepeats);
  repeatWhile(InjectsFaults, Options.CrowdInterval, &SoakWorld::injectCrowd);
  runFor(faultTime);
  InjectsFaults = false;
  restoreAll();
  causeOutage();
  runFor(Options.Recovery);
  DeclaresVersions = false;
  StatesLimits = false;
  for (auto &it : Replicas)
    it->setLimit(std::nullopt);
  setBrittle(site::PlainService, std::nullopt);
  setBrittle(site::EngineService, std::nullopt);
  auto before = Callers.counts();
  runFor(QuietTime);
  auto after = Callers.counts();
  QuietRevoked = {after.RevokedSent - before.RevokedSent,
                  after.RevokedServed - before.RevokedServed};
  QuietCounts = {after.Sent - before.Sent - (after.Aborted - before.Aborted) -
                     (after.Limited - before.Limited),
                 after.Complete - before.Complete};
  Callers.stop();
  constexpr auto MaxIdleWait = seconds(5);
  constexpr auto IdleCheckInterval = milliseconds(100);
  auto until = TimerService::now() + MaxIdleWait;
  while (!Callers.isIdle() && TimerService::now() < until)
    runFor(IdleCheckInterval);
}

void SoakWorld::causeOutage() {
  // An outage without other faults. Nodes that ran throughout must have a plan
  // that is confirmed at its end in force within the usual bound.
  constexpr auto UndisturbedTime = seconds(3);
  runFor(UndisturbedTime);
  log("the store is silent");
  setStoreMode(SoakStore::Mode::Silent);
  runFor(milliseconds(100) + randomUpTo(MaxFaultTime));
  setStoreMode(SoakStore::Mode::Healthy);
  declarePlan();
}

int SoakWorld::unexpectedEnds() const {
  int n = 0;
  for (const auto &it : Nodes)
    n += it->unexpectedEnds();
  return n;
}

void SoakWorld::log(const std::string &what) {
  std::cout << TimerService::now().count() / 1000 << " " << what << '\n';
}

void SoakWorld::repeatWhile(const bool &condition, Span interval,
                            void (SoakWorld::*action)()) {
  if (interval <= Span(0))
    return;
  Timers.after(interval, [this, &condition, interval, action](Instant) {
    if (!condition)
      return;
    (this->*action)();
    repeatWhile(condition, interval, action);
  });
}

void SoakWorld::scheduleFault() {
  Timers.after(randomUpTo(2 * Options.FaultInterval), [this](Instant) {
    if (!InjectsFaults)
      return;
    injectFault();
    scheduleFault();
  });
}

void SoakWorld::injectFault() {
  constexpr std::uint64_t Kinds = 10;
  switch (Random() % Kinds) {
  case 0:
  case 1:
  case 2:
    return injectNodeFault(randomOf(Nodes));
  case 3:
    return injectStoreFault();
  case 4:
  case 5:
    return injectLinkFault();
  case 6:
    return declareOrDeferPlan();
  case 7:
    return declareVersion(1 + Random() % 5);
  default:
    return injectReplicaFault(randomOf(Replicas));
  }
}

void SoakWorld::injectEntriesFault() {
  constexpr std::uint64_t Kinds = 3;
  auto kind = EntriesRandom() % Kinds;
  auto addresses = Callers.knownAddresses();
  for (auto &it : Nodes)
    if (std::count(addresses.begin(), addresses.end(), it->callerAddress()))
      injectNodeFault(*it, kind);
}

void SoakWorld::injectVersionFault() {
  // New versions of three adapters are declared often, of the others rarely.
  constexpr std::uint64_t FrequentAdapters = 3;
  constexpr std::uint64_t RareAdapters = 5;
  auto isRare = VersionRandom() % 4 == 0;
  declareVersion(1 + (isRare ? FrequentAdapters + VersionRandom() % RareAdapters
                             : VersionRandom() % FrequentAdapters));
  auto kind = VersionRandom() % 4;
  auto at = VersionRandom() % static_cast<std::uint64_t>(Options.Engines);
  auto span = milliseconds(500 + VersionRandom() % 5000);
  if (!InjectsFaults || kind > 1)
    return;
  auto &engine = **std::next(Replicas.begin(), static_cast<std::ptrdiff_t>(at));
  log("engine " + engine.incarnation() +
      (kind ? " is slow to begin" : " carries orders out late"));
  engine.setMode(kind ? SoakReplica::Mode::DelaysStart
                      : SoakReplica::Mode::DelaysOrders);
  Timers.after(
      span, [&engine](Instant) { engine.setMode(SoakReplica::Mode::Healthy); });
}

void SoakWorld::injectLimit() {
  constexpr std::uint64_t Steps = 40;
  constexpr double StepPerSecond = 0.1;
  auto at = LimitRandom() % Replicas.size();
  auto perSecond =
      StepPerSecond * static_cast<double>(1 + LimitRandom() % Steps);
  auto span = milliseconds(4000 + LimitRandom() % 6000);
  auto &replica =
      **std::next(Replicas.begin(), static_cast<std::ptrdiff_t>(at));
  log("replica " + replica.incarnation() + " states a limit of " +
      std::to_string(perSecond));
  replica.setLimit(perSecond);
  Timers.after(span, [&replica](Instant) { replica.setLimit(std::nullopt); });
}

void SoakWorld::injectNodeFault(SoakNode &node, std::uint64_t kind) {
  auto delay = milliseconds(200) + randomUpTo(MaxFaultTime);
  switch (kind) {
  case 0:
    log("kill " + node.name());
    node.kill();
    break;
  case 1:
    log("pause " + node.name());
    node.pause();
    Timers.after(delay, [&node](Instant) { node.resume(); });
    return;
  case 2:
    log("terminate " + node.name());
    node.terminate();
    break;
  default:
    log("reload " + node.name());
    node.reload();
    return;
  }
  // The node is started again after it must have ended.
  Timers.after(delay + SoakNode::StopBound + seconds(2),
               [&node](Instant) { node.start(); });
}

void SoakWorld::setStoreMode(SoakStore::Mode mode) {
  Store.setMode(mode);
  bool isDisturbed = mode != SoakStore::Mode::Healthy;
  if (isDisturbed == std::exchange(StoreDisturbed, isDisturbed))
    return;
  History.record("soak", isDisturbed ? "silent" : "answering").Endpoint =
      "platform";
  for (auto &it : Nodes)
    it->onDisturbance(isDisturbed);
  // Operators also write during outages, so that changes are confirmed when an
  // outage ends. A node whose poll was lost in the outage would miss them.
  if (!isDisturbed && (std::exchange(PlanDeferred, false) || Random() % 2))
    declarePlan();
}

void SoakWorld::injectStoreFault() {
  constexpr std::uint64_t Modes = 6;
  auto kind = Random() % Modes;
  if (kind == 5) {
    log("the store drops its history");
    return Store.truncateChangeLog();
  }
  if (StoreDisturbed)
    return;
  auto mode =
      static_cast<SoakStore::Mode>(1 + std::min<std::uint64_t>(kind, 3));
  log("store mood " + std::to_string(static_cast<int>(mode)));
  setStoreMode(mode);
  Timers.after(milliseconds(200) + randomUpTo(MaxFaultTime),
               [this](Instant) { setStoreMode(SoakStore::Mode::Healthy); });
}

void SoakWorld::revertStore() {
  if (StoreDisturbed)
    return;
  constexpr std::int64_t MaxAgeMs = 8000;
  constexpr std::int64_t MaxOutageMs = 2000;
  auto upToMs = [this](std::int64_t max) {
    return milliseconds(1 +
                        static_cast<std::int64_t>(
                            RevertRandom() % static_cast<std::uint64_t>(max)));
  };
  auto age = upToMs(MaxAgeMs);
  log("the store goes away");
  setStoreMode(SoakStore::Mode::Silent);
  Timers.after(upToMs(MaxOutageMs), [this, age](Instant) {
    log("the store is back as it was " + std::to_string(age.count()) +
        " ms before");
    Store.revertBy(age);
    setStoreMode(SoakStore::Mode::Healthy);
    // The revert may have restored entries of replicas that have ended; they
    // expire again.
    constexpr auto EntryTimeout = milliseconds(1200);
    Timers.after(EntryTimeout, [this](Instant) {
      std::set<std::string> up;
      for (const auto &it : Replicas)
        if (it->isRunning())
          up.insert(it->incarnation());
      for (const auto &key : Store.keys(platform_name::ReplicaTable))
        if (!up.contains(key))
          Store.remove(platform_name::ReplicaTable, key);
    });
  });
}

void SoakWorld::injectLinkFault() {
  constexpr std::uint64_t Faults = 4;
  auto fault = static_cast<SoakProxy::Fault>(1 + Random() % Faults);
  auto span = milliseconds(200) + randomUpTo(MaxFaultTime);
  if (Random() % 2) {
    auto &node = randomOf(Nodes);
    if (node.link().fault() != SoakProxy::Fault::None)
      return;
    log("store link of " + node.name() + " harm " +
        std::to_string(static_cast<int>(fault)));
    node.link().setFault(fault);
    node.onDisturbance(true);
    History.record("soak", "harmed").To = node.name();
    Timers.after(span, [this, &node](Instant) {
      node.link().setFault(SoakProxy::Fault::None);
      node.onDisturbance(false);
      History.record("soak", "mended").To = node.name();
    });
    return;
  }
  auto &replica = randomOf(Replicas);
  log("link of " + replica.incarnation() + " harm " +
      std::to_string(static_cast<int>(fault)));
  replica.link().setFault(fault);
  History.record("soak", "harmed");
  Timers.after(span, [this, &replica](Instant) {
    replica.link().setFault(SoakProxy::Fault::None);
    History.record("soak", "mended");
  });
}

void SoakWorld::injectReplicaFault(SoakReplica &replica) {
  constexpr std::uint64_t Kinds = 8;
  auto kind = Random() % Kinds;
  auto span = milliseconds(500) + randomUpTo(MaxFaultTime);
  if (kind < 2) {
    log((kind ? "crash " : "leave ") + replica.incarnation());
    if (kind)
      replica.crash();
    else
      replica.drain();
    Timers.after(span + seconds(3), [&replica](Instant) {
      if (!replica.isRunning())
        replica.start();
    });
    return;
  }
  constexpr std::uint64_t Modes = 5;
  auto mode = static_cast<SoakReplica::Mode>(1 + Random() % Modes);
  log("replica " + replica.incarnation() + " mood " +
      std::to_string(static_cast<int>(mode)));
  replica.setMode(mode);
  Timers.after(span, [&replica](Instant) {
    replica.setMode(SoakReplica::Mode::Healthy);
  });
}

void SoakWorld::declareOrDeferPlan() {
  auto mode = Store.mode();
  if (mode == SoakStore::Mode::Silent || mode == SoakStore::Mode::Busy)
    PlanDeferred = true;
  else
    declarePlan();
}

void SoakWorld::declarePlan() {
  ++Plan;
  log("plan " + std::to_string(Plan));
  Json models = Json::array({{{"name", site::Model},
                              {"weights_mb", 900},
                              {"load_time_s", 2.0},
                              {"adapters", site::AdapterCount},
                              {"adapter_size_mb", 1.0}}});
  Json engine{{"slots", 8},         {"kv_capacity_tokens", 50000},
              {"weights_mb", 1000}, {"adapter_slots", site::AdapterSlots},
              {"loads_per_s", 3.0}, {"models", models}};
  Json services =
      Json::array({{{"name", site::EngineService},
                    {"max_connections", 200},
                    {"engine", engine}},
                   {{"name", site::PlainService}, {"max_connections", 200}}});
  Json routes =
      Json::array({route("/chat/", "streaming", site::EngineService, 2, true),
                   route("/once/", "streaming", site::EngineService, 1, false),
                   route("/order/", "unsafe", site::PlainService, 1, false),
                   route("/look/", "safe", site::PlainService, 2, false)});
  for (std::uint64_t it = 1; it <= Plan; ++it)
    routes.push_back(route("/probe/" + std::to_string(it) + "/", "safe",
                           site::PlainService, 1, false));
  Json plan{{"version", Plan},
            {"routes", routes},
            {"services", services},
            {"limits", Json::object()}};
  if (Options.Workspaces)
    plan["tenants"] = SoakWorkspaces::declaredIn(Plan);
  Store.put(platform_name::OperatorTable, platform_name::PlanKey, plan.dump());
  auto &event = History.record("operator", "accepted");
  event.Revision = Plan;
  event.Change = "plan " + std::to_string(Plan);
  Callers.setPlan(Plan);
}

void SoakWorld::declareVersion(std::uint64_t number) {
  auto name = "a" + std::to_string(number);
  auto full = std::string(site::Model) + "/" + name;
  if (Versions.empty())
    for (int it = 1; it <= site::AdapterCount; ++it)
      Versions[std::string(site::Model) + "/a" + std::to_string(it)] = 1;
  ++Versions[full];
  log("version " + std::to_string(Versions[full]) + " of " + full);
  Store.put(platform_name::OperatorTable,
            std::string(platform_name::VersionKeys) + std::string(site::Model) +
                "." + name,
            Json{{"model", site::Model},
                 {"adapter", name},
                 {"version", Versions[full]}}
                .dump());
  // A store that doesn't answer confirms the write only when it answers again.
  // The verdict counts from the end of a disturbance in any case.
  History.record("operator", "named").Adapter =
      full + "@" + std::to_string(Versions[full]);
}

void SoakWorld::restoreAll() {
  if (Options.CutOffInterval > Span(0))
    endCutOff();
  log("all is well");
  setStoreMode(SoakStore::Mode::Healthy);
  for (auto &it : Replicas) {
    it->setMode(SoakReplica::Mode::Healthy);
    it->setPause(std::nullopt);
    if (!it->isRunning())
      it->start();
  }
  for (auto &it : Nodes) {
    it->resume();
    if (it->peerLink())
      it->peerLink()->setFault(SoakProxy::Fault::None);
  }
}

} // namespace hemlockglade::soak
