#include "Programs/hemlockgladed/Gateway/GatewaySignals.h"
#include "Programs/hemlockgladed/SignalHold.h"

#include "UnitTests/Node/Gateway/GatewayRig.h"

#include <csignal>
#include <cstdio>
#include <fstream>
#include <unistd.h>

namespace hemlockglade::test {

namespace {

/// A settings file of a running node, with some lines of the test's own.
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

/// How late timers of a loop fired at most: what a busy machine takes from the
/// node under test has to be given back to it in a verdict on time.
class LoopLag {
public:
  explicit LoopLag(asio::io_context &context) : Timer(context) { tick(); }
  Span most() const { return Most; }

private:
  void tick() {
    constexpr auto Every = std::chrono::milliseconds(5);
    Timer.expires_after(Every);
    Timer.async_wait([this, due = TimerService::now() + Every](auto ec) {
      if (ec)
        return;
      Most = std::max(Most, TimerService::now() - due);
      tick();
    });
  }

  asio::steady_timer Timer;
  Span Most{0};
};

bool has(const std::string &text, const std::string &part) {
  return text.find(part) != std::string::npos;
}

const std::string Hello = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";

} // namespace

TEST_CASE("a node that knows no plan says when to come back, never 404",
          "[gateway]") {
  GatewayFixture it;
  it.Platform.Away = true;
  it.start();
  it.settle();
  auto got = it.ask(it.Settings.CallerAddress, "/x/");
  CHECK(has(got, "HTTP/1.1 503"));
  CHECK(has(got, "Retry-After"));
  CHECK(has(it.ask(it.Settings.ReadinessAddress, "/"), "HTTP/1.1 503"));
  CHECK(has(it.ask(it.Settings.DirectoryAddress, "/hall-a"), "HTTP/1.1 503"));
}

TEST_CASE("a node with plan and replicas is ready, listed and serves",
          "[gateway]") {
  GatewayFixture it;
  it.Platform.declare(1, "/x/");
  it.Platform.registerReplica(it.Replica.address());
  it.Replica.Script = {{Hello}};
  it.start();
  REQUIRE(it.untilReady());
  CHECK(has(it.ask(it.Settings.ReadinessAddress, "/"), "HTTP/1.1 200"));
  CHECK(has(it.ask(it.Settings.DirectoryAddress, "/hall-a"),
            "<" + it.Settings.CallerAddress + ">"));
  CHECK(has(it.ask(it.Settings.CallerAddress, "/x/1"), "hello"));
  CHECK(has(it.ask(it.Settings.CallerAddress, "/y/1"), "HTTP/1.1 404"));
  CHECK(has(it.ask(it.Settings.CallerAddress, "/x/1", ""), "HTTP/1.1 400"));
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
  CHECK(has(it.ask(it.Settings.CallerAddress, "/old/"), "HTTP/1.1 404"));
  CHECK(has(it.ask(it.Settings.CallerAddress, "/x/"), "hello"));
  it.Platform.declare(9, "/new/");
  it.settle();
  CHECK(has(it.ask(it.Settings.CallerAddress, "/x/"), "HTTP/1.1 404"));
  CHECK(has(it.ask(it.Settings.CallerAddress, "/new/"), "hello"));
}

TEST_CASE("a stop is not listed, finishes what runs, and ends in time",
          "[gateway]") {
  GatewayFixture it;
  it.Platform.declare(1, "/x/");
  it.Platform.registerReplica(it.Replica.address());
  it.start();
  REQUIRE(it.untilReady());
  RawPeer peer(it.Context);
  peer.connect(parseEndpoint(it.Settings.CallerAddress).port());
  peer.send("GET /x/ HTTP/1.1\r\nHost: a.example\r\nId: r1\r\n\r\n");
  REQUIRE(it.until([&] { return it.Replica.Requests.size() == 1; }));
  it.Node->stop();
  CHECK(has(it.ask(it.Settings.ReadinessAddress, "/"), "HTTP/1.1 503"));
  SECTION("what is answered in time") {
    it.Replica.Script = {{Hello}, {Hello}};
    // A request that comes meanwhile is served as well, and told to go.
    auto late = it.ask(it.Settings.CallerAddress, "/x/");
    CHECK(has(late, "hello"));
    CHECK(has(late, "Connection: close"));
  }
  SECTION("what is not") {}
  REQUIRE(it.until([&] { return it.Stopped; }));
  // It ended by itself, and cut the one request that nobody answered.
  REQUIRE_FALSE(it.Lines.empty());
  CHECK(has(it.Lines.back(), "\"event\":\"stopped\",\"cut\":1"));
  // It was sent, so that nobody may say that it did not run.
  CHECK(it.until([&] { return has(peer.Got, "HTTP/1.1 502"); }));
}

TEST_CASE("a node that gets SIGHUP reads its settings again", "[gateway]") {
  GatewayFixture it;
  it.Platform.declare(1, "/x/");
  it.Platform.registerReplica(it.Replica.address());
  it.start();
  REQUIRE(it.untilReady());
  SettingsFile file(it.Settings);
  GatewaySignals signals(it.Context, *it.Node, it.Log, file.Path);
  auto after = [&it](const std::string &text) {
    return it.until([&] { return has(it.Lines.back(), text); });
  };
  file.write("stop_bound_s: 3\n");
  ::raise(SIGHUP);
  REQUIRE(after("\"event\":\"reload\",\"result\":\"in force\""));
  CHECK(it.Node->settings().StopBound == std::chrono::seconds(3));
  file.write("stop_bound_s: soon\n");
  ::raise(SIGHUP);
  REQUIRE(after("\"event\":\"reload\",\"result\":\"refused\""));
  CHECK(has(it.Lines.back(), "stop_bound_s"));
  CHECK(it.Node->settings().StopBound == std::chrono::seconds(3));
  CHECK(it.Node->ready());
  file.write("repeat_extra: 7\nseeds: [\"127.0.0.9:1\"]\n");
  ::raise(SIGHUP);
  REQUIRE(after("\"event\":\"reload\",\"result\":\"in force\""));
  CHECK(it.Node->settings().RepeatExtra == 7);
  CHECK(it.Node->settings().Seeds.size() == 1);
}

TEST_CASE("a node that gets SIGTERM stops", "[gateway]") {
  GatewayFixture it;
  it.start();
  it.settle();
  GatewaySignals signals(it.Context, *it.Node, it.Log, "none");
  ::raise(SIGTERM);
  CHECK(it.until([&] { return it.Stopped; }));
}

TEST_CASE("a SIGTERM before a node has set itself up stops it", "[gateway]") {
  GatewayFixture it;
  SignalHold hold;
  // Without the hold this ends the whole test program.
  ::raise(SIGTERM);
  ::raise(SIGHUP);
  it.start();
  GatewaySignals signals(it.Context, *it.Node, it.Log, "none");
  hold.release();
  CHECK(it.until([&] { return it.Stopped; }));
}

TEST_CASE("a stop ends in its bound whatever goes on", "[gateway][stop]") {
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
  SECTION("a stream outlasts it") {
    it.Replica.Script = {{"HTTP/1.1 200 OK\r\nContent-Type: "
                          "text/event-stream\r\nTransfer-Encoding: "
                          "chunked\r\n\r\n9\r\ndata: 0\n\n\r\n"}};
    ask();
  }
  SECTION("a replica is silent") { ask(); }
  SECTION("the registry is away") {
    it.Platform.Away = true;
    ask();
  }
  SECTION("it is told to stop again and again") {
    ask();
    it.Node->stop();
    it.settle();
  }
  SECTION("nothing runs") {}
  auto began = TimerService::now();
  LoopLag lag(it.Context);
  it.Node->stop();
  it.Node->stop();
  REQUIRE(it.until([&] { return it.Stopped; }));
  // Two timers of the stop may each be late.
  CHECK(TimerService::now() - began < it.Settings.StopBound + 2 * lag.most());
}

TEST_CASE("a stop with nothing to serve ends when no caller holds the address",
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
  // Three times the time for which callers keep an answer of the directory
  // takes 0.42 of the bound; the rest is for what still runs.
  CHECK(TimerService::now() - began <
        it.Settings.StopBound / 2 + 2 * lag.most());
}

TEST_CASE("a node that starts without the registry asks a peer", "[gateway]") {
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
  CHECK(has(first.ask(second.Settings.CallerAddress, "/x/"), "hello"));
}

// A node that only the registry is out of reach of serves on; its callers see
// what was confirmed meanwhile as soon as a peer can tell it.
TEST_CASE("a node that the registry turns away hears of a plan from a peer",
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
  auto hangs = TimerService::now() + std::chrono::seconds(10);
  while (!served && TimerService::now() < hangs)
    served = has(first.ask(second.Settings.CallerAddress, "/y/"), " 200 ");
  CHECK(served);
}

} // namespace hemlockglade::test
