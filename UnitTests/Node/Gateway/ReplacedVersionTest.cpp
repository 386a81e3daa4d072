#include "UnitTests/Node/Gateway/GatewayRig.h"

namespace hemlockglade::test {

namespace {

const WeightsRef Adapter{"m", "a1"};
constexpr Span Bound = milliseconds(800);

/// An engine that holds version 1 of an adapter, and a caller who asks for it.
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

  void pass(Span span) {
    auto end = TimerService::now() + span;
    until([end] { return TimerService::now() >= end; });
  }

  void askOn(const std::string &address) {
    Peer = std::make_unique<RawPeer>(Context);
    Peer->connect(parseEndpoint(address).port());
    Peer->send("GET /x/y HTTP/1.1\r\nHost: a.example\r\nId: r1\r\n"
               "Weights: m/a1\r\n\r\n");
  }
  void askFirst() { askOn(Settings.CallerAddress); }

  /// Whether what was asked reaches the engine with version 1.
  bool reachesOldVersion() {
    until([this] { return Peer->Got.find("\r\n\r\n") != std::string::npos; });
    return !Replica.Requests.empty();
  }

  std::unique_ptr<RawPeer> Peer;
};

/// A second node, which the registry turns away and the first one tells all.
struct PeerToldNode : SecondNode {
  explicit PeerToldNode(ReplacedFixture &first) : SecondNode(first) {
    first.holdOldVersion(Platform);
    Platform.Known = first.Platform.Known;
    Platform.Away = true;
    start(first);
  }
};

} // namespace

TEST_CASE("a version is used on while a node knows that its successor is new",
          "[gateway]") {
  ReplacedFixture it;
  it.start();
  REQUIRE(it.untilReady());
  it.Platform.name(Adapter, 2);
  it.settle();
  SECTION("by its own look") {
    it.askFirst();
    CHECK(it.reachesOldVersion());
  }
  SECTION("by a peer's word at its start") {
    PeerToldNode second(it);
    it.askOn(second.Settings.CallerAddress);
    CHECK(it.reachesOldVersion());
  }
}

TEST_CASE("a version is not used after its bound though a node knows its "
          "successor only from its start",
          "[gateway]") {
  ReplacedFixture it;
  it.Platform.name(Adapter, 2);
  it.pass(Bound);
  it.start();
  REQUIRE(it.untilReady());
  it.askFirst();
  CHECK_FALSE(it.reachesOldVersion());
}

TEST_CASE("a version is not used after its bound though a peer told of its "
          "successor late",
          "[gateway]") {
  ReplacedFixture it;
  it.start();
  REQUIRE(it.untilReady());
  it.Platform.name(Adapter, 2);
  it.pass(Bound);
  PeerToldNode second(it);
  it.askOn(second.Settings.CallerAddress);
  CHECK_FALSE(it.reachesOldVersion());
}

TEST_CASE("a version is not used after its bound though the look that tells of "
          "its successor was answered late",
          "[gateway]") {
  ReplacedFixture it;
  it.start();
  REQUIRE(it.untilReady());
  it.Platform.Deaf = true;
  it.Platform.name(Adapter, 2);
  it.pass(Bound);
  it.Platform.Deaf = false;
  it.Platform.tellWaiting();
  it.settle();
  it.askFirst();
  CHECK_FALSE(it.reachesOldVersion());
}

TEST_CASE("a request that an engine holds back does not begin on a version "
          "that is replaced meanwhile",
          "[gateway]") {
  ReplacedFixture it;
  it.Replica.Answer = nullptr;
  it.start();
  REQUIRE(it.untilReady());
  it.askFirst();
  REQUIRE(it.until([&] { return it.Replica.Requests.size() == 1; }));
  auto namedAt = TimerService::now();
  it.Platform.name(Adapter, 2);
  REQUIRE(it.until([&] { return it.Replica.Ended == 1; }));
  CHECK(TimerService::now() - namedAt < Bound);
}

} // namespace hemlockglade::test
