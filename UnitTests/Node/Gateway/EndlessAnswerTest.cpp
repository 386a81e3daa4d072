// Replicas whose answers never end: their requests are answered by the rules of
// a failed attempt, and little memory is held for them.

#include "UnitTests/Node/Gateway/GatewayExchangeRig.h"
#include "UnitTests/Node/Gateway/GatewayRig.h"
#include "UnitTests/Transport/Http1/EndlessServer.h"

namespace hemlockglade::test {

namespace {

constexpr std::size_t MiB = std::size_t{1} << 20U;
const std::string OpenHead = "HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\n\r\n";
const std::string ChunkedHead = "HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n";

/// An exchange whose first replica sends an answer without end.
struct EndlessFixture : ExchangeFixture {
  explicit EndlessFixture(RouteKind kind, EndlessServer::Answer bytes)
      : Endless(Context, std::move(bytes)) {
    TestRoute.Kind = kind;
    TestRoute.Resumable = kind == RouteKind::Stream;
    TestRoute.MaxAttempts = kind == RouteKind::RunOnce ? 1 : 2;
    TestRoute.Timeout = milliseconds(4000);
  }

  /// Registers the endless replica, and another one in a farther place.
  void start(bool both) {
    std::vector<ReplicaRecord> records(both ? 2 : 1);
    for (std::size_t it = 0; it < records.size(); ++it) {
      records[it].Incarnation =
          ReplicaIncarnation("i-" + std::to_string(it + 1));
      records[it].Service = "s";
      records[it].Address = it == 0 ? Endless.address() : Second.address();
      records[it].FailureDomain = it == 0 ? "hall-a" : "hall-b";
      records[it].SoftwareVersion = "v1";
      records[it].Slots = 8;
    }
    View.onRegistry({true, records, {}, 1}, false, TimerService::now());
    sendRequest();
  }

  bool untilAllEnded() {
    auto ended = until([this] { return Ended && Endless.Ended > 0; });
    UNSCOPED_INFO(Outcome << ", bytes taken " << Endless.MostBytes
                          << ", ended after ms "
                          << Endless.LongestTime.count() / 1000);
    return ended;
  }

  EndlessServer Endless;
};

} // namespace

TEST_CASE("a head without end gets 502 if the request may have run",
          "[endless]") {
  auto repeated = GENERATE(std::string("a: b\r\n"), std::string("x"));
  EndlessFixture it(RouteKind::RunOnce, {"HTTP/1.1 200 OK\r\na: ", repeated});
  it.start(true);
  REQUIRE(it.untilAllEnded());
  REQUIRE(it.untilReceived("HTTP/1.1 502"));
  CHECK(it.Second.Requests.empty());
  CHECK(it.Endless.MostBytes < 8 * MiB);
}

TEST_CASE("interim answers without end get 502 if the request may have run",
          "[endless]") {
  EndlessFixture it(RouteKind::RunOnce, {"", "HTTP/1.1 102 P\r\n\r\n"});
  it.start(true);
  REQUIRE(it.untilAllEnded());
  REQUIRE(it.untilReceived("HTTP/1.1 502"));
  CHECK(it.Second.Requests.empty());
  CHECK(it.Endless.LongestTime < milliseconds(2000));
}

TEST_CASE("a plain body without end goes to another replica only if it may run "
          "twice",
          "[endless]") {
  auto kind = GENERATE(RouteKind::RunOnce, RouteKind::Repeatable);
  auto start = GENERATE(0, 1);
  EndlessFixture it(kind, {start == 0 ? OpenHead : ChunkedHead,
                           start == 0 ? "x" : "8\r\nxxxxxxxx\r\n"});
  it.Settings.MinSlowTime = milliseconds(20000);
  it.Second.Script = {{answer(200, "whole")}};
  it.start(true);
  REQUIRE(it.untilAllEnded());
  bool repeats = kind == RouteKind::Repeatable;
  REQUIRE(it.untilReceived(repeats ? "whole" : "HTTP/1.1 502"));
  CHECK(it.Second.Requests.size() == (repeats ? 1 : 0));
  CHECK(it.Endless.MostBytes < 24 * MiB);
}

TEST_CASE("an event without end is ended at its limit, and the stream goes on "
          "elsewhere",
          "[endless]") {
  EndlessFixture it(RouteKind::Stream,
                    {StreamHead + chunk(event(1)), "8\r\ndatadata\r\n"});
  it.Second.Script = {{StreamHead + chunk(event(2)) + "0\r\n\r\n"}};
  it.start(true);
  REQUIRE(it.untilAllEnded());
  CHECK(it.Outcome == "complete");
  REQUIRE(it.untilReceived("data: 2"));
  CHECK(it.received("data: 1"));
  CHECK_FALSE(it.received("datadata"));
  CHECK(it.Endless.MostBytes < 8 * MiB);
  CHECK(it.Endless.LongestTime < milliseconds(2000));
}

TEST_CASE("events without end and without ids end with the request's timeout",
          "[endless]") {
  auto repeated = GENERATE(std::string("data: x\n\n"), std::string(":\n\n"));
  EndlessFixture it(RouteKind::Stream, {StreamHead, chunk(repeated)});
  it.TestRoute.Timeout = milliseconds(600);
  it.start(false);
  REQUIRE(it.untilAllEnded());
  CHECK(it.Outcome == "out of time in its answer");
  REQUIRE(it.until([&] { return it.Peer.Ended; }));
  CHECK_FALSE(it.received("\r\n0\r\n\r\n"));
}

TEST_CASE("bytes without end beyond a plain answer's length change nothing",
          "[endless]") {
  EndlessFixture it(RouteKind::RunOnce, {answer(200, "whole"), "x"});
  it.start(false);
  REQUIRE(it.untilAllEnded());
  CHECK(it.Outcome == "complete");
  REQUIRE(it.untilReceived("whole"));
  CHECK(it.Endless.LongestTime < milliseconds(2000));
}

TEST_CASE("a drip without end in a head ends with the request's timeout",
          "[endless]") {
  EndlessFixture it(RouteKind::RunOnce,
                    {"HTTP/1.1 200 OK\r\na: ", "x", milliseconds(5)});
  it.TestRoute.Timeout = milliseconds(400);
  it.start(false);
  REQUIRE(it.untilAllEnded());
  REQUIRE(it.untilReceived("HTTP/1.1 504"));
}

// Without it, the next request would go to the same replica again.
TEST_CASE("answers without end make their replica the worse choice",
          "[endless]") {
  auto bytes =
      GENERATE_COPY(EndlessServer::Answer{"HTTP/1.1 200 OK\r\n", "a: b\r\n"},
                    EndlessServer::Answer{OpenHead, "x"},
                    EndlessServer::Answer{"", "HTTP/1.1 102 P\r\n\r\n"});
  EndlessFixture it(RouteKind::RunOnce, bytes);
  it.Second.Script = {{answer(200, "whole")}};
  it.start(true);
  REQUIRE(it.untilReceived("HTTP/1.1 502"));
  REQUIRE(it.Second.Requests.empty());
  // The connection was ended by this side, which shows no crash.
  CHECK(it.BrokenReplicas.empty());
  CHECK(it.GivenUpReplicas.size() == 1);
  it.sendRequest();
  REQUIRE(it.untilReceived("whole"));
  CHECK(it.Endless.Requests == 1);
}

TEST_CASE(
    "a gateway holds little for endless answers together, and counts them",
    "[endless]") {
  constexpr std::size_t Callers = 6;
  GatewayFixture it;
  it.Settings.MetricsAddress = Loopback::address(it.freePorts(1).front());
  EndlessServer endless(it.Context,
                        {"HTTP/1.1 200 OK\r\n\r\n", "x", Span(0), 32 * MiB});
  auto memory = std::make_shared<HeldMemory>(
      HeldMemory::Settings{2 * MiB, 2 * MiB, 2 * MiB});
  it.Platform.declare(1, "/a/");
  it.Platform.registerReplica(endless.address());
  auto port = it.Platform.port();
  port.Memory = memory;
  it.Node = std::make_unique<Gateway>(it.Context, it.Settings, port, it.Log);
  it.Node->start();
  REQUIRE(it.untilReady());
  std::vector<std::unique_ptr<RawPeer>> peers;
  for (std::size_t n = 0; n < Callers; ++n) {
    peers.push_back(std::make_unique<RawPeer>(it.Context));
    peers.back()->connect(parseEndpoint(it.Settings.CallerAddress).port());
    peers.back()->send("GET /a/x HTTP/1.1\r\nHost: a.example\r\nId: r" +
                       std::to_string(n) + "\r\n\r\n");
  }
  for (const auto &peer : peers) {
    CHECK(it.until(
        [&] { return peer->Got.find("\r\n\r\n") != std::string::npos; }));
    CAPTURE(peer->Got);
    CHECK(peer->Got.starts_with("HTTP/1.1 502"));
  }
  CHECK(memory->peakBytes(HeldKind::Answer) < 3 * MiB);
  CHECK(memory->bytes(HeldKind::Answer) == 0);
  REQUIRE(memory->endless(EndlessKind::Memory) > 0);
  // Metrics are refreshed each second.
  CHECK(it.untilPolled([&] {
    auto text = it.ask(it.Settings.MetricsAddress, "/metrics");
    return text.find("hemlockglade_endless_answers_total{kind=\"memory\"} " +
                     std::to_string(memory->endless(EndlessKind::Memory))) !=
               std::string::npos &&
           text.find("hemlockglade_answer_bytes_held 0") != std::string::npos;
  }));
  CHECK(std::any_of(it.Lines.begin(), it.Lines.end(), [](const auto &line) {
    return line.find("endless-answers") != std::string::npos;
  }));
}

// Limits for answers without end must not touch large answers that have one.
TEST_CASE("a large answer is served whole within the limits of endless ones",
          "[endless]") {
  constexpr std::size_t BodyBytes = 7 * MiB;
  GatewayFixture it;
  EndlessServer large(
      it.Context, {"HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: " +
                       std::to_string(BodyBytes) + "\r\n\r\n",
                   std::string(std::size_t{64} * 1024, 'x'), milliseconds(1)});
  it.Platform.declare(1, "/a/");
  it.Platform.registerReplica(large.address());
  auto port = it.Platform.port();
  port.Memory = std::make_shared<HeldMemory>(HeldMemory::Settings{
      HeldMemory::MinDefaultBytes, HeldMemory::MinDefaultBytes,
      HeldMemory::MinDefaultBytes});
  it.Node = std::make_unique<Gateway>(it.Context, it.Settings, port, it.Log);
  it.Node->start();
  REQUIRE(it.untilReady());
  RawPeer peer(it.Context);
  peer.connect(parseEndpoint(it.Settings.CallerAddress).port());
  peer.send("GET /a/x HTTP/1.1\r\nHost: a.example\r\nId: r1\r\n\r\n");
  CHECK(it.until([&] { return peer.Got.size() > BodyBytes; }));
  CHECK(peer.Got.starts_with("HTTP/1.1 200"));
  CHECK(port.Memory->peakBytes(HeldKind::Answer) > BodyBytes / 2);
  CHECK(port.Memory->endless(EndlessKind::Memory) == 0);
}

} // namespace hemlockglade::test
