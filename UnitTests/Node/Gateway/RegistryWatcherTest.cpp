#include "Programs/hemlockgladed/Gateway/RegistryWatcher.h"

#include "UnitTests/Transport/Loopback.h"

namespace hemlockglade::test {

namespace {

using std::chrono::milliseconds;

/// Longer than any test.
constexpr Span Long = std::chrono::hours(1);

/// A registry that counts looks and answers them at once, but for the one that
/// waits for declarations.
struct WatchFixture : Loopback {
  explicit WatchFixture(Span slack = Long, Span silence = Long,
                        bool starts = true)
      : Log(
            {"n"}, [](std::string_view) {},
            [] { return std::chrono::microseconds(0); }),
        Timers(Context) {
    RegistryHooks registry;
    registry.ReadOperator = [this](auto done) {
      ++Reads;
      if (Away)
        return post(
            [done] { done(tl::unexpected(RegistryError::Unavailable)); });
      post([done, this] { done(OperatorChanges{nullptr, {}, Position}); });
    };
    registry.WatchOperator = [this](std::uint64_t, Span wait, auto done) {
      ++Waits;
      if (Holds)
        return HeldLooks.push_back(done);
      Timers.after(wait, [done, this](Instant) {
        done(OperatorChanges{nullptr, {}, Position});
      });
    };
    registry.ReadReplicas = [this](auto done) {
      ++Reads;
      if (Away)
        return post(
            [done] { done(tl::unexpected(RegistryError::Unavailable)); });
      post([done, this] { done(ReplicaChanges{true, {}, {}, Position}); });
    };
    registry.WatchReplicas = [this](std::uint64_t, auto done) {
      ++Looks;
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
    settings.Poll.ReplicaPeriod = milliseconds(100);
    settings.PeerUpdateSlack = slack;
    settings.OwnerSilence = silence;
    settings.Poll.RetryPause = milliseconds(10);
    settings.StandbyPause = milliseconds(200);
    settings.Poll.MaxOperatorAge = settings.Poll.MaxReplicaAge =
        milliseconds(1500);
    RegistryWatcher::Hooks hooks;
    hooks.OnOperator = [this](const auto &it) {
      Versions += it.Versions.size();
    };
    hooks.OnReplicas = [this](const auto &it, bool) {
      for (const auto &at : it.Present)
        Present.push_back(at.Incarnation.id());
    };
    hooks.InformsPeers = [this] { return Tells; };
    hooks.StandsBy = [this] { return StandsBy; };
    hooks.OnUpdate = [this] { ++News; };
    Watch = std::make_unique<RegistryWatcher>(Timers, registry, settings,
                                              std::move(hooks), Log);
    if (!starts)
      return;
    Watch->start(Span(0));
    until([this] { return Watch->positions().Replica != 0; });
  }

  void post(std::function<void()> call) {
    asio::post(Context, std::move(call));
  }

  /// The next look for declarations stays open for a while; when it began.
  Instant holdLook() {
    constexpr Span HeldFor = milliseconds(150);
    Holds = true;
    REQUIRE(until([this] { return !HeldLooks.empty(); }));
    auto since = TimerService::now();
    until([&] { return TimerService::now() >= since + HeldFor; });
    return since;
  }

  /// Tells the node again and again, as an owner does.
  void tellAgainAndAgain(Span age, Span onItsWay = Span(0)) {
    Telling = Timers.every(milliseconds(20), [this, age, onItsWay](Instant) {
      ++Tellings;
      RegistryUpdate news;
      news.OperatorFrom = news.ReplicaFrom = Position;
      news.OperatorPosition = news.ReplicaPosition = Position;
      news.ReplicaAgeUs = news.OperatorAgeUs = age.count();
      Watch->onPeerUpdate(news, TimerService::now() - onItsWay);
    });
  }
  bool untilTold(int times) {
    return until([this, times] { return Tellings >= times; });
  }

  EventLog Log;
  TimerService Timers;
  std::uint64_t Position = 10;
  bool Tells = false;
  bool StandsBy = false;
  /// Looks that wait for declarations are not answered yet.
  bool Holds = false;
  std::vector<RegistryCallback<OperatorChanges>> HeldLooks;
  /// The registry answers no reading of everything.
  bool Away = false;
  int Reads = 0;
  int Looks = 0;
  int Waits = 0;
  int News = 0;
  std::size_t Versions = 0;
  std::vector<std::string> Present;
  int Tellings = 0;
  std::unique_ptr<RegistryWatcher> Watch;
  TimerService::Subscription Telling;
};

} // namespace

TEST_CASE("a node that is told of the registry does not look", "[gateway]") {
  WatchFixture it;
  it.tellAgainAndAgain(Span(0));
  // The look that waits for declarations ends by itself.
  REQUIRE(it.untilTold(10));
  it.Looks = it.Waits = 0;
  REQUIRE(it.untilTold(30));
  CHECK(it.Looks == 0);
  CHECK(it.Waits == 0);
}

TEST_CASE("a node looks again when the one that told it falls silent",
          "[gateway]") {
  WatchFixture it(milliseconds(50), milliseconds(80));
  it.tellAgainAndAgain(Span(0));
  REQUIRE(it.untilTold(10));
  it.Telling.reset();
  it.Looks = it.Waits = 0;
  CHECK(it.until([&] { return it.Looks > 0 && it.Waits > 0; }));
}

TEST_CASE("a node that has to tell others looks though it is told",
          "[gateway]") {
  WatchFixture it;
  it.Tells = true;
  it.tellAgainAndAgain(Span(0));
  CHECK(it.until([&] { return it.Looks > 2 && it.Waits > 2; }));
}

TEST_CASE("news with old knowledge do not keep a node from looking",
          "[gateway]") {
  WatchFixture it(milliseconds(50));
  it.tellAgainAndAgain(std::chrono::seconds(1));
  CHECK(it.until([&] { return it.Looks > 2 && it.Waits > 2; }));
}

TEST_CASE("news that were on their way for long do not keep a node from "
          "looking",
          "[late-news]") {
  WatchFixture it(milliseconds(50));
  it.tellAgainAndAgain(Span(0), std::chrono::seconds(1));
  CHECK(it.until([&] { return it.Looks > 2 && it.Waits > 2; }));
}

// While the registry turns the owner away, those in service find out for
// themselves at once; all others only where the bounds would not hold.
TEST_CASE("a node that stands by is told older things before it looks itself",
          "[gateway]") {
  bool standsBy = GENERATE(true, false);
  WatchFixture it(milliseconds(50));
  it.StandsBy = standsBy;
  it.tellAgainAndAgain(milliseconds(500));
  REQUIRE(it.untilTold(10));
  it.Looks = it.Waits = 0;
  REQUIRE(it.untilTold(30));
  CHECK((it.Looks == 0) == standsBy);
  CHECK((it.Waits == 0) == standsBy);
}

// Callers come to it as well, and the registry may turn away the owner alone.
TEST_CASE("a node that stands by looks itself before a bound is over",
          "[gateway]") {
  WatchFixture it(milliseconds(50));
  it.StandsBy = true;
  it.tellAgainAndAgain(std::chrono::seconds(2));
  CHECK(it.until([&] { return it.Looks > 2 && it.Waits > 2; }));
}

TEST_CASE("a node that another tells all at its start reads nothing",
          "[gateway]") {
  WatchFixture it(Long, Long, false);
  it.StandsBy = true;
  it.Watch->start(milliseconds(100));
  it.Watch->onBriefed({10, 10}, Span(0), Span(0), TimerService::now());
  it.tellAgainAndAgain(Span(0));
  REQUIRE(it.untilTold(15));
  CHECK(it.Reads == 0);
  CHECK(it.Looks == 0);
  CHECK(it.Watch->positions().Operator == 10);
  CHECK(it.Watch->positions().Replica == 10);
}

TEST_CASE("what a node has seen itself is not undone by what it is told",
          "[gateway]") {
  WatchFixture it;
  it.Watch->onBriefed({4, 4}, Span(0), Span(0), TimerService::now());
  CHECK(it.Watch->positions().Operator == 10);
  CHECK(it.Watch->positions().Replica == 10);
}

// After the loss of all while the registry is away, few ask it.
TEST_CASE("of nodes that know nothing those that stand by ask more rarely",
          "[gateway]") {
  int reads[2] = {0, 0};
  for (bool standsBy : {false, true}) {
    WatchFixture it(Long, Long, false);
    it.StandsBy = standsBy;
    it.Away = true;
    it.Watch->start(Span(0));
    bool passed = false;
    it.Timers.after(milliseconds(300), [&](Instant) { passed = true; });
    REQUIRE(it.until([&] { return passed; }));
    reads[standsBy ? 1 : 0] = it.Reads;
  }
  CHECK(reads[1] >= 2);
  CHECK(reads[1] <= 4);
  CHECK(reads[0] > 2 * reads[1]);
}

TEST_CASE("news are taken only where they follow on what is known",
          "[gateway]") {
  WatchFixture it;
  RegistryUpdate news;
  news.ReplicaFrom = 10;
  news.ReplicaPosition = 12;
  news.Registered = {{{{"i-1", "text"}}, {}}};
  SECTION("those that do") {
    it.Watch->onPeerUpdate(news, TimerService::now());
    CHECK(it.Present == std::vector<std::string>{"i-1"});
    CHECK(it.Watch->positions().Replica == 12);
  }
  SECTION("not behind a gap") {
    news.ReplicaFrom = 11;
    it.Watch->onPeerUpdate(news, TimerService::now());
    CHECK(it.Present.empty());
    CHECK(it.Watch->positions().Replica == 10);
  }
  SECTION("not twice") {
    it.Watch->onPeerUpdate(news, TimerService::now());
    news.ReplicaPosition = 11;
    it.Watch->onPeerUpdate(news, TimerService::now());
    CHECK(it.Present.size() == 1);
  }
}

// A node whose position has passed what it could not read never asks for it
// again, and the plan before stays in force until the next one.
TEST_CASE("a node does not pass what it was told and can't read", "[gateway]") {
  WatchFixture it;
  RegistryUpdate news;
  news.ReplicaFrom = news.OperatorFrom = 10;
  news.ReplicaPosition = news.OperatorPosition = 12;
  SECTION("a plan") {
    news.Declared = {{"unreadable", {}}};
    it.Watch->onPeerUpdate(news, TimerService::now());
    CHECK(it.Watch->positions().Operator == 10);
    CHECK(it.Watch->positions().Replica == 12);
  }
  SECTION("a replica") {
    news.Registered = {{{{"i-1", "unreadable"}}, {}}};
    it.Watch->onPeerUpdate(news, TimerService::now());
    CHECK(it.Watch->positions().Operator == 12);
    CHECK(it.Watch->positions().Replica == 10);
  }
}

TEST_CASE("news make a name no younger though a peer told all meanwhile",
          "[gateway]") {
  WatchFixture it;
  auto heldAt = it.holdLook();
  it.Watch->onDeclared(Span(0), TimerService::now());
  it.HeldLooks[0](
      OperatorChanges{nullptr, {{WeightsRef::parse("m/a"), 3}}, 11});
  auto told = it.Watch->updateSince({10, 10});
  REQUIRE(told.Declared.size() == 1);
  CHECK(Span(told.Declared[0].Versions[0].AgeUs) >=
        TimerService::now() - heldAt - milliseconds(1));
}

TEST_CASE("a look that is answered early speaks for no more than its question",
          "[gateway]") {
  WatchFixture it;
  auto heldAt = it.holdLook();
  // Something changed that is neither a plan nor a version.
  it.HeldLooks[0](OperatorChanges{nullptr, {}, 11, true});
  CHECK(it.Watch->confirmedAge() >=
        TimerService::now() - heldAt - milliseconds(1));
}

TEST_CASE("what a node was told it tells on", "[gateway]") {
  WatchFixture it;
  RegistryUpdate news;
  news.ReplicaFrom = news.OperatorFrom = 10;
  news.ReplicaPosition = news.OperatorPosition = 12;
  news.Registered = {{{{"i-1", "text"}}, {}}};
  news.Declared = {{"", {{"m/a", 3}}}};
  it.Watch->onPeerUpdate(news, TimerService::now());
  CHECK(it.News == 2);
  CHECK(it.Versions == 1);
  auto told = it.Watch->updateSince({10, 10});
  REQUIRE(told.Registered.size() == 1);
  CHECK(told.Registered[0].Present[0].first == "i-1");
  REQUIRE(told.Declared.size() == 1);
  CHECK(told.Declared[0].Versions[0].Version == 3);
  CHECK(told.ReplicaPosition == 12);
  CHECK(it.Watch->updateSince({1, 1}).ReplicaPosition == 0);
}

// A suspended host's buffers may keep a message for long.
TEST_CASE("time that news were on their way never makes a version younger",
          "[gateway]") {
  WatchFixture it(Long, Long, false);
  auto now = TimerService::now();
  static constexpr Span Known = std::chrono::hours(1);
  static constexpr Span OnWay = std::chrono::minutes(1);
  it.Watch->onBriefed({10, 10}, Span(0), Span(0), now - Known);
  RegistryUpdate news;
  news.OperatorFrom = 10;
  news.OperatorPosition = 12;
  auto [age, least, most] =
      GENERATE(table<Span, Span, Span>({{Span(0), OnWay, 2 * OnWay},
                                        {OnWay, 2 * OnWay, 3 * OnWay},
                                        // What was not known then came later.
                                        {2 * Known, Known, 2 * Known}}));
  news.Declared = {{"", {{"m/a", 3, age.count()}}}};
  it.Watch->onPeerUpdate(news, now - OnWay);
  auto told = it.Watch->updateSince({10, 10});
  REQUIRE(told.Declared.size() == 1);
  auto named = Span(told.Declared[0].Versions[0].AgeUs);
  CHECK(named >= least);
  CHECK(named < most);
  CHECK(Span(told.OperatorAgeUs) >= OnWay);
}

} // namespace hemlockglade::test
