#include "UnitTests/Node/Gateway/GatewayRig.h"

namespace hemlockglade::test {

namespace {

constexpr int ReplicaCount = 3;

/// Two nodes that share a table. Only the second one reaches the replicas:
/// connections of the first are refused.
struct CutOffFixture : GatewayFixture {
  CutOffFixture() : Second(*this), Refusing(freePorts(1).front()) {
    Platform.HasTable = true;
    Platform.declare(1, "/a/", RouteKind::Repeatable);
    Second.Platform.declare(1, "/a/", RouteKind::Repeatable);
    for (int it = 0; it < ReplicaCount; ++it) {
      Platform.addReplica(address(Refusing));
      Second.Platform.addReplica(Replica.address());
    }
    Replica.Answer = [](const auto &) {
      return ScriptedReplica::Step{
          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"};
    };
  }

  /// Starts both nodes; returns once callers are sent to both.
  void startBoth() {
    auto port = Second.Platform.port();
    port.Table = Platform.port().Table;
    Second.Node = std::make_unique<Gateway>(Context, Second.Settings,
                                            std::move(port), Log);
    Second.Node->start();
    start();
    REQUIRE(untilReady());
    REQUIRE(until([this] { return lists(Settings.CallerAddress); }));
  }

  /// Whether the second node's directory names a caller address.
  bool lists(const std::string &callerAddress) {
    auto found = ask(Second.Settings.DirectoryAddress, "/hall-a");
    return found.find("<" + callerAddress + ">") != std::string::npos;
  }

  /// Returns the status line of the first node's answer to a request.
  std::string askCutOff(const std::string &id) {
    auto answer = ask(Settings.CallerAddress, "/a/x", id);
    return answer.substr(0, answer.find('\r'));
  }

  SecondNode Second;
  std::uint16_t Refusing;
};

} // namespace

TEST_CASE("requests to a node that is cut off from all replicas are served",
          "[cut-off]") {
  CutOffFixture it;
  it.startBoth();
  it.askCutOff("first");
  for (int n = 0; n < 5; ++n)
    CHECK(it.askCutOff("r" + std::to_string(n)) == "HTTP/1.1 200 OK");
}

TEST_CASE("callers are not sent to a node that is cut off while another node "
          "reaches the replicas",
          "[cut-off]") {
  CutOffFixture it;
  it.startBoth();
  it.ask(it.Second.Settings.CallerAddress, "/a/x", "reached");
  it.askCutOff("first");
  CHECK(it.until([&it] { return !it.lists(it.Settings.CallerAddress); }));
  CHECK(it.lists(it.Second.Settings.CallerAddress));
}

TEST_CASE("a path that is lost to all replicas accuses no request of crashing "
          "them",
          "[cut-off]") {
  GatewayFixture it;
  it.Platform.declare(1, "/a/");
  std::vector<std::unique_ptr<ScriptedReplica>> replicas;
  for (int n = 0; n < ReplicaCount; ++n) {
    replicas.push_back(std::make_unique<ScriptedReplica>(it.Context));
    it.Platform.addReplica(replicas.back()->address());
  }
  it.start();
  REQUIRE(it.untilReady());
  std::vector<std::unique_ptr<RawPeer>> callers;
  std::size_t running = 0;
  for (int n = 0; n < 2 * ReplicaCount; ++n) {
    callers.push_back(std::make_unique<RawPeer>(it.Context));
    callers.back()->connect(parseEndpoint(it.Settings.CallerAddress).port());
    callers.back()->send("GET /a/x HTTP/1.1\r\nHost: a.example\r\nId: r" +
                         std::to_string(n) + "\r\n\r\n");
  }
  REQUIRE(it.until([&] {
    running = 0;
    for (const auto &replica : replicas)
      running += replica->Requests.size();
    return running == callers.size();
  }));
  for (const auto &replica : replicas)
    replica->crash();
  auto bound = TimerService::now() + milliseconds(1000);
  it.until([bound] { return TimerService::now() > bound; });
  auto isAbout = [](std::string_view event) {
    return [event](const std::string &line) {
      return line.find("\"event\":\"" + std::string(event) + "\"") !=
             std::string::npos;
    };
  };
  CHECK(std::any_of(it.Lines.begin(), it.Lines.end(), isAbout("cut-off")));
  CHECK(std::none_of(it.Lines.begin(), it.Lines.end(), isAbout("ended-under")));
}

} // namespace hemlockglade::test
