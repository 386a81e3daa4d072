#include "UnitTests/Node/Gateway/GatewayExchangeRig.h"

#include <asio/steady_timer.hpp>

namespace hemlockglade::test {

namespace {

/// A replica that refuses the first request and, if the next one comes on the
/// same connection, repeats that refusal in front of its answer.
void refuseAndRepeat(ScriptedReplica &replica, const std::string &refusal) {
  replica.Answer = [&replica, refusal](const ScriptedReplica::Request &it) {
    const auto &first = replica.Requests.front();
    if (replica.Requests.size() == 1)
      return ScriptedReplica::Step{refusal};
    bool isSame = it.Connection == first.Connection;
    return ScriptedReplica::Step{(isSame ? refusal : "") +
                                 answer(200, "hello")};
  };
}

const std::string Refusal = answer(503, "", "Id: r1\r\nNot-Run: 1\r\n");

/// A stream of a run-once route that has ended with its connection, while the
/// node finds out whether its replica has ended.
struct EndedStream : ExchangeFixture {
  EndedStream() {
    TestRoute.Kind = RouteKind::Stream;
    TestRoute.Resumable = false;
    Shared.Crashes.ProbeEnded = [this](const ReplicaRecord &, auto done) {
      Probed = std::move(done);
    };
    registerReplicas();
    First.Script = {{"HTTP/1.1 200 OK\r\nId: r1\r\nSeal: first\r\n"
                     "Content-Type: text/event-stream\r\n\r\n" +
                         event(1) + event(2),
                     Then::Close},
                    {answer(200, "again")}};
    Second.Script = {{answer(200, "again")}};
    sendRequest();
    REQUIRE(until([this] { return Probed != nullptr; }));
  }

  std::size_t arrivals() const {
    return First.Requests.size() + Second.Requests.size();
  }

  std::function<void(bool hasEnded)> Probed;
};

} // namespace

TEST_CASE("a repeated refusal does not make a run-once request run twice",
          "[late-answer]") {
  ExchangeFixture it;
  it.TestRoute.Kind = RouteKind::RunOnce;
  it.registerReplicas(false);
  refuseAndRepeat(it.First, Refusal);
  it.sendRequest();
  REQUIRE(it.untilReceived("hello"));
  it.settle();
  CHECK(it.First.Requests.size() == 2);
}

TEST_CASE("a repeated refusal is not passed on for a request that runs",
          "[late-answer]") {
  ExchangeFixture it;
  SharedRetryBudget::Settings oneRetry;
  oneRetry.RetriesPerRequest = 0;
  oneRetry.FixedRetries = 1;
  oneRetry.UsedFixedShare = 1;
  it.Budget.setBounds(oneRetry);
  it.TestRoute.Kind = RouteKind::RunOnce;
  it.registerReplicas(false);
  refuseAndRepeat(it.First, Refusal);
  it.sendRequest();
  REQUIRE(it.untilEnded());
  it.settle();
  CHECK(it.First.Requests.size() == 2);
  CHECK_FALSE(it.received("HTTP/1.1 503"));
  CHECK(it.received("hello"));
}

TEST_CASE("a refusal that names no request does not prove that it has not run",
          "[late-answer]") {
  ExchangeFixture it;
  it.TestRoute.Kind = RouteKind::RunOnce;
  it.registerReplicas();
  it.First.EchoesId = false;
  it.First.Script = {{answer(503, "", "Not-Run: 1\r\n")}};
  it.sendRequest();
  REQUIRE(it.untilEnded());
  it.settle();
  CHECK(it.received("HTTP/1.1 502"));
  CHECK(it.Second.Requests.empty());
}

TEST_CASE(
    "a relay's word that nothing was sent counts for its own sending only",
    "[late-answer]") {
  ExchangeFixture it;
  it.TestRoute.Kind = RouteKind::RunOnce;
  it.registerReplicas(false);
  std::vector<std::string> relays{it.First.address(), it.Second.address()};
  it.Shared.Paths.Choose = [relays](const ReplicaRecord &, const auto &out) {
    for (const auto &relay : relays)
      if (!out.contains(relay))
        return ReplicaPath{ReplicaPath::Kind::Relayed, relay};
    return ReplicaPath{ReplicaPath::Kind::None, {}};
  };
  it.Shared.Paths.OnRelaySent =
      it.Shared.Paths.OnRelayEnd = [](const std::string &) {};
  it.Shared.Paths.OnRelayFault = [](auto &&...) {};
  bool isOwn = false;
  it.First.Answer = [&isOwn](const ScriptedReplica::Request &request) {
    const auto *sending = findField(request.Head.Fields, "Relay-Sending");
    std::string number = isOwn && sending ? *sending : "0";
    return ScriptedReplica::Step{answer(
        503, "", "Relay-Outcome: busy\r\nRelay-Sending: " + number + "\r\n")};
  };
  it.Second.Script = {{answer(
      200, "hello", "Id: r1\r\nSeal: s\r\nRelay-Outcome: forwarded\r\n")}};
  SECTION("of this sending") {
    isOwn = true;
    it.sendRequest();
    CHECK(it.untilReceived("hello"));
  }
  SECTION("of another one") {
    it.sendRequest();
    REQUIRE(it.untilEnded());
    it.settle();
    CHECK(it.received("HTTP/1.1 502"));
    CHECK(it.Second.Requests.empty());
  }
}

TEST_CASE("a stream that has ended is not sent again when its node is cut off",
          "[late-answer]") {
  EndedStream it;
  it.Exchange->onCutOff("s");
  it.settle();
  CHECK(it.arrivals() == 1);
  it.Probed(false);
  REQUIRE(it.untilEnded());
  CHECK(it.arrivals() == 1);
  CHECK(it.Outcome == "complete");
}

TEST_CASE("a stream that has ended is not sent again when its replica restarts",
          "[late-answer]") {
  EndedStream it;
  it.Exchange->onRestarted(ReplicaIncarnation("i-1"));
  bool isOver = false;
  asio::steady_timer pause(it.Context, it.Settings.RestartGrace * 2);
  pause.async_wait([&](asio::error_code) { isOver = true; });
  it.until([&] { return isOver; });
  CHECK(it.arrivals() == 1);
}

} // namespace hemlockglade::test
