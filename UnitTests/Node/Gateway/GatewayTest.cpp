#include "Programs/hemlockgladed/Gateway/GatewaySignals.h"
#include "Programs/hemlockgladed/SignalBlock.h"

#include "UnitTests/Node/Gateway/GatewayRig.h"

#include <csignal>
#include <cstdio>
#include <fstream>
#include <unistd.h>

namespace hemlockglade::test {

namespace {

/// A settings file of a running node, with extra lines for the test.
struct SettingsFile {
  explicit SettingsFile(const GatewaySettings &settings) : Base(settings) {
    char name[] = "/tmp/gateway-settings-XXXXXX";
    int descriptor = ::mkstemp(name);
    REQUIRE(descriptor >= 0);
    ::close(descriptor);
    Path = name;
  }
  ~SettingsFile() { std::remove(Path.c_str()); }
  SettingsFile(const SettingsFile &) = delete;
  SettingsFile &operator=(const SettingsFile &) = delete;

  void write(const std::string &more) const {
    std::ofstream(Path) << "name: " << Base.Name
                        << "\nfailure_domain: " << Base.FailureDomain
                        << "\naddress: " << Base.Address
                        << "\npeer_port: " << Base.PeerPort
                        << "\ncaller_address: " << Base.CallerAddress
                        << "\nreadiness_address: " << Base.ReadinessAddress
                        << "\ndirectory_address: " << Base.DirectoryAddress
                        << "\nregistry_address: " << Base.RegistryAddress
                        << "\nfailure_domains: [hall-a]\n"
                        << more;
  }

  GatewaySettings Base;
  std::string Path;
};

/// Measures the maximum lateness of a loop's timers, so that checks on time can
/// allow for the load of the machine.
class LoopLag {
public:
  explicit LoopLag(asio::io_context &context) : Timer(context) { tick(); }
  Span max() const { return Max; }

private:
  void tick() {
    constexpr auto Interval = std::chrono::milliseconds(5);
    Timer.expires_after(Interval);
    Timer.async_wait([this, due = TimerService::now() + Interval](auto ec) {
      if (ec)
        return;
      Max = std::max(Max, TimerService::now() - due);
      tick();
    });
  }

  asio::steady_timer Timer;
  Span Max{0};
};

bool contains(const std::string &text, const std::string &part) {
  return text.find(part) != std::string::npos;
}

const std::string Hello = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";

} // namespace

TEST_CASE("a node without a plan answers 503 with Retry-After, never 404",
          "[gateway]") {
  GatewayFixture it;
  it.Platform.Away = true;
  it.start();
  it.settle();
  auto got = it.ask(it.Settings.CallerAddress, "/x/");
  CHECK(contains(got, "HTTP/1.1 503"));
  CHECK(contains(got, "Retry-After"));
  CHECK(contains(it.ask(it.Settings.ReadinessAddress, "/"), "HTTP/1.1 503"));
  CHECK(contains(it.ask(it.Settings.DirectoryAddress, "/hall-a"),
                 "HTTP/1.1 503"));
}

TEST_CASE("a node with plan and replicas is ready, is listed and serves",
          "[gateway]") {
  GatewayFixture it;
  it.Platform.declare(1, "/x/");
  it.Platform.registerReplica(it.Replica.address());
  it.Replica.Script = {{Hello}};
  it.start();
  REQUIRE(it.untilReady());
  CHECK(contains(it.ask(it.Settings.ReadinessAddress, "/"), "HTTP/1.1 200"));
  CHECK(contains(it.ask(it.Settings.DirectoryAddress, "/hall-a"),
                 "<" + it.Settings.CallerAddress + ">"));
  CHECK(contains(it.ask(it.Settings.CallerAddress, "/x/1"), "hello"));
  CHECK(contains(it.ask(it.Settings.CallerAddress, "/y/1"), "HTTP/1.1 404"));
  CHECK(
      contains(it.ask(it.Settings.CallerAddress, "/x/1", ""), "HTTP/1.1 400"));
}

TEST_CASE("a plan is only replaced by a higher version", "[gateway]") {
  GatewayFixture it;
  it.Platform.declare(5, "/x/");
  it.Platform.registerReplica(it.Replica.address());
  it.Replica.Script = {{Hello}, {Hello}};
  it.start();
  REQUIRE(it.untilReady());
  it.Platform.declare(4, "/old/");
  it.settle();
  CHECK(contains(it.ask(it.Settings.CallerAddress, "/old/"), "HTTP/1.1 404"));
  CHECK(contains(it.ask(it.Settings.CallerAddress, "/x/"), "hello"));
  it.Platform.declare(9, "/new/");
  it.settle();
  CHECK(contains(it.ask(it.Settings.CallerAddress, "/x/"), "HTTP/1.1 404"));
  CHECK(contains(it.ask(it.Settings.CallerAddress, "/new/"), "hello"));
}

namespace {

/// A node of which a test plays the stop. Its stop is shorter than the timeout
/// of its route.
struct StoppingNode : GatewayFixture {
  StoppingNode() {
    Platform.declare(1, "/x/");
    Platform.registerReplica(Replica.address());
    Replica.Answer = [this](const auto &) {
      return ScriptedReplica::Step{Answers ? Hello : ""};
    };
    start();
    REQUIRE(untilReady());
  }

  /// Serves as many requests as it takes to know how long they take.
  void serveSome() {
    for (int n = 0; n < 8; ++n)
      REQUIRE(contains(askLate(), "hello"));
  }

  std::string askLate() { return ask(Settings.CallerAddress, "/x/"); }

  bool Answers = true;
};

} // namespace

// Requests that came late in a stop ran, and were cut when the process ended;
// those that may run once only were lost with it.
TEST_CASE("a request that might outlast a stop is refused at once and not run",
          "[gateway][stop]") {
  StoppingNode it;
  SECTION("as nothing is known of its route") {}
  SECTION("as such requests have taken too long") {
    it.serveSome();
    it.Answers = false;
    // The time of the route's slowest request: its whole timeout.
    CHECK(contains(it.askLate(), "HTTP/1.1 504"));
    it.Answers = true;
  }
  auto served = it.Replica.Requests.size();
  it.Node->stop();
  auto sentAt = TimerService::now();
  auto got = it.askLate();
  CHECK(contains(got, "HTTP/1.1 503"));
  CHECK(contains(got, "Retry-After: "));
  CHECK(TimerService::now() - sentAt < milliseconds(500));
  CHECK(it.Replica.Requests.size() == served);
  REQUIRE(it.until([&] { return it.Stopped; }));
  CHECK(contains(it.Lines.back(), "\"event\":\"stopped\",\"cut\":0"));
}

TEST_CASE("a request that surely ends before the stop is served during it",
          "[gateway][stop]") {
  StoppingNode it;
  SECTION("by its own timeout") {
    it.Settings.StopBound = std::chrono::seconds(3);
    it.Node->reload(it.Settings);
  }
  SECTION("by what such requests have needed") { it.serveSome(); }
  it.Node->stop();
  CHECK(contains(it.askLate(), "hello"));
}

TEST_CASE(
    "a stopping node is not listed, finishes open requests and ends in time",
    "[gateway]") {
  StoppingNode it;
  it.serveSome();
  it.Answers = false;
  RawPeer peer(it.Context);
  peer.connect(parseEndpoint(it.Settings.CallerAddress).port());
  peer.send("GET /x/ HTTP/1.1\r\nHost: a.example\r\nId: r1\r\n\r\n");
  auto served = it.Replica.Requests.size();
  REQUIRE(it.until([&] { return it.Replica.Requests.size() > served; }));
  it.Node->stop();
  CHECK(contains(it.ask(it.Settings.ReadinessAddress, "/"), "HTTP/1.1 503"));
  SECTION("requests are answered in time") {
    it.Answers = true;
    // A request that arrives meanwhile is served as well, and its connection is
    // closed.
    auto late = it.ask(it.Settings.CallerAddress, "/x/");
    CHECK(contains(late, "hello"));
    CHECK(contains(late, "Connection: close"));
  }
  SECTION("the request is not answered") {}
  REQUIRE(it.until([&] { return it.Stopped; }));
  // The node ended by itself, and cut the one request that nobody answered.
  REQUIRE_FALSE(it.Lines.empty());
  CHECK(contains(it.Lines.back(), "\"event\":\"stopped\",\"cut\":1"));
  // The request was sent, so that no answer may claim that it did not run.
  CHECK(it.until([&] { return contains(peer.Got, "HTTP/1.1 502"); }));
}

TEST_CASE("SIGHUP reloads the settings of a node", "[gateway]") {
  GatewayFixture it;
  it.Platform.declare(1, "/x/");
  it.Platform.registerReplica(it.Replica.address());
  it.start();
  REQUIRE(it.untilReady());
  SettingsFile file(it.Settings);
  GatewaySignals signals(it.Context, *it.Node, it.Log, file.Path);
  auto after = [&it](const std::string &text) {
    return it.until([&] { return contains(it.Lines.back(), text); });
  };
  file.write("stop_bound_s: 3\n");
  ::raise(SIGHUP);
  REQUIRE(after("\"event\":\"reload\",\"result\":\"in force\""));
  CHECK(it.Node->settings().StopBound == std::chrono::seconds(3));
  file.write("stop_bound_s: soon\n");
  ::raise(SIGHUP);
  REQUIRE(after("\"event\":\"reload\",\"result\":\"refused\""));
  CHECK(contains(it.Lines.back(), "stop_bound_s"));
  CHECK(it.Node->settings().StopBound == std::chrono::seconds(3));
  CHECK(it.Node->ready());
  file.write("repeat_extra: 7\nseeds: [\"127.0.0.9:1\"]\n");
  ::raise(SIGHUP);
  REQUIRE(after("\"event\":\"reload\",\"result\":\"in force\""));
  CHECK(it.Node->settings().RepeatExtra == 7);
  CHECK(it.Node->settings().Seeds.size() == 1);
}

TEST_CASE("SIGTERM stops a node", "[gateway]") {
  GatewayFixture it;
  it.start();
  it.settle();
  GatewaySignals signals(it.Context, *it.Node, it.Log, "none");
  ::raise(SIGTERM);
  CHECK(it.until([&] { return it.Stopped; }));
}

TEST_CASE("SIGTERM during the setup of a node stops it", "[gateway]") {
  GatewayFixture it;
  SignalBlock signalBlock;
  // Without the block this ends the whole test program.
  ::raise(SIGTERM);
  ::raise(SIGHUP);
  it.start();
  GatewaySignals signals(it.Context, *it.Node, it.Log, "none");
  signalBlock.release();
  CHECK(it.until([&] { return it.Stopped; }));
}

TEST_CASE("a stop ends within its bound in all conditions", "[gateway][stop]") {
  GatewayFixture it;
  it.Platform.declare(1, "/x/");
  it.Platform.registerReplica(it.Replica.address());
  it.start();
  REQUIRE(it.untilReady());
  RawPeer peer(it.Context);
  auto ask = [&] {
    peer.connect(parseEndpoint(it.Settings.CallerAddress).port());
    peer.send("GET /x/ HTTP/1.1\r\nHost: a.example\r\nId: r1\r\n\r\n");
    REQUIRE(it.until([&] { return it.Replica.Requests.size() == 1; }));
  };
  SECTION("a stream is still open") {
    it.Replica.Script = {{"HTTP/1.1 200 OK\r\nContent-Type: "
                          "text/event-stream\r\nTransfer-Encoding: "
                          "chunked\r\n\r\n9\r\ndata: 0\n\n\r\n"}};
    ask();
  }
  SECTION("a replica does not answer") { ask(); }
  SECTION("the registry is unreachable") {
    it.Platform.Away = true;
    ask();
  }
  SECTION("stop is called repeatedly") {
    ask();
    it.Node->stop();
    it.settle();
  }
  SECTION("no request is open") {}
  auto began = TimerService::now();
  LoopLag lag(it.Context);
  it.Node->stop();
  it.Node->stop();
  REQUIRE(it.until([&] { return it.Stopped; }));
  // Two timers of the stop may each be late.
  CHECK(TimerService::now() - began < it.Settings.StopBound + 2 * lag.max());
}

TEST_CASE("a stop without open requests ends when no caller holds the address",
          "[gateway][stop]") {
  GatewayFixture it;
  it.Settings.StopBound = std::chrono::seconds(4);
  it.Platform.declare(1, "/x/");
  it.Platform.registerReplica(it.Replica.address());
  it.start();
  REQUIRE(it.untilReady());
  auto began = TimerService::now();
  LoopLag lag(it.Context);
  it.Node->stop();
  REQUIRE(it.until([&] { return it.Stopped; }));
  // Three times the time for which callers keep an answer of the directory is
  // 0.42 of the bound; the rest is for requests that still run.
  CHECK(TimerService::now() - began <
        it.Settings.StopBound / 2 + 2 * lag.max());
}

TEST_CASE(
    "a node that starts without the registry requests a briefing from a peer",
    "[gateway]") {
  GatewayFixture first;
  first.Platform.declare(3, "/x/");
  first.Platform.registerReplica(first.Replica.address());
  first.start();
  REQUIRE(first.untilReady());
  SecondNode second(first);
  second.Platform.Away = true;
  second.Platform.Known = first.Platform.Known;
  second.start(first);
  first.Replica.Script = {{Hello}};
  CHECK(contains(first.ask(second.Settings.CallerAddress, "/x/"), "hello"));
}

// A node that alone can't reach the registry continues to serve, and applies a
// newer plan as soon as a peer can send it.
TEST_CASE("a node that the registry refuses receives a plan from a peer",
          "[gateway]") {
  GatewayFixture first;
  first.Platform.declare(3, "/x/");
  first.Platform.registerReplica(first.Replica.address());
  first.start();
  REQUIRE(first.untilReady());
  SecondNode second(first);
  second.Settings.PlanBound = second.Settings.DrainBound =
      std::chrono::milliseconds(200);
  second.Platform.declare(3, "/x/");
  second.Platform.registerReplica(first.Replica.address());
  second.start(first);
  second.Platform.goAway();
  first.Platform.declare(4, "/y/");
  second.Platform.Known = first.Platform.Known;
  first.Replica.Script = {{Hello}};
  bool served = false;
  auto deadline = TimerService::now() + std::chrono::seconds(10);
  while (!served && TimerService::now() < deadline)
    served = contains(first.ask(second.Settings.CallerAddress, "/y/"), " 200 ");
  CHECK(served);
}

} // namespace hemlockglade::test
