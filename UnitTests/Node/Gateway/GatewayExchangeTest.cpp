#include "UnitTests/Node/Gateway/GatewayExchangeRig.h"

namespace hemlockglade::test {

TEST_CASE("request and answer are forwarded unchanged", "[gateway]") {
  ExchangeFixture it;
  it.registerReplicas();
  it.First.Script = {{answer(200, "hello", "Id: r1\r\nSeal: s\r\nX: 1\r\n")}};
  it.sendRequest();
  REQUIRE(it.untilReceived("hello"));
  CHECK(it.received("HTTP/1.1 200"));
  CHECK(it.received("Seal: s"));
  CHECK(it.received("X: 1"));
  REQUIRE(it.First.Requests.size() == 1);
  const auto &sent = it.First.Requests[0];
  CHECK(sent.Head.Method == "POST");
  CHECK(sent.Head.Target == "/x/y?z=1");
  CHECK(sent.Body == "hi");
  CHECK(*findField(sent.Head.Fields, "Meant-For") == "i-1");
}

TEST_CASE("a request is not sent by an old list of replicas", "[gateway]") {
  ExchangeFixture it;
  bool isOld = true;
  it.Shared.ReplicaList.RefreshIfOld = [&isOld] { return isOld; };
  it.registerReplicas();
  it.First.Script = {{answer(200, "hello")}};
  it.sendRequest();
  REQUIRE(it.until([&] { return it.Exchange && it.Exchange->waiting(); }));
  it.settle();
  CHECK(it.First.Requests.empty());
  isOld = false;
  REQUIRE(it.untilReceived("hello"));
}

TEST_CASE("a request is not written to a replica that began to drain while its "
          "connection was opened",
          "[gateway]") {
  ExchangeFixture it;
  it.TestRoute.Kind = RouteKind::RunOnce;
  it.registerReplicas();
  it.Second.Script = {{answer(200, "hello")}};
  auto first = it.View.inUse().front();
  it.Shared.Crashes.OnSent = [&](const CrashSubject &) {
    auto draining = *first;
    draining.Draining = true;
    it.View.onRegistry({false, {draining}, {}, 2}, false, TimerService::now());
  };
  it.sendRequest();
  REQUIRE(it.untilReceived("hello"));
  CHECK(it.First.Requests.empty());
  CHECK(it.Second.Requests.size() == 1);
}

TEST_CASE("a run-once request that may have run is not retried", "[gateway]") {
  ExchangeFixture it;
  it.TestRoute.Kind = RouteKind::RunOnce;
  it.TestRoute.MaxAttempts = 3;
  it.registerReplicas();
  auto step = GENERATE(
      as<ScriptedReplica::Step>{}, ScriptedReplica::Step{"", Then::Close},
      ScriptedReplica::Step{"", Then::Reset},
      ScriptedReplica::Step{"HTTP/1.1 200 OK\r\nId: r1\r\nSeal: "
                            "s\r\nContent-Length: 9\r\n\r\nhal",
                            Then::Close},
      ScriptedReplica::Step{"nonsense\r\n\r\n", Then::Keep},
      ScriptedReplica::Step{answer(200, "x", "Id: r1\r\n"), Then::Keep},
      ScriptedReplica::Step{answer(503, "x"), Then::Keep},
      ScriptedReplica::Step{answer(429, "x", "Id: r1\r\n"), Then::Keep});
  it.First.Script = {step};
  it.sendRequest();
  REQUIRE(it.untilReceived("HTTP/1.1 502"));
  CHECK_FALSE(it.received("Seal"));
  CHECK(it.Second.Requests.empty());
}

TEST_CASE("a repeatable request is retried at another replica", "[gateway]") {
  ExchangeFixture it;
  it.TestRoute.Kind = RouteKind::Repeatable;
  it.TestRoute.MaxAttempts = 2;
  it.registerReplicas();
  it.First.Script = {{"", Then::Reset}};
  it.Second.Script = {{answer(200, "hello")}};
  it.sendRequest();
  REQUIRE(it.untilReceived("hello"));
  CHECK(it.Second.Requests.size() == 1);
}

TEST_CASE("a retry that was held counts against the budget from when it is "
          "sent",
          "[gateway]") {
  ExchangeFixture it;
  it.holdRetry();
  auto allowedAt = TimerService::now();
  it.until([&] { return TimerService::now() - allowedAt > milliseconds(450); });
  it.registerReplicas();
  REQUIRE(it.until([&] { return it.Second.Requests.size() == 1; }));
  CHECK_FALSE(it.Budget.tryReserve("s", TimerService::now()));
}

TEST_CASE("a held retry whose caller has left is returned to the budget",
          "[gateway]") {
  ExchangeFixture it;
  it.holdRetry();
  it.Peer.close();
  REQUIRE(it.untilEnded());
  CHECK(it.Budget.tryReserve("s", TimerService::now()));
}

TEST_CASE("the number of attempts is limited by the route", "[gateway]") {
  ExchangeFixture it;
  it.TestRoute.Kind = RouteKind::Repeatable;
  it.TestRoute.MaxAttempts = 1;
  it.registerReplicas();
  it.First.Script = {{"", Then::Reset}};
  it.sendRequest();
  REQUIRE(it.untilReceived("HTTP/1.1 502"));
  CHECK(it.Second.Requests.empty());
}

TEST_CASE("a request that was shed is sent to another replica even if it is "
          "run-once",
          "[gateway]") {
  ExchangeFixture it;
  it.TestRoute.Kind = RouteKind::RunOnce;
  it.registerReplicas();
  auto shed = answer(503, "", "Not-Run: 1\r\n");
  it.First.Script = {{shed}, {shed}, {shed}};
  SECTION("another replica accepts it") {
    it.Second.Script = {{answer(200, "hello")}};
    it.sendRequest();
    CHECK(it.untilReceived("hello"));
  }
  SECTION("refused with Retry-After if none accepts it") {
    it.Settings.MaxHoldShare = 0.05;
    it.Second.Script = {{shed}, {shed}, {shed}};
    it.sendRequest();
    REQUIRE(it.untilReceived("HTTP/1.1 503"));
    CHECK(it.received("Retry-After: 0."));
  }
}

TEST_CASE("a held request is sent again to replicas that shed it",
          "[gateway]") {
  ExchangeFixture it;
  it.TestRoute.Kind = RouteKind::RunOnce;
  it.registerReplicas();
  auto shed = answer(503, "", "Not-Run: 1\r\n");
  it.First.Script = {{shed}, {answer(200, "hello")}};
  it.Second.Script = {{shed}, {answer(200, "hello")}};
  it.sendRequest();
  REQUIRE(it.untilReceived("hello"));
  CHECK(it.First.Requests.size() + it.Second.Requests.size() == 3);
}

TEST_CASE("the backoff doubles for replicas that keep shedding a request",
          "[gateway]") {
  ExchangeFixture it;
  it.TestRoute.Kind = RouteKind::RunOnce;
  it.registerReplicas();
  auto shed = answer(503, "", "Not-Run: 1\r\n");
  it.First.Script = std::vector<ScriptedReplica::Step>(100, {shed});
  it.Second.Script = it.First.Script;
  it.sendRequest();
  REQUIRE(it.untilReceived("HTTP/1.1 503"));
  // Held for 0.9 s: further attempts after backoffs of 50, 100, 200 and 400 ms.
  CHECK(it.First.Requests.size() + it.Second.Requests.size() <= 10);
}

TEST_CASE("a failed connection does not count as an attempt", "[gateway]") {
  ExchangeFixture it;
  it.TestRoute.Kind = RouteKind::RunOnce;
  it.registerReplicas();
  it.First.stop();
  it.Second.Script = {{answer(200, "hello")}};
  it.sendRequest();
  CHECK(it.untilReceived("hello"));
}

TEST_CASE(
    "a request that was sent is answered at its timeout with 504, not with 503",
    "[gateway]") {
  ExchangeFixture it;
  it.TestRoute.Kind = RouteKind::RunOnce;
  it.TestRoute.Timeout = milliseconds(150);
  it.registerReplicas();
  it.sendRequest();
  REQUIRE(it.untilEnded());
  REQUIRE(it.untilReceived("HTTP/1.1 504"));
  CHECK(it.until([&] { return it.First.Ended == 1; }));
}

TEST_CASE("a request without a known replica is refused before its timeout",
          "[gateway]") {
  ExchangeFixture it;
  it.TestRoute.Timeout = milliseconds(300);
  it.sendRequest();
  REQUIRE(it.untilReceived("HTTP/1.1 503"));
  CHECK(it.received("Retry-After"));
}

TEST_CASE("a replica's signed failure is forwarded with its signature",
          "[gateway]") {
  ExchangeFixture it;
  it.TestRoute.Kind = RouteKind::Repeatable;
  it.TestRoute.MaxAttempts = 2;
  it.registerReplicas();
  it.First.Script = {{answer(500, "sorry")}};
  it.sendRequest();
  REQUIRE(it.untilReceived("sorry"));
  CHECK(it.received("HTTP/1.1 500"));
  CHECK(it.received("Seal: s"));
}

TEST_CASE("an answer to another request is ignored", "[gateway]") {
  ExchangeFixture it;
  it.registerReplicas();
  it.First.Script = {
      {answer(200, "stray", "Id: other\r\nSeal: s\r\n") + answer(200, "mine")}};
  it.sendRequest();
  REQUIRE(it.untilReceived("mine"));
  CHECK_FALSE(it.received("stray"));
}

TEST_CASE("the attempt is ended when the caller disconnects", "[gateway]") {
  ExchangeFixture it;
  it.registerReplicas();
  it.sendRequest();
  REQUIRE(it.until([&] { return it.First.Requests.size() == 1; }));
  it.Peer.close();
  CHECK(it.until([&] { return it.First.Ended == 1; }));
  CHECK(it.Outcome == "caller left");
}

TEST_CASE("only complete events are forwarded", "[gateway]") {
  ExchangeFixture it;
  it.TestRoute.Kind = RouteKind::Stream;
  it.registerReplicas();
  it.First.Script = {{StreamHead + chunk(event(1)) + chunk("id: 2\nda")}};
  it.sendRequest();
  REQUIRE(it.untilReceived(event(1)));
  it.settle();
  CHECK_FALSE(it.received("id: 2"));
}

TEST_CASE("a complete stream ends with the outcome complete", "[gateway]") {
  ExchangeFixture it;
  it.TestRoute.Kind = RouteKind::Stream;
  it.registerReplicas();
  it.First.Script = {
      {StreamHead + chunk(event(1)) + chunk(event(2)) + "0\r\n\r\n"}};
  it.sendRequest();
  REQUIRE(it.untilReceived("\r\n0\r\n\r\n"));
  CHECK(it.Outcome == "complete");
}

TEST_CASE(
    "a broken stream is resumed at another replica after its last complete "
    "event",
    "[gateway]") {
  ExchangeFixture it;
  it.TestRoute.Kind = RouteKind::Stream;
  it.TestRoute.Resumable = true;
  it.TestRoute.MaxAttempts = 2;
  it.registerReplicas();
  it.First.Script = {
      {StreamHead + chunk(event(1)) + chunk(event(2)) + chunk("id: 3\n"),
       Then::Reset}};
  auto resumedStream = StreamHead;
  resumedStream.replace(resumedStream.find("first"), 5, "other");
  it.Second.Script = {{resumedStream + chunk(event(3)) + "0\r\n\r\n"}};
  it.sendRequest();
  REQUIRE(it.untilReceived("\r\n0\r\n\r\n"));
  REQUIRE(it.Second.Requests.size() == 1);
  CHECK(*findField(it.Second.Requests[0].Head.Fields, "Behind") == "2");
  CHECK(it.received("Seal: first"));
  CHECK_FALSE(it.received("Seal: other"));
  auto position = it.Peer.Got.find(event(2));
  CHECK(it.Peer.Got.find(event(2), position + 1) == std::string::npos);
  CHECK(it.received(event(3)));
}

TEST_CASE("a broken stream that can't be resumed is not terminated as complete",
          "[gateway]") {
  ExchangeFixture it;
  it.TestRoute.Kind = RouteKind::Stream;
  it.TestRoute.MaxAttempts = 2;
  it.registerReplicas();
  auto then = GENERATE(Then::Reset, Then::Close);
  it.First.Script = {{StreamHead + chunk(event(1)), then}};
  it.sendRequest();
  REQUIRE(it.until([&] { return it.Peer.Ended; }));
  CHECK_FALSE(it.received("\r\n0\r\n\r\n"));
  CHECK(it.Second.Requests.empty());
}

TEST_CASE("a stalled stream is resumed at another replica", "[gateway]") {
  ExchangeFixture it;
  it.TestRoute.Kind = RouteKind::Stream;
  it.TestRoute.Resumable = true;
  it.TestRoute.MaxAttempts = 2;
  it.TestRoute.TargetGap = milliseconds(20);
  it.Settings.MinStallTime = milliseconds(100);
  it.TestRoute.TargetLatency = milliseconds(100);
  it.registerReplicas();
  it.First.Script = {{StreamHead + chunk(event(1))}};
  it.Second.Script = {{StreamHead + chunk(event(2)) + "0\r\n\r\n"}};
  it.sendRequest();
  REQUIRE(it.untilReceived("\r\n0\r\n\r\n"));
  CHECK(it.First.Ended == 1);
}

TEST_CASE("a request that is aborted at shutdown is answered by whether it was "
          "sent",
          "[gateway]") {
  ExchangeFixture it;
  SECTION("503 if it was not sent") {
    it.sendRequest();
    REQUIRE(it.until([&] { return it.Exchange != nullptr; }));
    it.Exchange->abort();
    CHECK(it.untilReceived("HTTP/1.1 503"));
  }
  SECTION("502 if it was sent") {
    it.registerReplicas();
    it.sendRequest();
    REQUIRE(it.until([&] { return it.First.Requests.size() == 1; }));
    it.Exchange->abort();
    CHECK(it.untilReceived("HTTP/1.1 502"));
  }
}

TEST_CASE("a retry does not extend the hold time that a shutdown allows",
          "[gateway]") {
  ExchangeFixture it;
  it.TestRoute.Kind = RouteKind::Stream;
  it.TestRoute.Resumable = true;
  it.TestRoute.MaxAttempts = 2;
  it.registerReplicas(false);
  it.First.Script = {{""}};
  it.sendRequest();
  REQUIRE(it.until([&] { return it.First.Requests.size() == 1; }));
  it.Exchange->holdAtMost(milliseconds(100));
  auto startedAt = TimerService::now();
  // There is no other replica.
  it.First.crash();
  REQUIRE(it.untilEnded());
  CHECK(TimerService::now() - startedAt < milliseconds(600));
}

TEST_CASE(
    "a stream from a replica that has restarted is resumed at another one",
    "[gateway][life]") {
  ExchangeFixture it;
  it.TestRoute.Kind = RouteKind::Stream;
  it.TestRoute.Resumable = true;
  it.TestRoute.MaxAttempts = 2;
  it.TestRoute.TargetGap = milliseconds(300);
  it.Settings.RestartGrace = milliseconds(60);
  it.registerReplicas();
  it.First.Script = {{StreamHead + chunk(event(0))}};
  it.Second.Script = {{StreamHead + chunk(event(1)) + chunk("")}};
  it.sendRequest();
  REQUIRE(it.untilReceived("data: 0"));
  it.Exchange->onRestarted(ReplicaIncarnation("i-1"));
  REQUIRE(it.untilEnded());
  CHECK(it.Outcome == "complete");
  CHECK(*findField(it.Second.Requests[0].Head.Fields, "Behind") == "0");
}

TEST_CASE("a run-once request at a replica that has restarted is answered with "
          "502 after the grace period",
          "[gateway][life]") {
  ExchangeFixture it;
  it.TestRoute.Kind = RouteKind::RunOnce;
  it.Settings.RestartGrace = milliseconds(60);
  it.registerReplicas();
  it.sendRequest();
  REQUIRE(it.until([&it] { return it.First.Requests.size() == 1; }));
  it.Exchange->onRestarted(ReplicaIncarnation("i-1"));
  REQUIRE(it.untilReceived("HTTP/1.1 502"));
  CHECK(it.Outcome == "replica started anew");
  CHECK(it.Second.Requests.empty());
}

TEST_CASE("repeated reports of a restart do not extend the grace period",
          "[gateway][life]") {
  ExchangeFixture it;
  it.TestRoute.Kind = RouteKind::RunOnce;
  it.Settings.RestartGrace = milliseconds(60);
  it.registerReplicas();
  it.sendRequest();
  REQUIRE(it.until([&it] { return it.First.Requests.size() == 1; }));
  TimerService timers(it.Context);
  auto subscription = timers.every(milliseconds(20), [&it](Instant) {
    it.Exchange->onRestarted(ReplicaIncarnation("i-1"));
  });
  auto startedAt = TimerService::now();
  REQUIRE(it.untilReceived("HTTP/1.1 502"));
  CHECK(TimerService::now() - startedAt < milliseconds(1000));
}

TEST_CASE("an attempt continues if data arrive after the replica has restarted",
          "[gateway][life]") {
  ExchangeFixture it;
  it.TestRoute.Kind = RouteKind::Stream;
  it.Settings.RestartGrace = milliseconds(60);
  it.registerReplicas();
  it.First.Script = {{StreamHead + chunk(event(0))}};
  it.sendRequest();
  REQUIRE(it.until([&it] { return it.First.Requests.size() == 1; }));
  it.Exchange->onRestarted(ReplicaIncarnation("i-1"));
  REQUIRE(it.untilReceived("data: 0"));
  bool timeIsOver = false;
  asio::steady_timer timer(it.Context, 3 * it.Settings.RestartGrace);
  timer.async_wait([&timeIsOver](asio::error_code) { timeIsOver = true; });
  REQUIRE(it.until([&timeIsOver] { return timeIsOver; }));
  CHECK_FALSE(it.Ended);
}

TEST_CASE("a request that would begin on replaced weights is sent to another "
          "replica",
          "[gateway]") {
  ExchangeFixture it;
  it.TestRoute.Kind = RouteKind::Stream;
  it.TestRoute.Resumable = true;
  it.TestRoute.MaxAttempts = 2;
  it.registerReplicas();
  it.replaceWeights();
  it.Second.Script = {{StreamHead + chunk(event(0)) + chunk("")}};
  it.sendRequest("Weights: m/a1\r\n");
  REQUIRE(it.until([&it] { return it.First.Requests.size() == 1; }));
  it.View.onResidency("i-2", {{Adapter, {2, Instant{}}}}, TimerService::now());
  REQUIRE(it.untilEnded());
  CHECK(it.Outcome == "complete");
  CHECK(it.Second.Requests.size() == 1);
}

TEST_CASE(
    "a request that waited for replaced weights is sent again to the same "
    "engine once it has the newest ones",
    "[gateway]") {
  ExchangeFixture it;
  it.TestRoute.Kind = RouteKind::Stream;
  it.TestRoute.Resumable = true;
  it.TestRoute.MaxAttempts = 2;
  it.Settings.MinStallTime = std::chrono::seconds(5);
  it.registerReplicas(false);
  it.replaceWeights();
  it.First.Script = {{}, {StreamHead + chunk(event(0)) + chunk("")}};
  it.sendRequest("Weights: m/a1\r\n");
  REQUIRE(it.until([&it] { return it.First.Requests.size() == 1; }));
  it.View.onResidency("i-1", {{Adapter, {2, Instant{}}}}, TimerService::now());
  REQUIRE(it.untilEnded());
  CHECK(it.Outcome == "complete");
  CHECK(it.First.Requests.size() == 2);
}

TEST_CASE(
    "a slow request without retries left is still ended before it begins on "
    "replaced weights",
    "[gateway]") {
  ExchangeFixture it;
  it.TestRoute.Kind = RouteKind::Stream;
  it.TestRoute.Resumable = true;
  it.TestRoute.MaxAttempts = 1;
  it.TestRoute.TargetLatency = milliseconds(100);
  it.Settings.MinStallTime = milliseconds(100);
  it.registerReplicas();
  it.replaceWeights();
  it.sendRequest("Weights: m/a1\r\n");
  REQUIRE(it.untilEnded());
  CHECK(it.Outcome == "would begin on replaced weights");
}

TEST_CASE("a barred request is refused at once with Retry-After", "[gateway]") {
  ExchangeFixture it;
  it.registerReplicas();
  it.BarredFor = std::chrono::seconds(90);
  it.sendRequest();
  REQUIRE(it.untilReceived("HTTP/1.1 503"));
  CHECK(it.received("Retry-After: 90"));
  CHECK(it.First.Requests.empty());
}

TEST_CASE("a request that is barred while it is held is refused", "[gateway]") {
  ExchangeFixture it;
  // No replica is known, so that it waits.
  it.sendRequest();
  REQUIRE(it.until([&] { return it.Exchange && it.Exchange->waiting(); }));
  it.BarredFor = std::chrono::seconds(90);
  it.registerReplicas();
  it.Exchange->wake();
  REQUIRE(it.untilReceived("HTTP/1.1 503"));
  CHECK(it.First.Requests.empty());
}

TEST_CASE("an attempt without events is ended when its request is barred",
          "[gateway]") {
  ExchangeFixture it;
  it.registerReplicas(false);
  it.sendRequest();
  REQUIRE(it.until([&] { return !it.First.Requests.empty(); }));
  it.BarredFor = std::chrono::seconds(90);
  it.Exchange->onBarred();
  // The replica may have begun to run it.
  REQUIRE(it.untilReceived("HTTP/1.1 502"));
  CHECK(it.until([&] { return it.First.Ended == 1; }));
}

TEST_CASE("a stream that has sent events continues when its request is barred",
          "[gateway]") {
  ExchangeFixture it;
  it.TestRoute.Kind = RouteKind::Stream;
  it.registerReplicas(false);
  it.First.Script = {{StreamHead + chunk(event(1))}};
  it.sendRequest();
  REQUIRE(it.untilReceived("data: 1"));
  it.BarredFor = std::chrono::seconds(90);
  it.Exchange->onBarred();
  it.settle();
  CHECK_FALSE(it.Ended);
}

TEST_CASE(
    "broken attempts are reported, and a failure is not reported as served",
    "[gateway]") {
  ExchangeFixture it;
  it.TestRoute.Kind = RouteKind::Repeatable;
  it.TestRoute.MaxAttempts = 2;
  it.registerReplicas();
  it.First.Script = {{"", Then::Reset}};
  it.Second.Script = {{answer(500, "failed")}};
  it.sendRequest();
  REQUIRE(it.untilReceived("failed"));
  CHECK(it.BrokenReplicas == std::vector<std::string>{"i-1"});
  // The replica may have failed it before it began to run it.
  CHECK(it.ServedCount == 0);
}

TEST_CASE(
    "a request is reported as served only after a complete successful run",
    "[gateway]") {
  ExchangeFixture it;
  it.registerReplicas(false);
  auto [step, served] = GENERATE(table<ScriptedReplica::Step, int>(
      {{{answer(200, "hello")}, 1},
       {{answer(500, "failed")}, 0},
       {{answer(504, "out of time in the queue")}, 0},
       {{StreamHead + chunk(event(1)) + "0\r\n\r\n"}, 1},
       {{StreamHead + "0\r\n\r\n"}, 0}}));
  it.First.Script = {step};
  it.sendRequest();
  REQUIRE(it.untilEnded());
  CHECK(it.ServedCount == served);
}

TEST_CASE("a request beyond its workspace's limit is refused at once",
          "[exchange][limit]") {
  ExchangeFixture it;
  it.setLimit();
  it.registerReplicas();
  it.ImmediateVerdict = QuotaService::Verdict::Limited;
  it.sendRequest();
  REQUIRE(it.untilReceived("limit"));
  CHECK(it.received(" 429 "));
  CHECK(it.received("Retry-After: 1.50"));
  CHECK(it.First.Requests.empty());
}

TEST_CASE("a request is sent only after the limit has allowed it",
          "[exchange][limit]") {
  ExchangeFixture it;
  it.setLimit();
  it.registerReplicas();
  it.ImmediateVerdict = std::nullopt;
  it.First.Script = {{answer(200, "hello")}};
  it.sendRequest();
  REQUIRE(it.until([&] { return it.PendingDecision != nullptr; }));
  it.settle();
  CHECK(it.First.Requests.empty());
  it.PendingDecision({0, QuotaService::Verdict::Allowed, Span(0), Span(0)});
  REQUIRE(it.untilReceived("hello"));
  CHECK(it.ReservedUnits == 200);
}

TEST_CASE("the quota is released if the caller disconnects before the decision",
          "[exchange][limit]") {
  ExchangeFixture it;
  it.setLimit();
  it.registerReplicas();
  it.ImmediateVerdict = std::nullopt;
  it.sendRequest();
  REQUIRE(it.until([&] { return it.PendingDecision != nullptr; }));
  it.Peer.close();
  REQUIRE(it.untilEnded());
  it.PendingDecision({0, QuotaService::Verdict::Allowed, Span(0), Span(0)});
  CHECK(it.ReservedUnits == 0);
  CHECK(it.First.Requests.empty());
}

TEST_CASE("the quota of a request that no replica ran is released",
          "[exchange][limit]") {
  ExchangeFixture it;
  it.setLimit();
  it.registerReplicas(false);
  it.First.Answer = [](const auto &) {
    return ScriptedReplica::Step{answer(503, "", "Not-Run: 1\r\n")};
  };
  it.sendRequest();
  REQUIRE(it.untilEnded());
  CHECK_FALSE(it.First.Requests.empty());
  CHECK(it.ReservedUnits == 0);
}

TEST_CASE("each attempt that may have run is charged once",
          "[exchange][limit]") {
  ExchangeFixture it;
  it.setLimit();
  it.TestRoute.Kind = RouteKind::Repeatable;
  it.TestRoute.MaxAttempts = 2;
  it.registerReplicas();
  SECTION("the first attempt may have run") {
    it.First.Script = {{"", ScriptedReplica::Then::Reset}};
    it.Second.Script = {{answer(200, "hello")}};
    it.sendRequest();
    REQUIRE(it.untilReceived("hello"));
    CHECK(it.ReservedUnits == 400);
  }
  SECTION("the first attempt has not run") {
    it.First.Script = {{answer(503, "", "Not-Run: 1\r\n")}};
    it.Second.Script = {{answer(200, "hello")}};
    it.First.Answer = nullptr;
    it.sendRequest();
    REQUIRE(it.untilReceived("hello"));
    CHECK(it.ReservedUnits == 200);
  }
}

TEST_CASE("a workspace's priority overrides its route's", "[exchange][limit]") {
  ExchangeFixture it;
  it.setLimit();
  it.TestRoute.Priority = 1;
  it.registerReplicas();
  it.First.Script = {{answer(200, "hello")}};
  it.sendRequest();
  REQUIRE(it.untilReceived("hello"));
  CHECK(it.Exchange->rank() == 3);
}

} // namespace hemlockglade::test
