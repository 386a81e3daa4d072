#include "UnitTests/Node/Gateway/GatewayRig.h"

namespace hemlockglade::test {

namespace {

constexpr int Requests = 12;

std::string success(bool isLeaving) {
  return std::string("HTTP/1.1 200 OK\r\n") +
         (isLeaving ? "Leaving: 1\r\n" : "") + "Content-Length: 2\r\n\r\nok";
}

/// A node before two replicas, of which the first says that it leaves in each
/// answer while its entry says that it is ready.
struct LeavingFixture : GatewayFixture {
  LeavingFixture() : Other(Context) {
    Platform.HasTable = true;
    Platform.declare(1, "/a/", RouteKind::Repeatable, 2);
    Replica.Answer = [this](const auto &) {
      return ScriptedReplica::Step{Answer};
    };
    Other.Answer = [](const auto &) {
      return ScriptedReplica::Step{success(false)};
    };
    Platform.registerReplica(Replica.address());
    Platform.addReplica(Other.address());
  }

  void startNode() {
    start();
    REQUIRE(untilReady());
  }

  void askNode(const std::string &callerAddress) {
    ++Asked;
    ask(callerAddress, "/a/x", "r" + std::to_string(Asked));
    runFor(milliseconds(10));
  }

  /// Asks until the first replica has got a request, and returns the number of
  /// requests that it has got.
  std::size_t askUntilTold() {
    for (int n = 0; n < 100 && Replica.Requests.empty(); ++n)
      askNode(Settings.CallerAddress);
    REQUIRE_FALSE(Replica.Requests.empty());
    return Replica.Requests.size();
  }

  /// Whether a node's directory names a caller address.
  bool lists(const GatewaySettings &node, const std::string &callerAddress) {
    auto found = ask(node.DirectoryAddress, "/hall-a");
    runFor(milliseconds(20));
    return found.find("<" + callerAddress + ">") != std::string::npos;
  }

  void runFor(Span span) {
    auto end = TimerService::now() + span;
    until([end] { return TimerService::now() >= end; });
  }

  ScriptedReplica Other;
  std::string Answer = success(true);
  int Asked = 0;
};

} // namespace

TEST_CASE("a replica that says in an answer that it leaves gets no new "
          "requests whatever its entry says",
          "[leaving-replica]") {
  LeavingFixture it;
  SECTION("with a success") {}
  SECTION("with a rejection") {
    it.Answer = "HTTP/1.1 503 X\r\nNot-Run: 1\r\nLeaving: 1\r\n"
                "Content-Length: 0\r\n\r\n";
  }
  SECTION("with a failure") {
    it.Answer = "HTTP/1.1 500 X\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n";
  }
  it.startNode();
  auto before = it.askUntilTold();
  SECTION("in touch with the registry") {}
  SECTION("not in touch") { it.Platform.goAway(); }
  SECTION("after its entry has been away") {
    auto entry = it.Platform.Replicas.Present.front();
    it.Platform.removeReplica("i-1");
    it.runFor(milliseconds(1100));
    it.Platform.Replicas.Removed.clear();
    it.Platform.Replicas.Present.push_back(entry);
    it.runFor(milliseconds(1100));
  }
  for (int n = 0; n < Requests; ++n)
    it.askNode(it.Settings.CallerAddress);
  CHECK(it.Replica.Requests.size() == before);
}

TEST_CASE("the next life of a replica that has left is used",
          "[leaving-replica]") {
  LeavingFixture it;
  it.startNode();
  auto before = it.askUntilTold();
  it.Answer = success(false);
  it.Platform.Replicas.Present.erase(it.Platform.Replicas.Present.begin());
  it.Platform.removeReplica("i-2");
  it.Platform.Replicas.Removed.push_back("i-1");
  it.Platform.addReplica(it.Replica.address());
  it.Platform.Replicas.Present.back().Incarnation = ReplicaIncarnation("i-9");
  it.runFor(milliseconds(1500));
  it.askNode(it.Settings.CallerAddress);
  CHECK(it.Replica.Requests.size() > before);
}

TEST_CASE("an answer of another incarnation doesn't make the expected one "
          "leave",
          "[leaving-replica]") {
  LeavingFixture it;
  it.Answer = "HTTP/1.1 200 OK\r\nAnswered-By: i-7\r\nLeaving: 1\r\n"
              "Content-Length: 2\r\n\r\nok";
  it.startNode();
  auto before = it.askUntilTold();
  for (int n = 0; n < Requests; ++n)
    it.askNode(it.Settings.CallerAddress);
  CHECK(it.Replica.Requests.size() > before);
}

TEST_CASE("a node tells the others that a replica leaves",
          "[leaving-replica]") {
  LeavingFixture it;
  SecondNode second(it);
  second.Platform.declare(1, "/a/", RouteKind::Repeatable, 2);
  second.Platform.Replicas = it.Platform.Replicas;
  it.startNode();
  auto port = second.Platform.port();
  port.Table = it.Platform.port().Table;
  second.Node = std::make_unique<Gateway>(it.Context, second.Settings,
                                          std::move(port), it.Log);
  second.Node->start();
  REQUIRE(it.until([&] {
    return second.Node->ready() &&
           it.lists(second.Settings, it.Settings.CallerAddress) &&
           it.lists(it.Settings, second.Settings.CallerAddress);
  }));
  auto before = it.askUntilTold();
  it.runFor(milliseconds(1000));
  for (int n = 0; n < Requests; ++n)
    it.askNode(second.Settings.CallerAddress);
  CHECK(it.Replica.Requests.size() == before);
}

} // namespace hemlockglade::test
