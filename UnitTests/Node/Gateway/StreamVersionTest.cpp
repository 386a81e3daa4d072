// Streams go on only at the software version that began them.

#include "UnitTests/Node/Gateway/GatewayExchangeRig.h"
#include "UnitTests/Node/Gateway/GatewayRig.h"

#include <thread>

namespace hemlockglade::test {

namespace {

/// Two nodes with the same replicas, one each of `v1` and `v1.1`. A replica
/// sends the first event of each stream that it begins and then breaks it off,
/// and completes those that it goes on with.
struct TwoNodes : GatewayFixture {
  TwoNodes() : Second(*this), Newer(Context) {
    Platform.HasTable = true;
    Platform.declare(1, "/a/", RouteKind::Stream);
    Second.Platform.declare(1, "/a/", RouteKind::Stream);
    Replica.Answer = Newer.Answer = [](const ScriptedReplica::Request &it) {
      auto head = StreamHead;
      head.replace(head.find("r1"), 2, *findField(it.Head.Fields, "Id"));
      if (findField(it.Head.Fields, "Behind"))
        return ScriptedReplica::Step{head + chunk(event(2)) + "0\r\n\r\n"};
      return ScriptedReplica::Step{head + chunk(event(1)), Then::Reset};
    };
  }

  /// Registers the replica of `v1` at both nodes, and that of `v1.1` if `both`.
  void registerReplicas(bool both) {
    for (auto *it : {&Platform, &Second.Platform}) {
      it->Replicas.Present.clear();
      it->Software = "v1";
      it->addReplica(Replica.address());
      // Of equal replicas the first by name is chosen.
      it->Replicas.Present.back().Incarnation = ReplicaIncarnation("last");
      it->Software = "v1.1";
      if (both)
        it->addReplica(Newer.address());
    }
  }

  void startBoth() {
    auto port = Second.Platform.port();
    port.Table = Platform.port().Table;
    start();
    Second.Node = std::make_unique<Gateway>(Context, Second.Settings,
                                            std::move(port), Log);
    Second.Node->start();
    REQUIRE(untilReady());
    REQUIRE(until([this] { return Second.Node->ready(); }));
    REQUIRE(untilPolled([this] {
      auto found = ask(Settings.DirectoryAddress, "/hall-a");
      return found.find(Settings.CallerAddress) != std::string::npos &&
             found.find(Second.Settings.CallerAddress) != std::string::npos;
    }));
  }

  /// Returns all that comes back for a request until its connection ends or the
  /// answer is complete.
  std::string exchange(const std::string &to, const std::string &fields) {
    RawPeer peer(Context);
    peer.connect(parseEndpoint(to).port());
    peer.send("GET /a/x HTTP/1.1\r\nHost: a.example\r\n" + fields + "\r\n");
    until([&peer] {
      return peer.Ended ||
             peer.Got.find("\r\n0\r\n\r\n") != std::string::npos ||
             peer.Got.find("HTTP/1.1 5") != std::string::npos;
    });
    settle();
    return peer.Got;
  }

  /// Begins a stream at the first node, which is cut off after one event.
  void begin(const std::string &id) {
    auto got = exchange(Settings.CallerAddress, "Id: " + id + "\r\n");
    REQUIRE(got.find(event(1)) != std::string::npos);
  }

  std::string resumeAtSecond(const std::string &id, const std::string &stream) {
    return exchange(Second.Settings.CallerAddress,
                    "Id: " + id + "\r\nBehind: 1\r\nResumes: " + stream +
                        "\r\n");
  }

  SecondNode Second;
  ScriptedReplica Newer;
};

} // namespace

TEST_CASE("a stream that has begun goes on only at the software version that "
          "began it",
          "[stream-version]") {
  ExchangeFixture it;
  it.TestRoute.Kind = RouteKind::Stream;
  it.TestRoute.Resumable = true;
  it.TestRoute.MaxAttempts = 2;
  it.SecondSoftware = GENERATE("v1.1", "");
  it.registerReplicas();
  it.First.Script = {{StreamHead + chunk(event(1)), Then::Reset}};
  it.Second.Script = {{StreamHead + chunk(event(2)) + "0\r\n\r\n"}};
  it.sendRequest();
  REQUIRE(it.untilEnded());
  CHECK(it.Second.Requests.empty());
  // The reset of the connection may overtake the event.
  CHECK(it.Lines.back().find("\"events\":1") != std::string::npos);
  CHECK_FALSE(it.received("\r\n0\r\n\r\n"));
}

namespace {

/// A stream whose first sending breaks before its first event; the next replica
/// runs another version.
struct ChangingSoftware : ExchangeFixture {
  ChangingSoftware() {
    TestRoute.Kind = RouteKind::Stream;
    TestRoute.Resumable = true;
    TestRoute.MaxAttempts = 2;
    SecondSoftware = "v1.1";
    registerReplicas();
    First.Script = {{"", Then::Reset}};
    Second.Script = {{StreamHead + chunk(event(1)) + "0\r\n\r\n"}};
    Shared.Streams.Tell = [this](std::string_view, const StreamOrigin &origin,
                                 ToldStream &told) {
      Statements.push_back(origin.SoftwareVersion);
      told.Origin = origin;
    };
    Shared.Streams.Withdraw = [this](std::string_view, ToldStream &told,
                                     auto done) {
      Statements.emplace_back("withdrawn");
      told.Origin.reset();
      Decide = done;
    };
  }

  std::vector<std::string> Statements;
  std::function<void(bool confirmed)> Decide;
};

} // namespace

// A node that had been told of the first sending only let the stream go on at
// that one's version.
TEST_CASE("a stream is sent to another software version only after all nodes "
          "have dropped the one before",
          "[stream-version]") {
  ChangingSoftware it;
  it.sendRequest();
  REQUIRE(it.until([&it] { return bool(it.Decide); }));
  it.settle();
  CHECK(it.Second.Requests.empty());
  SECTION("once all have confirmed it") {
    it.Decide(true);
    REQUIRE(it.untilEnded());
    CHECK(it.Statements == std::vector<std::string>{"v1", "withdrawn", "v1.1"});
    CHECK(it.Outcome == "complete");
  }
  SECTION("not if one may still hold it") {
    it.Decide(false);
    REQUIRE(it.untilEnded());
    CHECK(it.Statements == std::vector<std::string>{"v1", "withdrawn"});
    CHECK(it.untilReceived("HTTP/1.1 502"));
    CHECK(it.Second.Requests.empty());
  }
  SECTION("not after the caller has left") {
    it.Peer.close();
    REQUIRE(it.untilEnded());
    it.Decide(true);
    it.settle();
    CHECK(it.Second.Requests.empty());
  }
}

TEST_CASE("a slow replica that begins a stream while its version is withdrawn "
          "is told again",
          "[stream-version]") {
  ChangingSoftware it;
  it.Settings.MinStallTime = milliseconds(20);
  it.TestRoute.TargetLatency = milliseconds(20);
  it.First.Script = {{StreamHead}};
  it.sendRequest();
  REQUIRE(it.until([&it] { return bool(it.Decide); }));
  it.First.sendMore(chunk(event(1)) + "0\r\n\r\n");
  REQUIRE(it.untilEnded());
  it.Decide(true);
  it.settle();
  CHECK(it.Statements == std::vector<std::string>{"v1", "withdrawn", "v1"});
  CHECK(it.Outcome == "complete");
  CHECK(it.Second.Requests.empty());
}

TEST_CASE("a stream that a caller takes up at another node goes on at the "
          "software version that began it",
          "[stream-version]") {
  TwoNodes it;
  it.registerReplicas(false);
  it.startBoth();
  constexpr int Streams = 6;
  for (int n = 0; n < Streams; ++n)
    it.begin("s" + std::to_string(n));
  it.registerReplicas(true);
  // The list of replicas is read each second.
  auto readBy = TimerService::now() + milliseconds(1500);
  it.until([readBy] { return TimerService::now() > readBy; });
  bool stopsFirst = GENERATE(false, true);
  if (stopsFirst) {
    it.Node->stop();
    REQUIRE(it.until([&it] { return it.Stopped; }));
  }
  for (int n = 0; n < Streams; ++n) {
    auto stream = "s" + std::to_string(n);
    auto got = it.resumeAtSecond("t" + std::to_string(n), stream);
    INFO(got);
    CHECK(got.find(event(2)) != std::string::npos);
  }
  CHECK(it.Newer.Requests.empty());
}

TEST_CASE("a stream whose software version is not known is refused at once "
          "while several versions serve",
          "[stream-version]") {
  TwoNodes it;
  it.registerReplicas(true);
  it.startBoth();
  auto sentAt = TimerService::now();
  auto got = it.resumeAtSecond("t1", "unknown");
  CHECK(got.starts_with("HTTP/1.1 503"));
  CHECK(got.find("Retry-After") != std::string::npos);
  CHECK(TimerService::now() - sentAt < milliseconds(500));
  CHECK(it.Replica.Requests.empty());
  CHECK(it.Newer.Requests.empty());
}

namespace {

/// A node that has known a replica of `v1` since its start; one of `v1.1` may
/// join while the node is out of step.
struct NodeOutOfStep : GatewayFixture {
  NodeOutOfStep() : Newer(Context) {
    Settings.FirstStart = true;
    Platform.HasTable = true;
    Platform.declare(1, "/a/", RouteKind::Stream);
    Replica.Answer = Newer.Answer = [](const ScriptedReplica::Request &it) {
      auto head = StreamHead;
      head.replace(head.find("r1"), 2, *findField(it.Head.Fields, "Id"));
      return ScriptedReplica::Step{head + chunk(event(2)) + "0\r\n\r\n"};
    };
    Platform.addReplica(Replica.address());
    start();
    REQUIRE(untilReady());
  }

  void joinNewer() {
    Platform.Software = "v1.1";
    Platform.addReplica(Newer.address());
    ++Platform.Replicas.Position;
  }

  /// Takes up a stream that began elsewhere; returns whether it went on.
  bool takeUp() {
    auto n = std::to_string(++TakenUp);
    RawPeer peer(Context);
    peer.connect(parseEndpoint(Settings.CallerAddress).port());
    peer.send("GET /a/x HTTP/1.1\r\nHost: a.example\r\nId: t" + n +
              "\r\nBehind: 1\r\nResumes: u" + n + "\r\n\r\n");
    until([&peer] {
      return peer.Ended ||
             peer.Got.find("\r\n0\r\n\r\n") != std::string::npos ||
             peer.Got.find("HTTP/1.1 5") != std::string::npos;
    });
    return peer.Got.find(event(2)) != std::string::npos;
  }

  void pass(Span span) {
    auto end = TimerService::now() + span;
    until([end] { return TimerService::now() >= end; });
  }

  ScriptedReplica Newer;
  int TakenUp = 0;
};

} // namespace

// During a release a node that was cut off, or stood still, took the version
// that it knew for the only one, and streams of the other went on there.
TEST_CASE("a stream of unknown origin is refused while the list of replicas "
          "is not confirmed",
          "[stream-version]") {
  NodeOutOfStep it;
  REQUIRE(it.takeUp());
  SECTION("by a node that the registry does not answer") {
    it.Platform.goAway();
    CHECK_FALSE(it.takeUp());
    it.pass(milliseconds(1200));
    CHECK_FALSE(it.takeUp());
  }
  SECTION("by a node that stood still while a newer version joined") {
    std::this_thread::sleep_for(milliseconds(1200));
    it.joinNewer();
    CHECK_FALSE(it.takeUp());
  }
  SECTION("by a node that has not heard yet of a newer version") {
    it.joinNewer();
    CHECK_FALSE(it.takeUp());
  }
  CHECK(it.Newer.Requests.empty());
}

TEST_CASE("a node that is back in step goes on with a stream if one version "
          "has served",
          "[stream-version]") {
  NodeOutOfStep it;
  it.Platform.goAway();
  it.pass(milliseconds(1800));
  it.Platform.Away = false;
  ++it.Platform.Replicas.Position;
  SECTION("when it has missed nothing") { CHECK(it.takeUp()); }
  SECTION("not when a replica has come and gone") {
    it.Platform.Replicas.Removed = {"i-9"};
    CHECK_FALSE(it.takeUp());
  }
  SECTION("not when all replicas had to be read again") {
    it.Platform.loseHistory();
    CHECK_FALSE(it.takeUp());
  }
}

// Streams that break in an outage of the registry go on while one version
// serves.
TEST_CASE("a stream of unknown origin goes on in an outage if no other node "
          "knows of further replicas",
          "[stream-version]") {
  TwoNodes it;
  it.Settings.FirstStart = it.Second.Settings.FirstStart = true;
  it.registerReplicas(false);
  it.startBoth();
  it.Second.Platform.goAway();
  auto takeUp = [&it](const std::string &n) {
    return it.resumeAtSecond("t" + n, "u" + n).find(event(2)) !=
           std::string::npos;
  };
  SECTION("of which both nodes know as much") {
    it.Platform.goAway();
    CHECK(takeUp("1"));
  }
  SECTION("not if another node knows more") {
    it.registerReplicas(true);
    ++it.Platform.Replicas.Position;
    auto readBy = TimerService::now() + milliseconds(1500);
    it.until([readBy] { return TimerService::now() > readBy; });
    CHECK_FALSE(takeUp("1"));
    CHECK(it.Newer.Requests.empty());
  }
}

TEST_CASE("replicas are known by all only if all other nodes say so",
          "[stream-version]") {
  StreamOriginService::Finding finding;
  CHECK_FALSE(finding.noneKnowsBeyond(7));
  finding.Asked = finding.Answered = finding.Positions = 2;
  finding.NewestPosition = 7;
  CHECK(finding.noneKnowsBeyond(7));
  CHECK_FALSE(finding.noneKnowsBeyond(6));
  // Of an earlier release, or without an answer.
  finding.Positions = 1;
  CHECK_FALSE(finding.noneKnowsBeyond(7));
}

} // namespace hemlockglade::test
