// One request at replicas that ask this node, or a relay's, for a pause.

#include "UnitTests/Node/Gateway/GatewayExchangeRig.h"

namespace hemlockglade::test {

namespace {

constexpr Span Pause = std::chrono::seconds(3);

/// An exchange whose replicas' pauses go into the view, as in a node.
struct PausedExchangeFixture : ExchangeFixture {
  PausedExchangeFixture() {
    TestRoute.Kind = RouteKind::Repeatable;
    TestRoute.MaxAttempts = 2;
    auto read = Shared.Labels.ReadAnswer;
    Shared.Labels.ReadAnswer = [read](std::uint16_t status,
                                      const LabelFields &fields) {
      auto out = read(status, fields);
      if (!valueOf(fields, "Pause").empty())
        out.PauseFor = Pause;
      return out;
    };
    Shared.OnAnswer = [this](const ReplicaRecord &replica, std::uint16_t,
                             const AnswerLabels &labels, Instant) {
      Stated.push_back(labels);
      if (labels.PauseFor)
        View.onPauseAsked(replica.Incarnation.text(), *labels.PauseFor,
                          TimerService::now());
    };
    registerReplicas();
    Second.Script = {{answer(200, "hello")}, {answer(200, "hello")}};
  }

  std::vector<AnswerLabels> Stated;

  bool isPaused(const std::string &replica) const {
    return View.isPaused(replica, TimerService::now());
  }
};

const std::string RejectionHead =
    "HTTP/1.1 503 X\r\nId: r1\r\nNot-Run: 1\r\nPause: 1\r\nContent-Length: ";

} // namespace

TEST_CASE("a pause counts as soon as the head of a rejection is received",
          "[paused-replica]") {
  PausedExchangeFixture it;
  it.First.Script = {{RejectionHead + "9\r\n\r\n"}};
  it.sendRequest();
  CHECK(it.until([&] { return it.isPaused("i-1"); }));
  CHECK_FALSE(it.Ended);
}

TEST_CASE("a late answer to an earlier request may ask for a pause, and says "
          "nothing of limits",
          "[paused-replica]") {
  PausedExchangeFixture it;
  it.First.Script = {{"HTTP/1.1 503 X\r\nId: r0\r\nSeal: s\r\nPause: 1\r\n"
                      "Content-Length: 0\r\n\r\n" +
                      answer(200, "own")}};
  it.sendRequest();
  REQUIRE(it.untilReceived("own"));
  CHECK(it.isPaused("i-1"));
  REQUIRE(it.Stated.size() == 2);
  CHECK_FALSE(it.Stated[0].Sealed);
  CHECK(it.Stated[1].Sealed);
}

TEST_CASE("a request is not written to a replica that asked for a pause while "
          "its connection was opened",
          "[paused-replica]") {
  PausedExchangeFixture it;
  it.Shared.Crashes.OnSent = [&](const CrashSubject &) {
    it.View.onPauseAsked("i-1", Pause, TimerService::now());
  };
  it.sendRequest();
  REQUIRE(it.untilReceived("hello"));
  CHECK(it.First.Requests.empty());
}

TEST_CASE("a replica that asked a relay's node for a pause gets nothing over "
          "another relay either",
          "[paused-replica]") {
  PausedExchangeFixture it;
  ScriptedReplica relay(it.Context);
  relay.Answer = [](const ScriptedReplica::Request &request) {
    return ScriptedReplica::Step{
        "HTTP/1.1 503 X\r\nRelay-Outcome: paused\r\nRelay-Pause-Ms: 2500\r\n"
        "Relay-Sending: " +
        *findField(request.Head.Fields, "Relay-Sending") +
        "\r\nContent-Length: 0\r\n\r\n"};
  };
  it.Shared.Paths.Choose = [&](const ReplicaRecord &replica, const auto &) {
    bool isFirst = replica.Incarnation.text() == "i-1";
    return isFirst ? ReplicaPath{ReplicaPath::Kind::Relayed, relay.address()}
                   : ReplicaPath{};
  };
  it.Shared.Paths.OnRelaySent =
      it.Shared.Paths.OnRelayEnd = [](const std::string &) {};
  it.sendRequest();
  REQUIRE(it.untilReceived("hello"));
  CHECK(relay.Requests.size() == 1);
  CHECK(it.First.Requests.empty());
  CHECK(it.isPaused("i-1"));
}

TEST_CASE("a resumed stream is not sent again to a replica that asked for a "
          "pause",
          "[paused-replica]") {
  PausedExchangeFixture it;
  it.TestRoute.Kind = RouteKind::Stream;
  it.TestRoute.Resumable = true;
  it.First.Script = {{StreamHead + chunk(event(1)), Then::Reset}};
  it.Second.Script = {{RejectionHead + "0\r\n\r\n"}, {answer(200, "unused")}};
  it.sendRequest();
  REQUIRE(it.untilEnded());
  CHECK(it.First.Requests.size() == 1);
  CHECK(it.Second.Requests.size() == 1);
  CHECK(it.until([&] { return it.Peer.Ended; }));
}

} // namespace hemlockglade::test
