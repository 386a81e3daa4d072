// Answers without a length, which end with their connection.

#include "UnitTests/Node/Gateway/GatewayExchangeRig.h"
#include "UnitTests/Node/Gateway/GatewayRig.h"

namespace hemlockglade::test {

namespace {

const std::string OpenHead = "HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\n";
const std::string OpenStreamHead =
    OpenHead + "Content-Type: text/event-stream\r\n\r\n";

struct AnswerEndFixture : ExchangeFixture {
  explicit AnswerEndFixture(RouteKind kind, std::string bytes,
                            Then after = Then::Close) {
    TestRoute.Kind = kind;
    registerReplicas(false);
    First.Script = {{std::move(bytes), after}};
    sendRequest();
  }

  /// Makes a probe say whether the replica has ended.
  void probeSays(bool hasEnded) {
    Shared.Crashes.ProbeEnded = [hasEnded](const auto &, const auto &done) {
      done(hasEnded);
    };
  }

  /// Whether the caller has an end of the answer that looks regular.
  bool looksComplete() const { return received("\r\n0\r\n\r\n"); }
};

} // namespace

TEST_CASE(
    "a stream without a length is complete if its connection ends between "
    "events",
    "[gateway]") {
  AnswerEndFixture it(RouteKind::Stream, OpenStreamHead + event(1) + event(2));
  it.probeSays(false);
  REQUIRE(it.untilEnded());
  CHECK(it.Outcome == "complete");
  REQUIRE(it.until([&] { return it.looksComplete(); }));
  // Its end proves nothing of what crashes replicas; what the registry tells of
  // the replica later still counts.
  CHECK(it.ServedCount == 0);
  CHECK(it.GivenUpReplicas.size() == 1);
}

TEST_CASE("a stream without a length is broken off if its replica has ended",
          "[gateway]") {
  AnswerEndFixture it(RouteKind::Stream, OpenStreamHead + event(1));
  it.probeSays(true);
  REQUIRE(it.untilEnded());
  CHECK(it.Outcome != "complete");
  CHECK(it.BrokenReplicas.size() == 1);
  REQUIRE(it.until([&] { return it.Peer.Ended; }));
  CHECK_FALSE(it.looksComplete());
}

TEST_CASE("a stream that ends inside an event, without events or by a reset is "
          "broken off",
          "[gateway]") {
  auto after = GENERATE(Then::Close, Then::Reset);
  auto events = GENERATE(std::string(), event(1) + "id: 2\nda");
  CAPTURE(events);
  AnswerEndFixture it(RouteKind::Stream, OpenStreamHead + events, after);
  it.probeSays(false);
  REQUIRE(it.untilEnded());
  CHECK(it.Outcome != "complete");
  CHECK(it.BrokenReplicas.size() == 1);
  CHECK(it.ServedCount == 0);
  REQUIRE(
      it.until([&] { return it.Peer.Ended || it.received("HTTP/1.1 502"); }));
  CHECK_FALSE(it.looksComplete());
}

// Half of an answer was passed on as a whole one, with a length of its own: the
// end of a process closes its connections as regularly as a complete answer.
TEST_CASE("a plain answer without a length is broken off if its replica has "
          "ended",
          "[gateway]") {
  auto status = GENERATE(as<std::string>{}, "200", "500");
  AnswerEndFixture it(RouteKind::RunOnce, "HTTP/1.1 " + status +
                                              " X\r\nId: r1\r\nSeal: s\r\n"
                                              "\r\nhalf");
  it.probeSays(true);
  REQUIRE(it.untilReceived("HTTP/1.1 502"));
  CHECK(it.BrokenReplicas.size() == 1);
  CHECK_FALSE(it.received("half"));
}

TEST_CASE("a plain answer without a length goes to another replica if it may "
          "run twice",
          "[gateway]") {
  ExchangeFixture it;
  it.TestRoute.Kind = RouteKind::Repeatable;
  it.TestRoute.MaxAttempts = 2;
  it.registerReplicas();
  it.First.Script = {{OpenHead + "\r\nhalf", Then::Close}};
  it.Second.Script = {{answer(200, "whole")}};
  it.Shared.Crashes.ProbeEnded = [](const auto &, const auto &done) {
    done(true);
  };
  it.sendRequest();
  REQUIRE(it.untilReceived("whole"));
  CHECK_FALSE(it.received("half"));
}

TEST_CASE("no replica is looked at behind an answer without a body",
          "[gateway]") {
  AnswerEndFixture it(RouteKind::RunOnce,
                      "HTTP/1.1 204 X\r\nId: r1\r\nSeal: s\r\n\r\n",
                      Then::Keep);
  it.probeSays(true);
  REQUIRE(it.untilReceived("HTTP/1.1 204"));
  CHECK(it.Outcome == "complete");
}

TEST_CASE("a plain answer without a length ends with its connection",
          "[gateway]") {
  SECTION("is complete, and clears nothing") {
    AnswerEndFixture it(RouteKind::RunOnce, OpenHead + "\r\nhello");
    REQUIRE(it.untilReceived("hello"));
    CHECK(it.Outcome == "complete");
    CHECK(it.ServedCount == 0);
  }
  SECTION("is not complete after a reset") {
    AnswerEndFixture it(RouteKind::RunOnce, OpenHead + "\r\nhello",
                        Then::Reset);
    REQUIRE(it.untilReceived("HTTP/1.1 502"));
    CHECK(it.BrokenReplicas.size() == 1);
  }
}

// A replica that drains was not looked after, so that streams of one that is
// taken away at short notice ended as complete.
TEST_CASE("a stream without a length is broken off if its draining replica "
          "ends",
          "[gateway]") {
  GatewayFixture it;
  it.Platform.declare(1, "/x/", RouteKind::Stream);
  it.Platform.registerReplica(it.Replica.address());
  it.Replica.Answer = [](const auto &) {
    return ScriptedReplica::Step{OpenStreamHead + event(1)};
  };
  it.start();
  REQUIRE(it.untilReady());
  RawPeer peer(it.Context);
  peer.connect(parseEndpoint(it.Settings.CallerAddress).port());
  peer.send("GET /x/ HTTP/1.1\r\nHost: a.example\r\nId: r1\r\n\r\n");
  REQUIRE(
      it.until([&] { return peer.Got.find(event(1)) != std::string::npos; }));
  it.Platform.Replicas.Present[0].Draining = true;
  REQUIRE(it.until([&] {
    return it.Lines.back().find("replica-leaves") != std::string::npos;
  }));
  it.Replica.end();
  REQUIRE(it.until([&] { return peer.Ended; }));
  CHECK(peer.Got.find("\r\n0\r\n\r\n") == std::string::npos);
}

TEST_CASE("one event does not show that a request is harmless", "[gateway]") {
  AnswerEndFixture it(RouteKind::Stream, StreamHead + chunk(event(1)),
                      Then::Keep);
  REQUIRE(it.untilReceived("data: 1"));
  CHECK(it.WentOnCount == 0);
}

} // namespace hemlockglade::test
