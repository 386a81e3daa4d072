#include "Programs/hemlockgladed/Gateway/RegistryWatcher.h"

#include "UnitTests/Transport/Loopback.h"

#include <thread>

namespace hemlockglade::test {

namespace {

using std::chrono::milliseconds;

/// Longer than any test runs.
constexpr Span Forever = std::chrono::hours(1);

/// A watcher and a registry that counts calls and answers them at once, except
/// for polls of declarations, which it answers after their wait.
struct WatcherFixture : Loopback {
  explicit WatcherFixture(Span slack = Forever, Span ownerTimeout = Forever,
                          bool startsPolling = true)
      : Log(
            {"n"}, [](std::string_view) {},
            [] { return std::chrono::microseconds(0); }),
        Timers(Context) {
    RegistryHooks registry;
    registry.ReadOperator = [this](auto done) {
      ++FullReads;
      if (Unavailable)
        return post(
            [done] { done(tl::unexpected(RegistryError::Unavailable)); });
      post([done, this] { done(OperatorChanges{nullptr, {}, Position}); });
    };
    registry.WatchOperator = [this](std::uint64_t, Span wait, auto done) {
      ++OperatorPolls;
      if (HoldsPolls)
        return HeldPolls.push_back(done);
      Timers.after(wait, [done, this](Instant) {
        done(OperatorChanges{nullptr, {}, Position});
      });
    };
    registry.ReadReplicas = [this](auto done) {
      ++FullReads;
      if (Unavailable)
        return post(
            [done] { done(tl::unexpected(RegistryError::Unavailable)); });
      post([done, this] { done(ReplicaChanges{true, {}, {}, Position}); });
    };
    registry.WatchReplicas = [this](std::uint64_t, auto done) {
      ++ReplicaPolls;
      if (AnswersReplicaPolls == Answers::None)
        return HeldReplicaPolls.push_back(done);
      if (AnswersReplicaPolls == Answers::Refusals)
        return post(
            [done] { done(tl::unexpected(RegistryError::Unavailable)); });
      post([done, this] { done(ReplicaChanges{false, {}, {}, Position}); });
    };
    registry.ParsePlan = [](std::string_view) {
      return std::shared_ptr<const RoutePlan>();
    };
    registry.ParseReplica = [](std::string_view incarnation,
                               std::string_view source) {
      if (source == "unreadable")
        return std::optional<ReplicaRecord>();
      ReplicaRecord out;
      out.Incarnation = ReplicaIncarnation(std::string(incarnation));
      return std::optional(out);
    };
    RegistryWatcher::Settings settings;
    settings.Poll.MaxOperatorWait = milliseconds(50);
    settings.Poll.ReplicaInterval = milliseconds(100);
    settings.PeerUpdateSlack = slack;
    settings.OwnerTimeout = ownerTimeout;
    settings.Poll.RetryDelay = milliseconds(10);
    settings.MinStandbyRetryDelay = milliseconds(200);
    settings.Poll.MaxUsableAge = milliseconds(200);
    settings.Poll.AnswerTimeout = milliseconds(200);
    settings.Poll.MaxOperatorAge = settings.Poll.MaxReplicaAge =
        milliseconds(1500);
    RegistryWatcher::Hooks hooks;
    hooks.OnOperator = [this](const auto &it) {
      VersionCount += it.Versions.size();
    };
    hooks.OnReplicas = [this](const auto &it, const auto &) {
      if (!it.Present.empty() || !it.Removed.empty())
        ReplicaPositions.push_back(it.Position);
      for (const auto &at : it.Present)
        Present.push_back(at.Incarnation.id());
    };
    hooks.InformsPeers = [this] { return InformsPeers; };
    hooks.IsStandby = [this] { return IsStandby; };
    hooks.OnUpdate = [this] { ++ChangeReports; };
    Watcher = std::make_unique<RegistryWatcher>(Timers, registry, settings,
                                                std::move(hooks), Log);
    if (!startsPolling)
      return;
    Watcher->start(Span(0));
    until([this] { return Watcher->positions().Replica != 0; });
  }

  void post(std::function<void()> call) {
    asio::post(Context, std::move(call));
  }

  /// Leaves the next poll of declarations open for a while; returns when it
  /// began.
  Instant holdPoll() {
    constexpr Span HeldFor = milliseconds(150);
    HoldsPolls = true;
    REQUIRE(until([this] { return !HeldPolls.empty(); }));
    auto startedAt = TimerService::now();
    until([&] { return TimerService::now() >= startedAt + HeldFor; });
    return startedAt;
  }

  /// Sends the node an update without changes every 20 ms, as an owner does.
  /// `age` is the age of the state, `transit` how long a message takes.
  void startPeerUpdates(Span age, Span transit = Span(0)) {
    UpdateTimer = Timers.every(milliseconds(20), [this, age, transit](Instant) {
      ++UpdateCount;
      RegistryUpdate update;
      update.OperatorFrom = update.ReplicaFrom = Position;
      update.OperatorPosition = update.ReplicaPosition = Position;
      update.ReplicaAgeUs = update.OperatorAgeUs = age.count();
      Watcher->onPeerUpdate(update, TimerService::now() - transit);
    });
  }
  bool untilUpdates(int times) {
    return until([this, times] { return UpdateCount >= times; });
  }

  /// Stands still for longer than the list of replicas is usable.
  static void standStill() { std::this_thread::sleep_for(milliseconds(250)); }

  enum class Answers : std::uint8_t { Changes, Refusals, None };

  EventLog Log;
  TimerService Timers;
  std::uint64_t Position = 10;
  Answers AnswersReplicaPolls = Answers::Changes;
  std::vector<RegistryCallback<ReplicaChanges>> HeldReplicaPolls;
  bool InformsPeers = false;
  bool IsStandby = false;
  /// Polls of declarations are kept open in `HeldPolls`.
  bool HoldsPolls = false;
  std::vector<RegistryCallback<OperatorChanges>> HeldPolls;
  /// The registry fails all reads of its whole state.
  bool Unavailable = false;
  int FullReads = 0;
  int ReplicaPolls = 0;
  int OperatorPolls = 0;
  int ChangeReports = 0;
  std::size_t VersionCount = 0;
  /// Positions of the changes of replicas that were received.
  std::vector<std::uint64_t> ReplicaPositions;
  std::vector<std::string> Present;
  int UpdateCount = 0;
  std::unique_ptr<RegistryWatcher> Watcher;
  TimerService::Subscription UpdateTimer;
};

} // namespace

TEST_CASE("a node that receives updates does not poll the registry",
          "[gateway]") {
  WatcherFixture it;
  it.startPeerUpdates(Span(0));
  // The poll of declarations that is open ends by itself.
  REQUIRE(it.untilUpdates(10));
  it.ReplicaPolls = it.OperatorPolls = 0;
  REQUIRE(it.untilUpdates(30));
  CHECK(it.ReplicaPolls == 0);
  CHECK(it.OperatorPolls == 0);
}

TEST_CASE("a node polls again when an owner's updates end", "[gateway]") {
  WatcherFixture it(milliseconds(50), milliseconds(80));
  it.startPeerUpdates(Span(0));
  REQUIRE(it.untilUpdates(10));
  it.UpdateTimer.reset();
  it.ReplicaPolls = it.OperatorPolls = 0;
  CHECK(it.until([&] { return it.ReplicaPolls > 0 && it.OperatorPolls > 0; }));
}

TEST_CASE(
    "a node that sends updates to others polls though it receives updates",
    "[gateway]") {
  WatcherFixture it;
  it.InformsPeers = true;
  it.startPeerUpdates(Span(0));
  CHECK(it.until([&] { return it.ReplicaPolls > 2 && it.OperatorPolls > 2; }));
}

TEST_CASE("updates with old state do not keep a node from polling",
          "[gateway]") {
  WatcherFixture it(milliseconds(50));
  it.startPeerUpdates(std::chrono::seconds(1));
  CHECK(it.until([&] { return it.ReplicaPolls > 2 && it.OperatorPolls > 2; }));
}

TEST_CASE("updates that were delayed for long do not keep a node from polling",
          "[late-news]") {
  WatcherFixture it(milliseconds(50));
  it.startPeerUpdates(Span(0), std::chrono::seconds(1));
  CHECK(it.until([&] { return it.ReplicaPolls > 2 && it.OperatorPolls > 2; }));
}

// While the registry refuses the owner, nodes in service poll at once; standby
// nodes poll only where the bounds would be exceeded otherwise.
TEST_CASE("a standby node accepts older updates before it polls itself",
          "[gateway]") {
  bool isStandby = GENERATE(true, false);
  WatcherFixture it(milliseconds(50));
  it.IsStandby = isStandby;
  it.startPeerUpdates(milliseconds(500));
  REQUIRE(it.untilUpdates(10));
  it.ReplicaPolls = it.OperatorPolls = 0;
  REQUIRE(it.untilUpdates(30));
  CHECK((it.ReplicaPolls == 0) == isStandby);
  CHECK((it.OperatorPolls == 0) == isStandby);
}

// It may get callers as well, and the registry may refuse only the owner.
TEST_CASE("a standby node polls itself before a bound is exceeded",
          "[gateway]") {
  WatcherFixture it(milliseconds(50));
  it.IsStandby = true;
  it.startPeerUpdates(std::chrono::seconds(2));
  CHECK(it.until([&] { return it.ReplicaPolls > 2 && it.OperatorPolls > 2; }));
}

TEST_CASE("a node that gets a peer's whole state at its start reads nothing",
          "[gateway]") {
  WatcherFixture it(Forever, Forever, false);
  it.IsStandby = true;
  it.Watcher->start(milliseconds(100));
  it.Watcher->onBriefing({10, 10}, Span(0), Span(0), TimerService::now());
  it.startPeerUpdates(Span(0));
  REQUIRE(it.untilUpdates(15));
  CHECK(it.FullReads == 0);
  CHECK(it.ReplicaPolls == 0);
  CHECK(it.Watcher->positions().Operator == 10);
  CHECK(it.Watcher->positions().Replica == 10);
}

TEST_CASE("a peer's older state does not replace what a node has polled itself",
          "[gateway]") {
  WatcherFixture it;
  it.Watcher->onBriefing({4, 4}, Span(0), Span(0), TimerService::now());
  CHECK(it.Watcher->positions().Operator == 10);
  CHECK(it.Watcher->positions().Replica == 10);
}

TEST_CASE("an old list of replicas is renewed with one poll", "[gateway]") {
  WatcherFixture it;
  CHECK_FALSE(it.Watcher->refreshReplicasIfOld());
  WatcherFixture::standStill();
  auto polls = it.ReplicaPolls;
  CHECK(it.Watcher->refreshReplicasIfOld());
  CHECK(it.Watcher->refreshReplicasIfOld());
  CHECK(it.ReplicaPolls == polls + 1);
  REQUIRE(
      it.until([&] { return it.Watcher->replicasAge() < milliseconds(99); }));
  CHECK_FALSE(it.Watcher->refreshReplicasIfOld());
}

TEST_CASE("one refusal does not make an old list of replicas usable",
          "[gateway]") {
  WatcherFixture it;
  WatcherFixture::standStill();
  it.AnswersReplicaPolls = WatcherFixture::Answers::Refusals;
  REQUIRE(it.Watcher->refreshReplicasIfOld());
  it.Context.restart();
  it.Context.poll_one();
  it.AnswersReplicaPolls = WatcherFixture::Answers::Changes;
  REQUIRE(it.until([&] { return !it.Watcher->refreshReplicasIfOld(); }));
  CHECK(it.Watcher->replicasAge() < milliseconds(200));
}

TEST_CASE("an old list of replicas is usable while the registry refuses polls",
          "[gateway]") {
  WatcherFixture it;
  it.AnswersReplicaPolls = WatcherFixture::Answers::Refusals;
  WatcherFixture::standStill();
  REQUIRE(it.until([&] { return !it.Watcher->refreshReplicasIfOld(); }));
  CHECK(it.Watcher->replicasAge() > milliseconds(200));
}

TEST_CASE("an old list of replicas is usable after a poll that timed out, but "
          "not after one that this process held up",
          "[gateway]") {
  WatcherFixture it;
  it.AnswersReplicaPolls = WatcherFixture::Answers::None;
  REQUIRE(it.until([&] { return !it.HeldReplicaPolls.empty(); }));
  bool heldUp = GENERATE(false, true);
  WatcherFixture::standStill();
  if (heldUp)
    WatcherFixture::standStill();
  it.HeldReplicaPolls[0](tl::unexpected(RegistryError::Unavailable));
  CHECK(it.Watcher->refreshReplicasIfOld() == heldUp);
}

// It would use a replica that drains until the replica's entry is removed.
TEST_CASE("an owner that was briefed does not move followers past changes that "
          "it never received",
          "[gateway]") {
  WatcherFixture owner(Forever, Forever, false);
  owner.Watcher->onBriefing({20, 20}, Span(0), Span(0), TimerService::now());
  WatcherFixture follower;
  REQUIRE(follower.Watcher->positions().Replica == 10);
  auto update = owner.Watcher->updateSince(follower.Watcher->positions());
  follower.Watcher->onPeerUpdate(update, TimerService::now());
  CHECK(follower.Watcher->positions().Replica == 10);
  CHECK(follower.Watcher->positions().Operator == 10);
}

// After all state was lost while the registry is unavailable, few nodes poll
// it.
TEST_CASE("standby nodes without state poll less often than others",
          "[gateway]") {
  int readCounts[2] = {0, 0};
  for (bool isStandby : {false, true}) {
    WatcherFixture it(Forever, Forever, false);
    it.IsStandby = isStandby;
    it.Unavailable = true;
    it.Watcher->start(Span(0));
    bool timeIsOver = false;
    it.Timers.after(milliseconds(300), [&](Instant) { timeIsOver = true; });
    REQUIRE(it.until([&] { return timeIsOver; }));
    readCounts[isStandby ? 1 : 0] = it.FullReads;
  }
  CHECK(readCounts[1] >= 2);
  CHECK(readCounts[1] <= 4);
  CHECK(readCounts[0] > 2 * readCounts[1]);
}

TEST_CASE("updates are applied only if they continue the known positions",
          "[gateway]") {
  WatcherFixture it;
  RegistryUpdate update;
  update.ReplicaFrom = 10;
  update.ReplicaPosition = 12;
  update.Registered = {{{{"i-1", "text"}}, {}}};
  SECTION("an update that continues them is applied") {
    it.Watcher->onPeerUpdate(update, TimerService::now());
    CHECK(it.Present == std::vector<std::string>{"i-1"});
    CHECK(it.Watcher->positions().Replica == 12);
  }
  SECTION("an update after a gap is ignored") {
    update.ReplicaFrom = 11;
    it.Watcher->onPeerUpdate(update, TimerService::now());
    CHECK(it.Present.empty());
    CHECK(it.Watcher->positions().Replica == 10);
  }
  SECTION("an update is not applied twice") {
    it.Watcher->onPeerUpdate(update, TimerService::now());
    update.ReplicaPosition = 11;
    it.Watcher->onPeerUpdate(update, TimerService::now());
    CHECK(it.Present.size() == 1);
  }
}

// Otherwise an entry that returns in the update that removes it looks as old as
// its removal, and the replica stays unused.
TEST_CASE("each change of an update keeps its own position", "[gateway]") {
  WatcherFixture it;
  RegistryUpdate update;
  update.ReplicaFrom = 10;
  update.ReplicaPosition = 15;
  update.Registered = {{{}, {"i-1"}, 12}, {{{"i-1", "text"}}, {}, 14}};
  SECTION("as the owner has read them") {
    it.Watcher->onPeerUpdate(update, TimerService::now());
    CHECK(it.ReplicaPositions == std::vector<std::uint64_t>{12, 14});
  }
  SECTION("also when it is forwarded") {
    it.Watcher->onPeerUpdate(update, TimerService::now());
    auto sent = it.Watcher->updateSince({10, 10});
    REQUIRE(sent.Registered.size() == 2);
    CHECK(sent.Registered[0].Position == 12);
    CHECK(sent.Registered[1].Position == 14);
  }
  SECTION("in their order if the owner's release tells no positions") {
    update.Registered[0].Position = update.Registered[1].Position = 0;
    it.Watcher->onPeerUpdate(update, TimerService::now());
    CHECK(it.ReplicaPositions == std::vector<std::uint64_t>{15, 15});
  }
  CHECK(it.Watcher->positions().Replica == 15);
}

// A node whose position has passed an entry that it can't parse never requests
// it again, and the previous plan stays in force until the next one.
TEST_CASE("a position does not pass an entry that can't be parsed",
          "[gateway]") {
  WatcherFixture it;
  RegistryUpdate update;
  update.ReplicaFrom = update.OperatorFrom = 10;
  update.ReplicaPosition = update.OperatorPosition = 12;
  SECTION("a plan") {
    update.Declared = {{"unreadable", {}}};
    it.Watcher->onPeerUpdate(update, TimerService::now());
    CHECK(it.Watcher->positions().Operator == 10);
    CHECK(it.Watcher->positions().Replica == 12);
  }
  SECTION("a replica") {
    update.Registered = {{{{"i-1", "unreadable"}}, {}}};
    it.Watcher->onPeerUpdate(update, TimerService::now());
    CHECK(it.Watcher->positions().Operator == 12);
    CHECK(it.Watcher->positions().Replica == 10);
  }
}

TEST_CASE("a version's age counts from the poll though a peer sent its "
          "declarations meanwhile",
          "[gateway]") {
  WatcherFixture it;
  auto heldAt = it.holdPoll();
  it.Watcher->onPeerDeclarations(Span(0), TimerService::now());
  it.HeldPolls[0](
      OperatorChanges{nullptr, {{WeightsRef::parse("m/a"), 3}}, 11});
  auto sentUpdate = it.Watcher->updateSince({10, 10});
  REQUIRE(sentUpdate.Declared.size() == 1);
  CHECK(Span(sentUpdate.Declared[0].Versions[0].AgeUs) >=
        TimerService::now() - heldAt - milliseconds(1));
}

TEST_CASE(
    "a poll that is answered early confirms the state only as of its request",
    "[gateway]") {
  WatcherFixture it;
  auto heldAt = it.holdPoll();
  // Something changed that is neither a plan nor a version.
  it.HeldPolls[0](OperatorChanges{nullptr, {}, 11, true});
  CHECK(it.Watcher->operatorAge() >=
        TimerService::now() - heldAt - milliseconds(1));
}

TEST_CASE("a node forwards the updates that it receives", "[gateway]") {
  WatcherFixture it;
  RegistryUpdate update;
  update.ReplicaFrom = update.OperatorFrom = 10;
  update.ReplicaPosition = update.OperatorPosition = 12;
  update.Registered = {{{{"i-1", "text"}}, {}}};
  update.Declared = {{"", {{"m/a", 3}}}};
  it.Watcher->onPeerUpdate(update, TimerService::now());
  CHECK(it.ChangeReports == 2);
  CHECK(it.VersionCount == 1);
  auto sentUpdate = it.Watcher->updateSince({10, 10});
  REQUIRE(sentUpdate.Registered.size() == 1);
  CHECK(sentUpdate.Registered[0].Present[0].first == "i-1");
  REQUIRE(sentUpdate.Declared.size() == 1);
  CHECK(sentUpdate.Declared[0].Versions[0].Version == 3);
  CHECK(sentUpdate.ReplicaPosition == 12);
  CHECK(it.Watcher->updateSince({1, 1}).ReplicaPosition == 0);
}

// Buffers of a suspended host may delay a message for long.
TEST_CASE("the delay of an update never makes a version younger", "[gateway]") {
  WatcherFixture it(Forever, Forever, false);
  auto now = TimerService::now();
  static constexpr Span ConfirmedAgo = std::chrono::hours(1);
  static constexpr Span Transit = std::chrono::minutes(1);
  it.Watcher->onBriefing({10, 10}, Span(0), Span(0), now - ConfirmedAgo);
  RegistryUpdate update;
  update.OperatorFrom = 10;
  update.OperatorPosition = 12;
  auto [age, minAge, maxAge] = GENERATE(table<Span, Span, Span>(
      {{Span(0), Transit, 2 * Transit},
       {Transit, 2 * Transit, 3 * Transit},
       // What was unknown at the briefing was declared later.
       {2 * ConfirmedAgo, ConfirmedAgo, 2 * ConfirmedAgo}}));
  update.Declared = {{"", {{"m/a", 3, age.count()}}}};
  it.Watcher->onPeerUpdate(update, now - Transit);
  auto sentUpdate = it.Watcher->updateSince({10, 10});
  REQUIRE(sentUpdate.Declared.size() == 1);
  auto versionAge = Span(sentUpdate.Declared[0].Versions[0].AgeUs);
  CHECK(versionAge >= minAge);
  CHECK(versionAge < maxAge);
  CHECK(Span(sentUpdate.OperatorAgeUs) >= Transit);
}

TEST_CASE("no delay on the way makes the list of replicas younger",
          "[late-news]") {
  constexpr Span Age = milliseconds(200);
  constexpr Span Transit = std::chrono::minutes(1);
  WatcherFixture it(Forever, Forever, false);
  auto now = TimerService::now();
  SECTION("of another node's whole state") {
    it.Watcher->onBriefing({10, 10}, Age, Age, now - Transit);
  }
  SECTION("of an owner's update") {
    it.Watcher->onBriefing({10, 10}, Age, Age, now - 2 * Transit);
    RegistryUpdate update;
    update.ReplicaFrom = 10;
    update.ReplicaPosition = 12;
    update.ReplicaAgeUs = Age.count();
    it.Watcher->onPeerUpdate(update, now - Transit);
    CHECK(it.Watcher->replicasAge() < 2 * Transit);
  }
  CHECK(it.Watcher->replicasAge() >= Age + Transit);
  CHECK(Span(it.Watcher->updateSince({10, 12}).ReplicaAgeUs) >= Age + Transit);
}

} // namespace hemlockglade::test
