#include "Programs/hemlockgladed/Gateway/CellMember.h"

#include "UnitTests/Transport/Loopback.h"

#include <cmath>

namespace hemlockglade::test {

namespace {

/// An owner that sends what the test wants to one node that follows it.
struct ScriptedOwner {
  explicit ScriptedOwner(asio::io_context &context)
      : Net(context, "127.0.0.1", 0,
            [this](const auto &stream) { Stream = stream; }) {}

  CellLeaseRow row(Epoch fence) const {
    return {"owner-" + std::to_string(fence),
            "p",
            Loopback::address(Net.port()),
            fence,
            false,
            true};
  }
  /// Sends the nodes in service; sends no list if there are none.
  void sendEntries(std::vector<EntryNotice> entries) const {
    OwnerHeartbeat heartbeat;
    heartbeat.EntriesChanged = !entries.empty();
    heartbeat.Entries = {{"hall-a", std::move(entries)}};
    Stream->send(pack(heartbeat));
  }

  std::shared_ptr<PeerStream> Stream;
  PeerNet Net;
};

/// Sets hooks that most tests don't use to do nothing.
void setDefaultHooks(CellMember::Hooks &hooks, CrashCoordinator &crashes) {
  hooks.Crashes = &crashes;
  hooks.Reach = [] { return ReachNotice{}; };
  hooks.ReachRevision = [] { return std::uint64_t{1}; };
  hooks.OnChanged = [] {};
  hooks.Plan = [] { return nullptr; };
  hooks.After = [](Span, const std::function<void()> &) {};
  hooks.Load = [] { return EntryLoad{}; };
  hooks.Follows = [] { return true; };
  hooks.KnownPositions = [] { return RegistryPositions{}; };
  hooks.UpdateSince = [](const RegistryPositions &) {
    return RegistryUpdate{};
  };
  hooks.OnUpdate = [](const RegistryUpdate &, Instant) {};
  hooks.Leases = [] {
    return std::vector<std::pair<std::string, std::string>>{};
  };
  hooks.OnLease = [](const std::string &, const std::string &) {};
  hooks.OnServingEntries = [] {};
}

ReplicaView::Settings viewSettings() {
  ReplicaView::Settings out;
  out.UseSpeeds = true;
  return out;
}

/// An engine of the cell.
ReplicaChanges engineChanges() {
  ReplicaRecord record;
  record.Incarnation = ReplicaIncarnation("i-1");
  record.Service = "llm";
  record.FailureDomain = "hall-a";
  ReplicaChanges out;
  out.Present = {record};
  return out;
}

struct FollowerFixture : Loopback {
  FollowerFixture()
      : Log(
            {"n"}, [](std::string_view) {},
            [] { return std::chrono::microseconds(0); }),
        View(viewSettings()),
        Net(Context, "127.0.0.1", 0, [](const auto &) {}) {
    CellMember::Settings settings;
    settings.Cell = settings.FailureDomain = "hall-a";
    settings.Lease.Holder = "n";
    CellMember::Hooks hooks;
    hooks.Table.Get = [this](const std::string &key, auto done) {
      asio::post(Context, [this, key, done] {
        done(std::optional(TableRow{key, Row.Fence, Row.text()}));
      });
    };
    hooks.Table.Commit = [this](const TableTransaction &, auto done) {
      asio::post(Context, [this, done] { done(Row.Fence + 1); });
    };
    hooks.Self = [this] {
      return MemberNotice{"n", "p", "", "hall-a", true, 1, 1000, Active};
    };
    setDefaultHooks(hooks, Crashes);
    hooks.OnUpdate = [this](const RegistryUpdate &, Instant sentAfter) {
      SentAfter = sentAfter;
    };
    Member = std::make_unique<CellMember>(settings, std::move(hooks), View, Net,
                                          Traffic, Log);
  }

  /// Puts the owner into the lease row and waits until the node follows it.
  void follow(ScriptedOwner &owner, Epoch fence) {
    Row = owner.row(fence);
    REQUIRE(until([&] { return owner.Stream != nullptr; }));
  }

  std::size_t entries() const {
    const auto *list = Member->servingEntries();
    return list && !list->empty() ? list->front().Entries.size() : 0;
  }

  /// Earliest time at which the owner's last heartbeat can have been sent.
  std::optional<Instant> SentAfter;
  /// The cell's lease row in the table.
  CellLeaseRow Row;
  bool Active = true;
  EventLog Log;
  CrashCoordinator Crashes{{[](const auto &, auto) {}, [](Span, auto) {}, [] {},
                            [](const auto &) {}},
                           Log};
  ReplicaView View;
  PeerTraffic Traffic;
  PeerNet Net;
  std::unique_ptr<CellMember> Member;
  TimerService Timers{Context};
  TimerService::Subscription Ticking = Timers.every(
      std::chrono::milliseconds(20), [this](Instant) { Member->tick(); });
};

} // namespace

TEST_CASE("the previous owner's entries stay dropped until the new owner sends "
          "its own",
          "[gateway]") {
  FollowerFixture it;
  ScriptedOwner first(it.Context);
  ScriptedOwner second(it.Context);
  it.follow(first, 1);
  first.sendEntries({{"n", ""}, {"gone", ""}});
  REQUIRE(it.until([&] { return it.entries() == 2; }));
  first.Stream->close();
  it.follow(second, 2);
  second.sendEntries({});
  REQUIRE(it.until([&] { return it.Member->isUpToDate(); }));
  it.settle();
  CHECK(it.Member->servingEntries() == nullptr);
  second.sendEntries({{"n", ""}});
  REQUIRE(it.until([&] { return it.entries() == 1; }));
}

TEST_CASE(
    "an update that echoes no heartbeat has no bound on its time in transit",
    "[gateway]") {
  FollowerFixture it;
  ScriptedOwner owner(it.Context);
  it.follow(owner, 1);
  auto now = TimerService::now();
  auto offset = GENERATE(as<Span>{}, Span(0), -std::chrono::seconds(2),
                         std::chrono::hours(1));
  OwnerHeartbeat heartbeat;
  heartbeat.EchoedSentAtUs = offset == Span(0) ? 0 : (now + offset).count();
  owner.Stream->send(pack(heartbeat));
  REQUIRE(it.until([&] { return it.SentAfter.has_value(); }));
  if (offset == Span(0))
    CHECK(*it.SentAfter == LongAgo);
  else if (offset < Span(0))
    CHECK(*it.SentAfter == now + offset);
  else
    CHECK(*it.SentAfter <= TimerService::now());
}

TEST_CASE(
    "the time for which an owner held the echoed heartbeat bounds when it "
    "sent its own",
    "[gateway][late-news]") {
  FollowerFixture it;
  ScriptedOwner owner(it.Context);
  it.follow(owner, 1);
  auto sentAt = TimerService::now() - std::chrono::seconds(2);
  auto held = GENERATE(as<Span>{}, std::chrono::seconds(1),
                       -std::chrono::seconds(1), std::chrono::hours(1));
  OwnerHeartbeat heartbeat;
  heartbeat.EchoedSentAtUs = sentAt.count();
  heartbeat.EchoHeldUs = held.count();
  owner.Stream->send(pack(heartbeat));
  REQUIRE(it.until([&] { return it.SentAfter.has_value(); }));
  if (held == std::chrono::hours(1))
    CHECK(*it.SentAfter <= TimerService::now());
  else
    CHECK(*it.SentAfter == sentAt + std::max(Span(0), held));
}

// The previous owner may have been silent for seconds, and be among the nodes
// that it listed.
TEST_CASE("a new owner drops the entries of the previous owner", "[gateway]") {
  FollowerFixture it;
  ScriptedOwner first(it.Context);
  it.follow(first, 1);
  first.sendEntries({{"n", ""}, {"gone", ""}});
  REQUIRE(it.until([&] { return it.entries() == 2; }));
  first.Stream->close();
  it.Row.Released = true;
  it.Row.Fence = 2;
  REQUIRE(it.until([&] { return it.Member->isOwner(); }));
  CHECK(it.entries() == 0);
}

namespace {

/// A node that owns the cell, on a weak host unless `OwnerIsStrong`, and nodes
/// that follow it.
struct OwnerFixture : Loopback {
  OwnerFixture()
      : Log(
            {"n"}, [](std::string_view) {},
            [] { return std::chrono::microseconds(0); }),
        View(viewSettings()),
        Net(Context, "127.0.0.1", 0,
            [this](const auto &it) { Member->onFollower(it); }),
        OtherNet(Context, "127.0.0.1", 0, [](const auto &) {}) {
    CellMember::Settings settings;
    settings.Cell = settings.FailureDomain = "hall-a";
    settings.Lease.Holder = "n";
    settings.Lease.Incarnation = "p";
    settings.Lease.Address = "10.0.0.1:7";
    settings.BetterOwnerDelay = std::chrono::milliseconds(100);
    settings.HeartbeatInterval = std::chrono::milliseconds(30);
    settings.EntrySelectionDelay = SelectionDelay;
    CellMember::Hooks hooks;
    hooks.Table.Get = [this](const std::string &key, auto done) {
      asio::post(Context, [this, key, done] {
        auto row =
            Other ? std::optional(TableRow{key, OtherVersion, Other->text()})
                  : std::nullopt;
        done(std::move(row));
        for (const auto &it : std::exchange(HeldCalls, {}))
          it();
      });
    };
    hooks.Table.Commit = [this](const TableTransaction &it, auto done) {
      if (Other) {
        asio::post(Context,
                   [done] { done(tl::unexpected(TableError::Conflict)); });
        return;
      }
      Row = CellLeaseRow::parse(*it.Writes.front().Value);
      asio::post(Context, [this, done] { done(++Version); });
    };
    hooks.Self = [this] { return node("n", OwnerIsStrong); };
    setDefaultHooks(hooks, Crashes);
    hooks.Engines = {
        [this](const auto &, const auto &order, auto) { Ordered = order; },
        [this](const auto &, auto done) {
          if (Report)
            asio::post(Context, [this, done] { done(Report); });
        }};
    hooks.Plan = [this] { return Plan; };
    hooks.Reach = [this] { return OwnReach; };
    hooks.Leases = [] {
      return std::vector<std::pair<std::string, std::string>>{
          {"hall-b", "b p 10.0.0.9:7 3 0 1"}};
    };
    hooks.After = [this](Span delay, std::function<void()> call) {
      if (HoldsCalls) {
        HeldCalls.push_back(std::move(call));
        return;
      }
      Timers.after(delay, [call = std::move(call)](Instant) { call(); });
    };
    Member = std::make_unique<CellMember>(settings, std::move(hooks), View, Net,
                                          Traffic, Log);
  }

  static MemberNotice node(const std::string &name, bool strong,
                           bool active = true) {
    return {name,
            "p",
            name + ":80",
            "hall-a",
            true,
            strong ? 0.5 : 0.1,
            strong ? 200.0 : 20.0,
            active};
  }

  /// Has another node follow; the heartbeats that it receives are kept.
  std::shared_ptr<PeerStream> follow(const MemberNotice &self,
                                     double requestsPerSecond = 0,
                                     const ReachNotice &reach = {}) {
    NodeHeartbeat heartbeat;
    heartbeat.Self = self;
    heartbeat.Reach = {reach};
    heartbeat.RequestsPerSecond = requestsPerSecond;
    PeerHooks hooks;
    hooks.OnMessage = [this, name = self.Node](std::string_view message) {
      if (auto received = unpack<OwnerHeartbeat>(message))
        Received[name].push_back(*received);
    };
    return OtherNet.open(address(Net.port()),
                         std::string(peer_path::Cell) + "hall-a",
                         pack(heartbeat), std::move(hooks));
  }

  /// Registers an engine of the cell, which holds the model `base`.
  void addEngine() {
    EngineSpec engine;
    engine.WeightsMb = 100;
    engine.AdapterSlots = 4;
    engine.Models.emplace_back().Name = "base";
    ServiceSpec service{"llm", "/", 10, engine};
    Plan = std::make_shared<const RoutePlan>(
        1, std::vector<Route>{}, std::vector{service}, CallerLimits{});
    auto changes = engineChanges();
    changes.Present.front().Held[{"base", ""}] = 1;
    View.onRegistry(changes, false, TimerService::now());
  }

  std::size_t entries() const {
    const auto *list = Member->servingEntries();
    return list && !list->empty() ? list->front().Entries.size() : 0;
  }

  static constexpr std::uint64_t OtherVersion = 1000;
  /// The lease row as another node has taken it over.
  std::optional<CellLeaseRow> Other;
  /// Delayed calls are kept until the row has been read again.
  bool HoldsCalls = false;
  std::vector<std::function<void()>> HeldCalls;

  static constexpr Span SelectionDelay = std::chrono::milliseconds(100);

  bool OwnerIsStrong = false;
  /// What the engine reports; unset while it does not answer.
  std::optional<HoldingsReport> Report;
  /// The last order, which is not answered.
  std::optional<EngineOrder> Ordered;
  std::shared_ptr<const RoutePlan> Plan;
  ReachNotice OwnReach;
  std::uint64_t Version = 0;
  std::optional<CellLeaseRow> Row;
  EventLog Log;
  CrashCoordinator Crashes{{[](const auto &, auto) {}, [](Span, auto) {}, [] {},
                            [](const auto &) {}},
                           Log};
  ReplicaView View;
  PeerTraffic Traffic;
  std::unique_ptr<CellMember> Member;
  PeerNet Net;
  PeerNet OtherNet;
  std::map<std::string, std::vector<OwnerHeartbeat>> Received;
  TimerService Timers{Context};
  TimerService::Subscription Ticking = Timers.every(
      std::chrono::milliseconds(10), [this](Instant) { Member->tick(); });
};

} // namespace

TEST_CASE("a weak host hands its cell over to a strong one", "[gateway]") {
  OwnerFixture it;
  REQUIRE(it.until([&] { return it.Member->isOwner(); }));
  auto strong = it.follow(OwnerFixture::node("m", true));
  REQUIRE(it.until([&] { return it.Row && it.Row->Released; }));
}

// A connection to an engine is opened after the look at the lease, and the
// process may stand still meanwhile.
TEST_CASE("an order may not be written once its lease has been released",
          "[gateway]") {
  OwnerFixture it;
  it.OwnerIsStrong = true;
  it.Report.emplace().Held[{"base", ""}] = 1;
  it.addEngine();
  REQUIRE(it.until([&] { return it.Member->canOrder(); }));
  REQUIRE(it.until([&] {
    it.Member->onDemand("llm", {"base", "a1"}, true, 0);
    return it.Ordered.has_value();
  }));
  REQUIRE(it.Ordered->MayWrite);
  CHECK(it.Ordered->MayWrite());
  it.Member->releaseLease();
  CHECK_FALSE(it.Ordered->MayWrite());
}

TEST_CASE("an owner that can't reach its engines hands the cell to a node that "
          "does",
          "[gateway]") {
  OwnerFixture it;
  it.OwnerIsStrong = true;
  it.addEngine();
  REQUIRE(it.until([&] { return it.Member->canOrder(); }));
  it.OwnReach.CutOff = {"llm"};
  SECTION("to a weaker node that has heard of the engines") {
    auto node = it.follow(OwnerFixture::node("m", false), 0, {"", {"llm"}, {}});
    CHECK(it.until([&] { return it.Row->Released; }));
  }
  SECTION("but to none that is cut off or has not heard of them") {
    auto blind = it.follow(OwnerFixture::node("m", true), 0, {"", {}, {"llm"}});
    auto idle = it.follow(OwnerFixture::node("k", false));
    auto bound = TimerService::now() + std::chrono::milliseconds(900);
    it.until([&] { return it.Row->Released || TimerService::now() > bound; });
    CHECK(!it.Row->Released);
    CHECK(!it.Member->canOrder());
  }
}

TEST_CASE(
    "an owner's heartbeats echo the time of the node's last regular heartbeat",
    "[gateway]") {
  OwnerFixture it;
  it.OwnerIsStrong = true;
  REQUIRE(it.until([&] { return it.Member->isOwner(); }));
  auto node = it.follow(OwnerFixture::node("m", false));
  auto echoed = [&](std::int64_t sentAt) {
    auto &received = it.Received["m"];
    return std::any_of(received.begin(), received.end(),
                       [sentAt](const auto &heartbeat) {
                         return heartbeat.EchoedSentAtUs == sentAt;
                       });
  };
  NodeHeartbeat heartbeat;
  heartbeat.Self = OwnerFixture::node("m", false);
  heartbeat.SentAtUs = 7;
  node->send(pack(heartbeat));
  REQUIRE(it.until([&] { return echoed(7); }));
  // A brief notice has no time of its own.
  NodeHeartbeat brief;
  brief.Brief = true;
  node->send(pack(brief));
  auto received = it.Received["m"].size();
  REQUIRE(it.until([&] { return it.Received["m"].size() > received + 2; }));
  CHECK(it.Received["m"].back().EchoedSentAtUs == 7);
  CHECK(it.Received["m"].back().EchoHeldUs > 0);
}

TEST_CASE(
    "an owner keeps its cell while no follower is on a much stronger host",
    "[gateway]") {
  OwnerFixture it;
  bool strong = GENERATE(true, false);
  it.OwnerIsStrong = strong;
  REQUIRE(it.until([&] { return it.Member->isOwner(); }));
  auto other = it.follow(OwnerFixture::node("m", strong));
  REQUIRE(it.until([&] { return it.entries() == 2; }));
  bool passed = false;
  asio::steady_timer timer(it.Context, std::chrono::milliseconds(400));
  timer.async_wait([&passed](asio::error_code) { passed = true; });
  REQUIRE(it.until([&passed] { return passed; }));
  REQUIRE(it.Row);
  CHECK_FALSE(it.Row->Released);
}

TEST_CASE(
    "a standby node receives entries and other cells' leases, but no notices "
    "of requests",
    "[gateway]") {
  OwnerFixture it;
  it.OwnerIsStrong = true;
  REQUIRE(it.until([&] { return it.Member->isOwner(); }));
  auto active = it.follow(OwnerFixture::node("m", true));
  auto standby = it.follow(OwnerFixture::node("w", false, false));
  REQUIRE(it.until([&] { return it.entries() == 3; }));
  it.Member->onSent("engine", 100, WeightsRef::parse("m/a"));
  auto receivedSent = [&](const std::string &to) {
    return std::any_of(it.Received[to].begin(), it.Received[to].end(),
                       [](const auto &at) { return !at.Sent.empty(); });
  };
  REQUIRE(it.until([&] { return receivedSent("m"); }));
  auto received = it.Received["w"].size();
  REQUIRE(it.until([&] { return it.Received["w"].size() > received + 1; }));
  CHECK_FALSE(receivedSent("w"));
  bool hasEntries = false;
  bool hasLeases = false;
  for (const auto &at : it.Received["w"]) {
    hasEntries = hasEntries || at.EntriesChanged;
    hasLeases = hasLeases || !at.Leases.empty();
  }
  CHECK(hasEntries);
  CHECK(hasLeases);
}

TEST_CASE(
    "an owner selects the strongest nodes, and more of them as load rises",
    "[gateway]") {
  OwnerFixture it;
  it.OwnerIsStrong = true;
  REQUIRE(it.until([&] { return it.Member->isOwner(); }));
  constexpr int Nodes = 8;
  std::vector<std::shared_ptr<PeerStream>> open;
  open.reserve(Nodes + 1);
  for (int n = 0; n < Nodes; ++n)
    open.push_back(
        it.follow(OwnerFixture::node("w" + std::to_string(n), n < 2, n < 2)));
  REQUIRE(it.until([&] { return it.entries() == 3; }));
  CHECK(it.Member->servingEntries()->front().Entries.back().Node == "w1");
  open.push_back(it.follow(OwnerFixture::node("w1", true), 5000));
  REQUIRE(it.until([&] { return it.entries() > 5; }));
}

// All callers of a failure domain would be sent to the one node that the owner
// has.
TEST_CASE("a new owner lists no entries before its nodes can have connected",
          "[gateway]") {
  OwnerFixture it;
  it.OwnerIsStrong = true;
  REQUIRE(it.until([&] { return it.Member->isOwner(); }));
  auto ownsSince = TimerService::now();
  REQUIRE(it.until([&] { return it.entries() > 0; }));
  CHECK(TimerService::now() - ownsSince >= OwnerFixture::SelectionDelay / 2);
}

TEST_CASE("a node whose stream has closed is no longer listed", "[gateway]") {
  OwnerFixture it;
  it.OwnerIsStrong = true;
  REQUIRE(it.until([&] { return it.Member->isOwner(); }));
  auto other = it.follow(OwnerFixture::node("m", true));
  REQUIRE(it.until([&] { return it.entries() == 2; }));
  other->close();
  REQUIRE(it.until([&] { return it.entries() == 1; }));
}

// A follower that received the new holder's version with no remaining time
// would take the lease from it at once.
TEST_CASE(
    "an owner that has lost its lease does not send the next holder's version",
    "[gateway]") {
  OwnerFixture it;
  it.OwnerIsStrong = true;
  REQUIRE(it.until([&] { return it.Member->isOwner(); }));
  auto follower = it.follow(OwnerFixture::node("m", true));
  REQUIRE(it.until([&] { return it.entries() == 2; }));
  it.HoldsCalls = true;
  it.Member->onSent("engine", 100, WeightsRef::parse("m/a"));
  it.Other = CellLeaseRow{"m", "q", "10.0.0.2:7", 9, false, false};
  REQUIRE(it.until([&] { return !it.Member->isOwner(); }));
  it.settle();
  for (const auto &at : it.Received["m"])
    CHECK(at.LeaseVersion < OwnerFixture::OtherVersion);
}

TEST_CASE("an owner merges the nodes' samples of replicas' speeds and reports "
          "them",
          "[gateway][speed]") {
  OwnerFixture it;
  it.OwnerIsStrong = true;
  it.addEngine();
  REQUIRE(it.until([&] { return it.Member->isOwner(); }));
  auto node = it.follow(OwnerFixture::node("m", false));
  auto other = it.follow(OwnerFixture::node("o", false));
  NodeHeartbeat heartbeat;
  heartbeat.Self = OwnerFixture::node("m", false);
  heartbeat.Speeds = {{"i-1", 1, std::nan("")},
                      {"i-1", 1, -1},
                      {"i-1", 1, 1e9},
                      {"i-1", 0xFFFFFFFF, 2},
                      {"gone", 1, 2}};
  node->send(pack(heartbeat));
  REQUIRE(it.until([&] { return it.View.rejectedSpeeds() == 5; }));
  heartbeat.Speeds = {{"i-1", 100, 2}};
  node->send(pack(heartbeat));
  const MergedSpeedNotice *found = nullptr;
  REQUIRE(it.until([&] {
    for (const auto &received : it.Received["o"])
      if (!received.Speeds.empty())
        found = &received.Speeds.front();
    return found != nullptr;
  }));
  CHECK(found->Replica == "i-1");
  CHECK(found->Factor > 1.5);
  CHECK(found->Factor <= 2);
  CHECK(found->AgeUs >= 0);
}

TEST_CASE("a node takes its owner's speed factors, but no wrong ones",
          "[gateway][speed]") {
  FollowerFixture it;
  it.View.onRegistry(engineChanges(), false, TimerService::now());
  ScriptedOwner owner(it.Context);
  it.follow(owner, 1);
  OwnerHeartbeat heartbeat;
  heartbeat.Speeds = {{"i-1", std::nan(""), 0},
                      {"i-1", 1e9, 0},
                      {"i-1", -2, 0},
                      {"i-1", 2, -1'000'000},
                      {"gone", 2, 0}};
  owner.Stream->send(pack(heartbeat));
  REQUIRE(it.until([&] { return it.View.rejectedSpeeds() == 5; }));
  auto highest = [&it] {
    it.View.refreshSpeeds(TimerService::now() + std::chrono::seconds(1));
    return it.View.speedRanges().at("llm").Max;
  };
  CHECK(highest() == 1);
  heartbeat.Speeds = {{"i-1", 2, 1000}};
  owner.Stream->send(pack(heartbeat));
  REQUIRE(it.until([&] { return highest() == Approx(2); }));
}

} // namespace hemlockglade::test
