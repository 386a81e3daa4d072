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
/// Last part of the first gateway's address, and the first of its ports.
constexpr int FirstHost = 11;
constexpr std::uint16_t FirstPort = 7100;
constexpr auto QuietTime = seconds(4);
constexpr auto LongestHarm = milliseconds(5000);

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
    : Setup(std::move(settings)), Random(Setup.Seed), EntriesRandom(Setup.Seed),
      DrillRandom(Setup.Seed), NamesRandom(Setup.Seed), Timers(Context),
      Store(Context, Random()), Callers(Context, Nodes, History, Random()) {
  Ends.async_wait([this](asio::error_code ec, int) {
    if (ec)
      return;
    Nodes.clear();
    std::exit(2);
  });
  Callers.setRate(Setup.Rate);
  Callers.setCrashingEvery(Setup.CrashingEvery);
  buildReplicas();
  declare();
  buildNodes();
}

SoakWorld::~SoakWorld() = default;

void SoakWorld::buildReplicas() {
  for (int it = 0; it < Setup.Engines + PlainReplicas; ++it) {
    SoakReplica::Settings replica;
    replica.Engine = it < Setup.Engines;
    replica.Planted = Setup.Planted;
    replica.Service = replica.Engine ? site::EngineService : site::PlainService;
    replica.FailureDomain =
        Domains[static_cast<std::size_t>(it) % Domains.size()];
    Replicas.push_back(std::make_unique<SoakReplica>(
        Context, std::move(replica), Store, History, Random()));
    Replicas.back()->OnCrashing = [this] {
      say("a request crashes a replica");
      Crashes.push_back(TimerService::now());
    };
  }
}

bool SoakWorld::isFree(const std::string &network) {
  // A soak that was killed leaves its gateways behind.
  asio::ip::tcp::socket socket(Context);
  asio::error_code ec;
  socket.connect(
      {asio::ip::make_address(network + std::to_string(FirstHost)), FirstPort},
      ec);
  return bool(ec);
}

std::string SoakWorld::takeNetwork() {
  // A loopback network of its own, so that soaks can run side by side: the one
  // whose first address nobody holds.
  constexpr int Networks = 200;
  constexpr std::uint16_t HeldPort = 7099;
  for (int it = 0; it < Networks; ++it) {
    auto network = "127." + std::to_string(2 + (::getpid() + it) % Networks);
    network += ".0.";
    asio::error_code ec;
    Network.open(asio::ip::tcp::v4(), ec);
    Network.bind({asio::ip::make_address(network + "1"), HeldPort}, ec);
    if (!ec)
      Network.listen(1, ec);
    if (!ec && isFree(network))
      return network;
    Network.close();
  }
  throw std::runtime_error("no loopback network is free");
}

void SoakWorld::buildNodes() {
  auto network = takeNetwork();
  std::vector<std::string> seeds;
  for (int it = 0; it < std::min(3, Setup.Nodes); ++it)
    seeds.push_back(network + std::to_string(FirstHost + it) + ":" +
                    std::to_string(FirstPort + 4));
  for (int it = 0; it < Setup.Nodes; ++it) {
    SoakNode::Settings node;
    node.Program = Setup.Program;
    node.Folder = Setup.Folder;
    node.Name = "n" + std::to_string(it);
    node.FailureDomain = Domains[static_cast<std::size_t>(it) % Domains.size()];
    node.Address = network + std::to_string(FirstHost + it);
    node.FirstPort = FirstPort;
    node.Seeds = seeds;
    node.VersionBound = Setup.VersionBound;
    Nodes.push_back(std::make_unique<SoakNode>(Context, std::move(node),
                                               Store.port(), History));
    Nodes.back()->start();
  }
}

void SoakWorld::runFor(Span span) {
  Context.restart();
  Context.run_for(span);
}

void SoakWorld::play(Span faulty) {
  if (Setup.Workspaces) {
    Callers.setWorkspaces(&Workspaces);
    for (auto &it : Replicas)
      it->setWorkspaces(&Workspaces);
  }
  constexpr auto LookEvery = milliseconds(20);
  Looking = Timers.every(LookEvery, [this](Instant) {
    for (auto &it : Nodes)
      it->look();
  });
  // Leases come about, and the first adapters are loaded.
  constexpr auto Start = seconds(2);
  runFor(Start);
  Callers.start();
  runFor(Start);
  Faulty = true;
  nextFault();
  if (Setup.EntriesEvery > Span(0))
    nextEntriesFault();
  if (Setup.DrillEvery > Span(0))
    nextDrill();
  if (Setup.NamesEvery > Span(0)) {
    Naming = true;
    nextName();
  }
  runFor(faulty);
  Faulty = false;
  heal();
  outage();
  runFor(Setup.Recovery);
  Naming = false;
  auto before = Callers.counts();
  runFor(QuietTime);
  auto after = Callers.counts();
  QuietRevoked = {after.RevokedTried - before.RevokedTried,
                  after.RevokedServed - before.RevokedServed};
  Quiet = {after.Sent - before.Sent - (after.Left - before.Left) -
               (after.Limited - before.Limited),
           after.Complete - before.Complete};
  Callers.stop();
  constexpr auto Last = seconds(5);
  constexpr auto Look = milliseconds(100);
  auto until = TimerService::now() + Last;
  while (!Callers.idle() && TimerService::now() < until)
    runFor(Look);
}

void SoakWorld::outage() {
  // One outage that nothing else excuses: the nodes that have run through it
  // must have what is confirmed at its end as soon as at any other time.
  constexpr auto Calm = seconds(3);
  runFor(Calm);
  say("the store is silent");
  storeMood(SoakStore::Mood::Silent);
  runFor(milliseconds(100) + upTo(LongestHarm));
  storeMood(SoakStore::Mood::Well);
  declare();
}

int SoakWorld::selfEnds() const {
  int n = 0;
  for (const auto &it : Nodes)
    n += it->selfEnds();
  return n;
}

void SoakWorld::say(const std::string &what) {
  std::cout << TimerService::now().count() / 1000 << " " << what << '\n';
}

void SoakWorld::nextFault() {
  Timers.after(upTo(2 * Setup.FaultEvery), [this](Instant) {
    if (!Faulty)
      return;
    fault();
    nextFault();
  });
}

void SoakWorld::fault() {
  constexpr std::uint64_t Kinds = 10;
  switch (Random() % Kinds) {
  case 0:
  case 1:
  case 2:
    return nodeFault(oneOf(Nodes));
  case 3:
    return storeFault();
  case 4:
  case 5:
    return linkFault();
  case 6:
    return changePlan();
  case 7:
    return declareVersion(1 + Random() % 5);
  default:
    return replicaFault(oneOf(Replicas));
  }
}

void SoakWorld::nextEntriesFault() {
  Timers.after(Setup.EntriesEvery, [this](Instant) {
    if (!Faulty)
      return;
    entriesFault();
    nextEntriesFault();
  });
}

void SoakWorld::entriesFault() {
  constexpr std::uint64_t Losses = 3;
  auto kind = EntriesRandom() % Losses;
  auto named = Callers.named();
  for (auto &it : Nodes)
    if (std::count(named.begin(), named.end(), it->caller()))
      nodeFault(*it, kind);
}

void SoakWorld::nextName() {
  Timers.after(Setup.NamesEvery, [this](Instant) {
    if (!Naming)
      return;
    nameFault();
    nextName();
  });
}

void SoakWorld::nameFault() {
  // Three adapters are named again soon, the others long after.
  constexpr std::uint64_t Often = 3;
  constexpr std::uint64_t Seldom = 5;
  auto seldom = NamesRandom() % 4 == 0;
  declareVersion(
      1 + (seldom ? Often + NamesRandom() % Seldom : NamesRandom() % Often));
  auto kind = NamesRandom() % 4;
  auto at = NamesRandom() % static_cast<std::uint64_t>(Setup.Engines);
  auto span = milliseconds(500 + NamesRandom() % 5000);
  if (!Faulty || kind > 1)
    return;
  auto &engine = **std::next(Replicas.begin(), static_cast<std::ptrdiff_t>(at));
  say("engine " + engine.incarnation() +
      (kind ? " is slow to begin" : " carries orders out late"));
  engine.setMood(kind ? SoakReplica::Mood::SlowToBegin
                      : SoakReplica::Mood::LateOrders);
  Timers.after(span,
               [&engine](Instant) { engine.setMood(SoakReplica::Mood::Well); });
}

void SoakWorld::nodeFault(SoakNode &node, std::uint64_t kind) {
  auto later = milliseconds(200) + upTo(LongestHarm);
  switch (kind) {
  case 0:
    say("kill " + node.name());
    node.kill();
    break;
  case 1:
    say("pause " + node.name());
    node.pause();
    Timers.after(later, [&node](Instant) { node.wake(); });
    return;
  case 2:
    say("terminate " + node.name());
    node.terminate();
    break;
  default:
    say("reload " + node.name());
    node.reload();
    return;
  }
  // It is started again some time after its end.
  Timers.after(later + SoakNode::StopBound + seconds(2),
               [&node](Instant) { node.start(); });
}

void SoakWorld::storeMood(SoakStore::Mood mood) {
  Store.setMood(mood);
  bool harmed = mood != SoakStore::Mood::Well;
  if (harmed == std::exchange(StoreDisturbed, harmed))
    return;
  History.note("soak", harmed ? "silent" : "answering").Endpoint = "platform";
  for (auto &it : Nodes)
    it->disturb(harmed);
  // Operators work on through outages, so that changes are confirmed as these
  // end; that is when a look that was lost in one hurts.
  if (!harmed && (std::exchange(PlanWaits, false) || Random() % 2))
    declare();
}

void SoakWorld::storeFault() {
  constexpr std::uint64_t Moods = 6;
  auto kind = Random() % Moods;
  if (kind == 5) {
    say("the store drops its history");
    return Store.dropHistory();
  }
  if (StoreDisturbed)
    return;
  auto mood =
      static_cast<SoakStore::Mood>(1 + std::min<std::uint64_t>(kind, 3));
  say("store mood " + std::to_string(static_cast<int>(mood)));
  storeMood(mood);
  Timers.after(milliseconds(200) + upTo(LongestHarm),
               [this](Instant) { storeMood(SoakStore::Mood::Well); });
}

void SoakWorld::nextDrill() {
  Timers.after(Setup.DrillEvery, [this](Instant) {
    if (!Faulty)
      return;
    drill();
    nextDrill();
  });
}

void SoakWorld::drill() {
  if (StoreDisturbed)
    return;
  constexpr std::int64_t LongestAge = 8000;
  constexpr std::int64_t LongestAway = 2000;
  auto upToMs = [this](std::int64_t most) {
    return milliseconds(1 +
                        static_cast<std::int64_t>(
                            DrillRandom() % static_cast<std::uint64_t>(most)));
  };
  auto age = upToMs(LongestAge);
  say("the store goes away");
  storeMood(SoakStore::Mood::Silent);
  Timers.after(upToMs(LongestAway), [this, age](Instant) {
    say("the store is back as it was " + std::to_string(age.count()) +
        " ms before");
    Store.stepBack(age);
    storeMood(SoakStore::Mood::Well);
    // Entries of replicas that have ended lapse again.
    constexpr auto Lapse = milliseconds(1200);
    Timers.after(Lapse, [this](Instant) {
      std::set<std::string> up;
      for (const auto &it : Replicas)
        if (it->up())
          up.insert(it->incarnation());
      for (const auto &key : Store.keys(platform_name::ReplicaTable))
        if (!up.contains(key))
          Store.remove(platform_name::ReplicaTable, key);
    });
  });
}

void SoakWorld::linkFault() {
  constexpr std::uint64_t Harms = 4;
  auto harm = static_cast<SoakProxy::Harm>(1 + Random() % Harms);
  auto span = milliseconds(200) + upTo(LongestHarm);
  if (Random() % 2) {
    auto &node = oneOf(Nodes);
    if (node.link().harm() != SoakProxy::Harm::None)
      return;
    say("store link of " + node.name() + " harm " +
        std::to_string(static_cast<int>(harm)));
    node.link().setHarm(harm);
    node.disturb(true);
    History.note("soak", "harmed").To = node.name();
    Timers.after(span, [this, &node](Instant) {
      node.link().setHarm(SoakProxy::Harm::None);
      node.disturb(false);
      History.note("soak", "mended").To = node.name();
    });
    return;
  }
  auto &replica = oneOf(Replicas);
  say("link of " + replica.incarnation() + " harm " +
      std::to_string(static_cast<int>(harm)));
  replica.link().setHarm(harm);
  History.note("soak", "harmed");
  Timers.after(span, [this, &replica](Instant) {
    replica.link().setHarm(SoakProxy::Harm::None);
    History.note("soak", "mended");
  });
}

void SoakWorld::replicaFault(SoakReplica &replica) {
  constexpr std::uint64_t Kinds = 8;
  auto kind = Random() % Kinds;
  auto span = milliseconds(500) + upTo(LongestHarm);
  if (kind < 2) {
    say((kind ? "crash " : "leave ") + replica.incarnation());
    if (kind)
      replica.crash();
    else
      replica.leave();
    Timers.after(span + seconds(3), [&replica](Instant) {
      if (!replica.up())
        replica.start();
    });
    return;
  }
  constexpr std::uint64_t Moods = 5;
  auto mood = static_cast<SoakReplica::Mood>(1 + Random() % Moods);
  say("replica " + replica.incarnation() + " mood " +
      std::to_string(static_cast<int>(mood)));
  replica.setMood(mood);
  Timers.after(
      span, [&replica](Instant) { replica.setMood(SoakReplica::Mood::Well); });
}

void SoakWorld::changePlan() {
  auto mood = Store.mood();
  if (mood == SoakStore::Mood::Silent || mood == SoakStore::Mood::Busy)
    PlanWaits = true;
  else
    declare();
}

void SoakWorld::declare() {
  ++Plan;
  say("plan " + std::to_string(Plan));
  Json models = Json::array({{{"name", site::Model},
                              {"weights_mb", 900},
                              {"load_time_s", 2.0},
                              {"adapters", site::Adapters},
                              {"adapter_size_mb", 1.0}}});
  Json engine{{"slots", 8},         {"kv_capacity_tokens", 50000},
              {"weights_mb", 1000}, {"adapter_slots", site::AdapterPlaces},
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
  if (Setup.Workspaces)
    plan["tenants"] = SoakWorkspaces::declared(Plan);
  Store.put(platform_name::OperatorTable, platform_name::PlanKey, plan.dump());
  auto &event = History.note("operator", "accepted");
  event.Revision = Plan;
  event.Change = "plan " + std::to_string(Plan);
  Callers.setPlan(Plan);
}

void SoakWorld::declareVersion(std::uint64_t number) {
  auto name = "a" + std::to_string(number);
  auto full = std::string(site::Model) + "/" + name;
  if (Versions.empty())
    for (int it = 1; it <= site::Adapters; ++it)
      Versions[std::string(site::Model) + "/a" + std::to_string(it)] = 1;
  ++Versions[full];
  say("version " + std::to_string(Versions[full]) + " of " + full);
  Store.put(platform_name::OperatorTable,
            std::string(platform_name::VersionKeys) + std::string(site::Model) +
                "." + name,
            Json{{"model", site::Model},
                 {"adapter", name},
                 {"version", Versions[full]}}
                .dump());
  // A store that does not answer confirms it as it is well again, from when
  // the verdict counts in any case.
  History.note("operator", "named").Adapter =
      full + "@" + std::to_string(Versions[full]);
}

void SoakWorld::heal() {
  say("all is well");
  storeMood(SoakStore::Mood::Well);
  for (auto &it : Replicas) {
    it->setMood(SoakReplica::Mood::Well);
    if (!it->up())
      it->start();
  }
  for (auto &it : Nodes)
    it->wake();
}

} // namespace hemlockglade::soak
