#include "Programs/hemlockgladed/Gateway/CellMember.h"

#include "UnitTests/Transport/Loopback.h"

namespace hemlockglade::test {

namespace {

/// An owner that says what the test wants to one node that follows it.
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
  /// Names the nodes in service; says nothing of them if there are none.
  void tell(std::vector<EntryNotice> entries) const {
    OwnerHeartbeat beat;
    beat.EntriesChanged = !entries.empty();
    beat.Entries = {{"hall-a", std::move(entries)}};
    Stream->send(pack(beat));
  }

  std::shared_ptr<PeerStream> Stream;
  PeerNet Net;
};

/// Sets the hooks that most tests have no use for.
void quiet(CellMember::Hooks &hooks, CrashCoordinator &crashes) {
  hooks.Crashes = &crashes;
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

struct FollowerFixture : Loopback {
  FollowerFixture()
      : Log(
            {"n"}, [](std::string_view) {},
            [] { return std::chrono::microseconds(0); }),
        View({}), Net(Context, "127.0.0.1", 0, [](const auto &) {}) {
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
      return MemberNotice{"n", "p", "", "hall-a", true, 1, 1000, Awake};
    };
    quiet(hooks, Crashes);
    hooks.OnUpdate = [this](const RegistryUpdate &, Instant sentAfter) {
      SentAfter = sentAfter;
    };
    Member = std::make_unique<CellMember>(settings, std::move(hooks), View, Net,
                                          Traffic, Log);
  }

  /// Follows the owner that the row names.
  void follow(ScriptedOwner &owner, Epoch fence) {
    Row = owner.row(fence);
    REQUIRE(until([&] { return owner.Stream != nullptr; }));
  }

  std::size_t entries() const {
    const auto *told = Member->servingEntries();
    return told && !told->empty() ? told->front().Entries.size() : 0;
  }

  /// Since when the owner's last news can have been on their way.
  std::optional<Instant> SentAfter;
  /// The cell's lease as the table has it.
  CellLeaseRow Row;
  bool Awake = true;
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

TEST_CASE("a new owner's silence about nodes does not bring back old ones",
          "[gateway]") {
  FollowerFixture it;
  ScriptedOwner first(it.Context);
  ScriptedOwner second(it.Context);
  it.follow(first, 1);
  first.tell({{"n", ""}, {"gone", ""}});
  REQUIRE(it.until([&] { return it.entries() == 2; }));
  first.Stream->close();
  it.follow(second, 2);
  second.tell({});
  REQUIRE(it.until([&] { return it.Member->isUpToDate(); }));
  it.settle();
  CHECK(it.Member->servingEntries() == nullptr);
  second.tell({{"n", ""}});
  REQUIRE(it.until([&] { return it.entries() == 1; }));
}

TEST_CASE("news that answer no question may have been on their way for long",
          "[gateway]") {
  FollowerFixture it;
  ScriptedOwner owner(it.Context);
  it.follow(owner, 1);
  auto now = TimerService::now();
  auto answers = GENERATE(as<Span>{}, Span(0), -std::chrono::seconds(2),
                          std::chrono::hours(1));
  OwnerHeartbeat beat;
  beat.AnswersUs = answers == Span(0) ? 0 : (now + answers).count();
  owner.Stream->send(pack(beat));
  REQUIRE(it.until([&] { return it.SentAfter.has_value(); }));
  if (answers == Span(0))
    CHECK(*it.SentAfter == LongAgo);
  else if (answers < Span(0))
    CHECK(*it.SentAfter == now + answers);
  else
    CHECK(*it.SentAfter <= TimerService::now());
}

// The owner before may have been silent for seconds, and be among those that it
// named.
TEST_CASE("a new owner does not go by whom the one before named", "[gateway]") {
  FollowerFixture it;
  ScriptedOwner first(it.Context);
  it.follow(first, 1);
  first.tell({{"n", ""}, {"gone", ""}});
  REQUIRE(it.until([&] { return it.entries() == 2; }));
  first.Stream->close();
  it.Row.Released = true;
  it.Row.Fence = 2;
  REQUIRE(it.until([&] { return it.Member->isOwner(); }));
  CHECK(it.entries() == 0);
}

namespace {

/// A node on a weak host that owns the cell, and one that follows it.
struct OwnerFixture : Loopback {
  OwnerFixture()
      : Log(
            {"n"}, [](std::string_view) {},
            [] { return std::chrono::microseconds(0); }),
        View({}), Net(Context, "127.0.0.1", 0,
                      [this](const auto &it) { Member->onFollower(it); }),
        OtherNet(Context, "127.0.0.1", 0, [](const auto &) {}) {
    CellMember::Settings settings;
    settings.Cell = settings.FailureDomain = "hall-a";
    settings.Lease.Holder = "n";
    settings.Lease.Incarnation = "p";
    settings.Lease.Address = "10.0.0.1:7";
    settings.NearerReady = std::chrono::milliseconds(100);
    settings.HeartbeatInterval = std::chrono::milliseconds(30);
    settings.EntrySelectionDelay = Settles;
    CellMember::Hooks hooks;
    hooks.Table.Get = [this](const std::string &key, auto done) {
      asio::post(Context, [this, key, done] {
        auto row =
            Other ? std::optional(TableRow{key, OtherVersion, Other->text()})
                  : std::nullopt;
        done(std::move(row));
        for (const auto &it : std::exchange(Later, {}))
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
    hooks.Self = [this] { return node("n", OwnerStrong); };
    quiet(hooks, Crashes);
    hooks.Leases = [] {
      return std::vector<std::pair<std::string, std::string>>{
          {"hall-b", "b p 10.0.0.9:7 3 0 1"}};
    };
    hooks.After = [this](Span delay, std::function<void()> call) {
      if (Holds) {
        Later.push_back(std::move(call));
        return;
      }
      Timers.after(delay, [call = std::move(call)](Instant) { call(); });
    };
    Member = std::make_unique<CellMember>(settings, std::move(hooks), View, Net,
                                          Traffic, Log);
  }

  static MemberNotice node(const std::string &name, bool strong,
                           bool awake = true) {
    return {name,
            "p",
            name + ":80",
            "hall-a",
            true,
            strong ? 0.5 : 0.1,
            strong ? 200.0 : 20.0,
            awake};
  }

  /// Another node follows; what it hears is kept.
  std::shared_ptr<PeerStream> follow(const MemberNotice &self,
                                     double requestsPerSecond = 0) {
    NodeHeartbeat beat;
    beat.Self = self;
    beat.RequestsPerSecond = requestsPerSecond;
    PeerHooks hooks;
    hooks.OnMessage = [this, name = self.Node](std::string_view message) {
      if (auto told = unpack<OwnerHeartbeat>(message))
        Heard[name].push_back(*told);
    };
    return OtherNet.open(address(Net.port()),
                         std::string(peer_path::Cell) + "hall-a", pack(beat),
                         std::move(hooks));
  }

  std::size_t entries() const {
    const auto *told = Member->servingEntries();
    return told && !told->empty() ? told->front().Entries.size() : 0;
  }

  static constexpr std::uint64_t OtherVersion = 1000;
  /// The lease as another node has taken it.
  std::optional<CellLeaseRow> Other;
  /// What is to be done later is kept until the row has been read again.
  bool Holds = false;
  std::vector<std::function<void()>> Later;

  static constexpr Span Settles = std::chrono::milliseconds(100);

  bool OwnerStrong = false;
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
  std::map<std::string, std::vector<OwnerHeartbeat>> Heard;
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

TEST_CASE("an owner's beats say which of a node's beats they answer",
          "[gateway]") {
  OwnerFixture it;
  it.OwnerStrong = true;
  REQUIRE(it.until([&] { return it.Member->isOwner(); }));
  auto node = it.follow(OwnerFixture::node("m", false));
  auto answered = [&](std::int64_t sentAt) {
    auto &heard = it.Heard["m"];
    return std::any_of(heard.begin(), heard.end(), [sentAt](const auto &beat) {
      return beat.AnswersUs == sentAt;
    });
  };
  NodeHeartbeat beat;
  beat.Self = OwnerFixture::node("m", false);
  beat.SentAtUs = 7;
  node->send(pack(beat));
  REQUIRE(it.until([&] { return answered(7); }));
  // A brief one has no time of its own.
  NodeHeartbeat brief;
  brief.Brief = true;
  node->send(pack(brief));
  auto heard = it.Heard["m"].size();
  REQUIRE(it.until([&] { return it.Heard["m"].size() > heard + 2; }));
  CHECK(it.Heard["m"].back().AnswersUs == 7);
}

TEST_CASE("a cell stays where nobody is better", "[gateway]") {
  OwnerFixture it;
  bool strong = GENERATE(true, false);
  it.OwnerStrong = strong;
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

TEST_CASE("a node that stands by hears who serves and who has other cells, not "
          "what engines do",
          "[gateway]") {
  OwnerFixture it;
  it.OwnerStrong = true;
  REQUIRE(it.until([&] { return it.Member->isOwner(); }));
  auto awake = it.follow(OwnerFixture::node("m", true));
  auto waits = it.follow(OwnerFixture::node("w", false, false));
  REQUIRE(it.until([&] { return it.entries() == 3; }));
  it.Member->onSent("engine", 100, WeightsRef::parse("m/a"));
  auto sentTold = [&](const std::string &to) {
    return std::any_of(it.Heard[to].begin(), it.Heard[to].end(),
                       [](const auto &at) { return !at.Sent.empty(); });
  };
  REQUIRE(it.until([&] { return sentTold("m"); }));
  auto heard = it.Heard["w"].size();
  REQUIRE(it.until([&] { return it.Heard["w"].size() > heard + 1; }));
  CHECK_FALSE(sentTold("w"));
  bool rosters = false;
  bool leases = false;
  for (const auto &at : it.Heard["w"]) {
    rosters = rosters || at.EntriesChanged;
    leases = leases || !at.Leases.empty();
  }
  CHECK(rosters);
  CHECK(leases);
}

TEST_CASE("an owner names the strongest and more of them as load rises",
          "[gateway]") {
  OwnerFixture it;
  it.OwnerStrong = true;
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

// All callers of a failure domain would go to the one node that it knows.
TEST_CASE("a new owner names nobody before its nodes can have found it",
          "[gateway]") {
  OwnerFixture it;
  it.OwnerStrong = true;
  REQUIRE(it.until([&] { return it.Member->isOwner(); }));
  auto owns = TimerService::now();
  REQUIRE(it.until([&] { return it.entries() > 0; }));
  CHECK(TimerService::now() - owns >= OwnerFixture::Settles / 2);
}

TEST_CASE("a node that is gone is no longer named", "[gateway]") {
  OwnerFixture it;
  it.OwnerStrong = true;
  REQUIRE(it.until([&] { return it.Member->isOwner(); }));
  auto other = it.follow(OwnerFixture::node("m", true));
  REQUIRE(it.until([&] { return it.entries() == 2; }));
  other->close();
  REQUIRE(it.until([&] { return it.entries() == 1; }));
}

// A follower that hears the new holder's version with nothing left of its time
// takes the lease from it at once.
TEST_CASE("a node that finds its lease lost says nothing of the next holder's",
          "[gateway]") {
  OwnerFixture it;
  it.OwnerStrong = true;
  REQUIRE(it.until([&] { return it.Member->isOwner(); }));
  auto follower = it.follow(OwnerFixture::node("m", true));
  REQUIRE(it.until([&] { return it.entries() == 2; }));
  it.Holds = true;
  it.Member->onSent("engine", 100, WeightsRef::parse("m/a"));
  it.Other = CellLeaseRow{"m", "q", "10.0.0.2:7", 9, false, false};
  REQUIRE(it.until([&] { return !it.Member->isOwner(); }));
  it.settle();
  for (const auto &at : it.Heard["m"])
    CHECK(at.LeaseVersion < OwnerFixture::OtherVersion);
}

} // namespace hemlockglade::test
