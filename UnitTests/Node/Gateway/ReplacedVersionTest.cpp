#include "UnitTests/Node/Gateway/GatewayRig.h"

namespace hemlockglade::test {

namespace {

const WeightsRef Adapter{"m", "a1"};
constexpr Span Bound = milliseconds(800);

/// An engine that holds version 1 of an adapter, and a caller that requests it.
struct ReplacedFixture : GatewayFixture {
  ReplacedFixture() {
    Settings.VersionBound = Bound;
    Replica.Answer = [](const auto &) {
      return ScriptedReplica::Step{
          "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"};
    };
    holdOldVersion(Platform);
  }

  void holdOldVersion(GatewayPlatform &platform) {
    platform.Engine.emplace();
    platform.Engine->Slots = 4;
    platform.Held[{"m", ""}] = 1;
    platform.Held[Adapter] = 1;
    platform.declare(1, "/x/", RouteKind::Stream);
    platform.addReplica(Replica.address());
  }

  void runFor(Span span) {
    auto end = TimerService::now() + span;
    until([end] { return TimerService::now() >= end; });
  }

  void sendRequestTo(const std::string &address) {
    Peer = std::make_unique<RawPeer>(Context);
    Peer->connect(parseEndpoint(address).port());
    Peer->send("GET /x/y HTTP/1.1\r\nHost: a.example\r\nId: r1\r\n"
               "Weights: m/a1\r\n\r\n");
  }
  void sendRequest() { sendRequestTo(Settings.CallerAddress); }

  /// Whether the request reaches the engine, which has version 1.
  bool reachesOldVersion() {
    until([this] { return Peer->Got.find("\r\n\r\n") != std::string::npos; });
    return !Replica.Requests.empty();
  }

  std::unique_ptr<RawPeer> Peer;
};

/// A second node, which the registry refuses and the first one sends its state.
struct PeerInformedNode : SecondNode {
  explicit PeerInformedNode(ReplacedFixture &first) : SecondNode(first) {
    first.holdOldVersion(Platform);
    Platform.Known = first.Platform.Known;
    Platform.Away = true;
    start(first);
  }
};

} // namespace

TEST_CASE(
    "a replaced version is used while the declaration of its successor is "
    "known to be recent",
    "[gateway]") {
  ReplacedFixture it;
  it.start();
  REQUIRE(it.untilReady());
  it.Platform.name(Adapter, 2);
  it.settle();
  SECTION("by its own poll") {
    it.sendRequest();
    CHECK(it.reachesOldVersion());
  }
  SECTION("by a peer's state at its start") {
    PeerInformedNode second(it);
    it.sendRequestTo(second.Settings.CallerAddress);
    CHECK(it.reachesOldVersion());
  }
}

TEST_CASE("a replaced version is not used beyond its bound if the node reads "
          "its successor only at its start",
          "[gateway]") {
  ReplacedFixture it;
  it.Platform.name(Adapter, 2);
  it.runFor(Bound);
  it.start();
  REQUIRE(it.untilReady());
  it.sendRequest();
  CHECK_FALSE(it.reachesOldVersion());
}

TEST_CASE(
    "a replaced version is not used beyond its bound if a peer reports its "
    "successor late",
    "[gateway]") {
  ReplacedFixture it;
  it.start();
  REQUIRE(it.untilReady());
  it.Platform.name(Adapter, 2);
  it.runFor(Bound);
  PeerInformedNode second(it);
  it.sendRequestTo(second.Settings.CallerAddress);
  CHECK_FALSE(it.reachesOldVersion());
}

TEST_CASE("a replaced version is not used beyond its bound if the poll that "
          "returns its successor is answered late",
          "[gateway]") {
  ReplacedFixture it;
  it.start();
  REQUIRE(it.untilReady());
  it.Platform.Deaf = true;
  it.Platform.name(Adapter, 2);
  it.runFor(Bound);
  it.Platform.Deaf = false;
  it.Platform.tellWaiting();
  it.settle();
  it.sendRequest();
  CHECK_FALSE(it.reachesOldVersion());
}

TEST_CASE(
    "a request that an engine has queued does not begin on a version that "
    "is replaced meanwhile",
    "[gateway]") {
  ReplacedFixture it;
  it.Replica.Answer = nullptr;
  it.start();
  REQUIRE(it.untilReady());
  it.sendRequest();
  REQUIRE(it.until([&] { return it.Replica.Requests.size() == 1; }));
  auto declaredAt = TimerService::now();
  it.Platform.name(Adapter, 2);
  REQUIRE(it.until([&] { return it.Replica.Ended == 1; }));
  CHECK(TimerService::now() - declaredAt < Bound);
}

} // namespace hemlockglade::test
