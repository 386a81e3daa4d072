// Answers without a length, which end with their connection.

#include "UnitTests/Node/Gateway/GatewayExchangeRig.h"

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

TEST_CASE("one event does not show that a request is harmless", "[gateway]") {
  AnswerEndFixture it(RouteKind::Stream, StreamHead + chunk(event(1)),
                      Then::Keep);
  REQUIRE(it.untilReceived("data: 1"));
  CHECK(it.WentOnCount == 0);
}

} // namespace hemlockglade::test
