// One request at a replica that is slow, silent or fails, while it is not known
// whether another replica can take the request over.

#include "UnitTests/Node/Gateway/GatewayExchangeRig.h"

#include <algorithm>

namespace hemlockglade::test {

namespace {

/// A resumable stream for weights that only the first of two engines has.
struct SlowFixture : ExchangeFixture {
  struct Demand {
    bool Waiting = false;
    std::set<std::string> Unusable;
  };

  explicit SlowFixture(bool engine = true, bool both = true) {
    RunsEngine = engine;
    TestRoute.Kind = RouteKind::Stream;
    TestRoute.Resumable = true;
    TestRoute.MaxAttempts = 2;
    TestRoute.TargetLatency = milliseconds(60);
    TestRoute.TargetGap = milliseconds(5);
    Settings.MinStallTime = milliseconds(60);
    Settings.MinSlowTime = milliseconds(60);
    Settings.SlowFactor = 0.1;
    Settings.DemandReminderInterval = milliseconds(20);
    Shared.OnDemand = [this](const auto &, const auto &, bool waiting,
                             const auto &unusable) {
      Demands.push_back({waiting, unusable});
    };
    Shared.OnCongested = [](auto &&...) {};
    Shared.OnDone = [](auto &&...) {};
    Shared.OnSent = [](auto &&...) {};
    registerReplicas(both);
    if (engine)
      setResidency("i-1");
  }

  void setResidency(const std::string &replica) {
    auto now = TimerService::now();
    View.onResidency(replica, {{Adapter, {1, now}}}, now);
  }

  /// Whether a copy was asked for, beside one at the first replica.
  bool asksForCopy() const {
    return !Demands.empty() && Demands.back().Waiting &&
           Demands.back().Unusable == std::set<std::string>{"i-1"};
  }

  void wait(Span span) {
    auto startedAt = TimerService::now();
    asio::steady_timer timer(Context, span);
    timer.async_wait([](asio::error_code) {});
    until([&] { return TimerService::now() - startedAt >= span; });
  }

  /// Whether a log line has the event and the text.
  bool logged(std::string_view event, std::string_view text) const {
    return std::any_of(Lines.begin(), Lines.end(), [&](const auto &it) {
      return it.find(event) != std::string::npos &&
             it.find(text) != std::string::npos;
    });
  }

  std::vector<Demand> Demands;
};

const std::string StreamEnd = "0\r\n\r\n";

} // namespace

TEST_CASE("a stream at a slow engine that alone has the weights is not cut off",
          "[slow]") {
  SlowFixture it;
  bool hasEvents = GENERATE(false, true);
  it.First.Script = {{hasEvents ? StreamHead + chunk(event(1)) : ""}};
  it.sendRequest("Weights: m/a1\r\n");
  REQUIRE(it.until([&] { return it.asksForCopy(); }));
  it.wait(milliseconds(60));
  CHECK(it.First.Ended == 0);
  CHECK(it.logged("slow-kept", "i-1"));
  it.First.sendMore((hasEvents ? "" : StreamHead) + chunk(event(2)) +
                    StreamEnd);
  REQUIRE(it.untilEnded());
  CHECK(it.Outcome == "complete");
  CHECK(it.untilReceived("data: 2"));
  CHECK(it.Second.Requests.empty());
}

TEST_CASE("a stream at a silent engine goes on elsewhere once a copy is there",
          "[slow]") {
  SlowFixture it;
  it.First.Script = {{StreamHead + chunk(event(1))}};
  it.Second.Script = {{StreamHead + chunk(event(2)) + StreamEnd}};
  it.sendRequest("Weights: m/a1\r\n");
  REQUIRE(it.until([&] { return it.asksForCopy(); }));
  it.setResidency("i-2");
  REQUIRE(it.untilEnded());
  CHECK(it.Outcome == "complete");
  REQUIRE(it.Second.Requests.size() == 1);
  CHECK(*findField(it.Second.Requests[0].Head.Fields, "Behind") == "1");
  CHECK(it.First.Ended == 1);
}

TEST_CASE("an engine that was slow for a while is left again only after the "
          "usual silence",
          "[slow]") {
  SlowFixture it;
  it.First.Script = {{StreamHead + chunk(event(1))}};
  it.sendRequest("Weights: m/a1\r\n");
  REQUIRE(it.until([&] { return it.asksForCopy(); }));
  it.Settings.MinStallTime = std::chrono::seconds(5);
  it.First.sendMore(chunk(event(2)));
  REQUIRE(it.untilReceived("data: 2"));
  it.setResidency("i-2");
  it.wait(milliseconds(100));
  CHECK(it.Second.Requests.empty());
  it.First.sendMore(StreamEnd);
  REQUIRE(it.untilEnded());
  CHECK(it.Outcome == "complete");
}

TEST_CASE(
    "a request at a slow plain replica is not cut off without another one",
    "[slow]") {
  SlowFixture it(false);
  it.TestRoute.Kind = RouteKind::Repeatable;
  it.View.onPauseAsked("i-2", std::chrono::seconds(9), TimerService::now());
  it.sendRequest();
  REQUIRE(it.until([&] { return it.First.Requests.size() == 1; }));
  it.wait(milliseconds(150));
  it.First.sendMore(answer(200, "late"));
  REQUIRE(it.untilReceived("late"));
  CHECK(it.Outcome == "complete");
  CHECK(it.Demands.empty());
}

TEST_CASE("a slow attempt is ended only after the other replica has granted "
          "the request",
          "[slow]") {
  SlowFixture it(false);
  it.TestRoute.Kind = RouteKind::Repeatable;
  it.View.onLimit("i-2", 5, TimerService::now());
  auto verdict =
      GENERATE(QuotaService::Verdict::Allowed, QuotaService::Verdict::Limited);
  bool isAllowed = verdict == QuotaService::Verdict::Allowed;
  QuotaService::OnDecided decided;
  int released = 0;
  it.Shared.ReplicaLimits.Reserve = [&](const auto &, double, auto hook) {
    decided = std::move(hook);
  };
  it.Shared.ReplicaLimits.Release = [&](const auto &, double) { ++released; };
  it.Second.Script = {{answer(200, "other")}};
  it.sendRequest();
  REQUIRE(it.until([&] { return decided != nullptr; }));
  it.wait(milliseconds(60));
  CHECK(it.First.Ended == 0);
  std::exchange(decided,
                nullptr)({0, verdict, milliseconds(500), milliseconds(500)});
  if (isAllowed) {
    REQUIRE(it.untilReceived("other"));
    CHECK(it.First.Ended == 1);
  } else {
    it.wait(milliseconds(60));
    it.First.sendMore(answer(200, "late"));
    REQUIRE(it.untilReceived("late"));
    CHECK(it.Second.Requests.empty());
  }
  CHECK(released == 0);
}

TEST_CASE("a slow request at a plain replica waits its turn behind held ones",
          "[slow]") {
  SlowFixture it(false);
  it.TestRoute.Kind = RouteKind::Repeatable;
  FairQueue queue;
  it.Shared.PlainQueue = &queue;
  int woken = 0;
  FairQueue::Request held;
  held.OnTimeUntil = Instant::max();
  held.Wake = [&woken] { ++woken; };
  auto ticket = queue.join("s", held);
  queue.deferUntil("s", ticket, TimerService::now() + milliseconds(50));
  it.Second.Script = {{answer(200, "other")}};
  it.sendRequest();
  REQUIRE(it.until([&] { return it.First.Requests.size() == 1; }));
  it.wait(milliseconds(150));
  CHECK(woken > 0);
  CHECK(it.First.Ended == 0);
  bool isTaken = GENERATE(true, false);
  if (isTaken) {
    queue.onServed("s", ticket);
    queue.wakeNext("s", TimerService::now());
    REQUIRE(it.untilReceived("other"));
    CHECK(it.First.Ended == 1);
  } else {
    it.First.sendMore(answer(200, "late"));
    REQUIRE(it.untilReceived("late"));
    queue.leave("s", ticket);
  }
  CHECK_FALSE(queue.hasWaiting("s"));
}

TEST_CASE("a copy is asked for at once when the only engine with the weights "
          "breaks off",
          "[slow]") {
  SlowFixture it;
  it.View.onResidency("i-1", {}, TimerService::now());
  // No further reminder is due during the test.
  it.Settings.DemandReminderInterval = std::chrono::seconds(60);
  it.First.Script = {{StreamHead + chunk(event(1)), Then::Reset}};
  it.Second.Script = {{StreamHead + chunk(event(2)) + StreamEnd}};
  it.sendRequest("Weights: m/a1\r\n");
  REQUIRE(it.until([&] { return it.Demands.size() == 2; }));
  REQUIRE(it.Demands[1].Waiting);
  it.setResidency("i-1");
  REQUIRE(it.until([&] { return it.asksForCopy(); }));
  it.setResidency("i-2");
  REQUIRE(it.untilEnded());
  CHECK(it.Outcome == "complete");
}

TEST_CASE("a stream on a route without a target gap is not ended while events "
          "arrive",
          "[slow]") {
  SlowFixture it;
  it.TestRoute.TargetGap = Span(0);
  it.Settings.MinStallTime = milliseconds(300);
  it.setResidency("i-2");
  it.First.Script = {{StreamHead + chunk(event(1))}};
  it.sendRequest("Weights: m/a1\r\n");
  REQUIRE(it.untilReceived("data: 1"));
  int n = 1;
  TimerService timers(it.Context);
  auto subscription = timers.every(
      milliseconds(10), [&](Instant) { it.First.sendMore(chunk(event(++n))); });
  REQUIRE(it.until([&] { return n == 60; }));
  CHECK(it.First.Ended == 0);
  CHECK(it.Second.Requests.empty());
}

TEST_CASE(
    "a replica is not taken for slow while its answer is not read because "
    "the caller is slow",
    "[slow]") {
  SlowFixture it;
  it.setResidency("i-2");
  it.Settings.MaxQueuedBytes = 1;
  it.Settings.MinStallTime = milliseconds(300);
  it.First.Script = {{StreamHead}};
  asio::ip::tcp::socket caller(it.Context);
  caller.connect(it.localhost(it.Server->port()));
  asio::write(caller, asio::buffer(std::string(
                          "POST /x HTTP/1.1\r\nHost: a\r\nId: r1\r\n"
                          "Weights: m/a1\r\nContent-Length: 2\r\n\r\nhi")));
  REQUIRE(it.until([&] { return it.First.Requests.size() == 1; }));
  // One chunk is larger than all that is sent, so that a part of an event that
  // the socket does not take leaves the answer valid.
  it.First.sendMore("8000000\r\n");
  constexpr std::size_t EventSize = 60'000;
  auto large = "data: " + std::string(EventSize, 'x') + "\n\n";
  // The kernel takes more for the caller now and then, so that there always has
  // to be more to send.
  {
    TimerService timers(it.Context);
    auto subscription = timers.every(
        milliseconds(5), [&](Instant) { it.First.sendMore(large); });
    it.wait(milliseconds(1500));
  }
  CHECK(it.First.Ended == 0);
  CHECK(it.Second.Requests.empty());
  // Its silence counts again once the caller has taken the answer.
  std::string taken(std::size_t{1} << 20, ' ');
  std::function<void()> read = [&] {
    caller.async_read_some(asio::buffer(taken),
                           [&](asio::error_code ec, std::size_t) {
                             if (!ec)
                               read();
                           });
  };
  read();
  CHECK(it.until([&] { return it.Second.Requests.size() == 1; }));
  caller.close();
  REQUIRE(it.untilEnded());
}

TEST_CASE("a failing replica's own answer is passed on if no other replica "
          "takes the request over",
          "[slow]") {
  SlowFixture it(false, false);
  it.TestRoute.Kind = RouteKind::Repeatable;
  RouteQuery query;
  query.Service = "s";
  for (int n = 0; n < 10; ++n) {
    auto now = TimerService::now();
    auto attempt = it.View.onSent("i-1", query, now);
    it.View.onEnd("i-1", attempt, query, AttemptVerdict::ReplicaError, now);
  }
  bool isPaused = GENERATE(true, false);
  it.Shared.ReplicaLimits.Reserve = [](const auto &, double, auto decided) {
    constexpr Span Later = std::chrono::seconds(9);
    decided({0, QuotaService::Verdict::Limited, Later, Later});
  };
  it.First.Answer = [&](const auto &) {
    it.registerReplicas();
    if (isPaused)
      it.View.onPauseAsked("i-2", std::chrono::seconds(9), TimerService::now());
    else
      it.View.onLimit("i-2", 5, TimerService::now());
    return ScriptedReplica::Step{answer(500, "sorry")};
  };
  it.sendRequest();
  REQUIRE(it.untilReceived("HTTP/1.1 500"));
  CHECK(it.untilReceived("sorry"));
  CHECK(it.Second.Requests.empty());
}

TEST_CASE("a plain answer of a stated length that is arriving is not slow",
          "[slow]") {
  SlowFixture it(false);
  it.TestRoute.Kind = RouteKind::Repeatable;
  it.Settings.MinSlowTime = milliseconds(300);
  it.First.Script = {{"HTTP/1.1 200 X\r\nId: r1\r\nSeal: s\r\n"
                      "Content-Length: 26\r\n\r\n"}};
  it.sendRequest();
  REQUIRE(it.until([&] { return it.First.Requests.size() == 1; }));
  char next = 'a';
  TimerService timers(it.Context);
  auto subscription = timers.every(milliseconds(25), [&](Instant) {
    if (next <= 'z')
      it.First.sendMore(std::string(1, next++));
  });
  REQUIRE(it.untilReceived("abcdefghijklmnopqrstuvwxyz"));
  CHECK(it.Second.Requests.empty());
}

TEST_CASE("a plain answer that is arriving is passed on when its request is "
          "barred",
          "[slow]") {
  SlowFixture it(false, false);
  it.TestRoute.Kind = RouteKind::RunOnce;
  bool isAnswered = false;
  it.Shared.OnAnswer = [&](auto &&...) { isAnswered = true; };
  it.First.Script = {{"HTTP/1.1 200 X\r\nId: r1\r\nSeal: s\r\n"
                      "Content-Length: 5\r\n\r\nhe"}};
  it.sendRequest();
  REQUIRE(it.until([&] { return isAnswered; }));
  it.BarredFor = std::chrono::seconds(90);
  it.Exchange->onBarred();
  it.First.sendMore("llo");
  REQUIRE(it.untilReceived("hello"));
  CHECK(it.Outcome == "complete");
}

} // namespace hemlockglade::test
