// What users saw: engines of one service ended one after the other, for over a
// minute, and their other requests with them. The order of events: a request
// makes the engine that begins to run it end; the node sends it to the next
// one; the caller, who got a failure, sends it again, to any node and under
// another id; and so on. The cause: what ended under a request was forgotten
// with each attempt of its caller, and never told to other nodes; a connection
// that broke spoke against the replica only. The evidence: in the log of each
// end, an attempt for the same weights over the same route had just been sent
// and had given nothing; played here, one request ended 6 of 8 replicas over
// one node, and a node that had seen none of three ends sent it on.

#include "UnitTests/Node/Gateway/GatewayRig.h"

namespace hemlockglade::test {

namespace {

constexpr std::string_view Crashing = "/x/crashing";
/// Replicas that one request may crash before it is sent to no other.
constexpr int MostCrashed = 3;

/// Replicas that end when they run one request, and serve all others.
struct CrashingFixture : GatewayFixture {
  explicit CrashingFixture(RouteKind kind, int replicas = 8) {
    constexpr std::uint32_t Attempts = 2;
    Platform.declare(1, "/x/", kind, Attempts);
    for (int it = 0; it < replicas; ++it) {
      auto &replica =
          *Replicas.emplace_back(std::make_unique<ScriptedReplica>(Context));
      replica.Answer = [](const ScriptedReplica::Request &request) {
        if (request.Head.Target == Crashing)
          return ScriptedReplica::Step{"", ScriptedReplica::Then::Crash};
        return ScriptedReplica::Step{
            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"};
      };
      Platform.addReplica(replica.address());
    }
  }

  int crashed() const {
    return static_cast<int>(
        std::count_if(Replicas.begin(), Replicas.end(),
                      [](const auto &it) { return it->Crashed; }));
  }

  /// The request comes to a node, under an id of its own.
  std::string askAgain(const std::string &node) {
    return ask(node, std::string(Crashing), "r" + std::to_string(++Asked));
  }

  void pass(Span span) {
    auto end = TimerService::now() + span;
    until([end] { return TimerService::now() >= end; });
  }

  std::vector<std::unique_ptr<ScriptedReplica>> Replicas;
  int Asked = 0;
};

bool has(const std::string &text, const std::string &part) {
  return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("a request that has crashed three replicas is sent to no other",
          "[gateway]") {
  auto kind = GENERATE(RouteKind::RunOnce, RouteKind::Repeatable);
  CrashingFixture it(kind);
  it.start();
  REQUIRE(it.untilReady());
  std::string got;
  for (int n = 0; n < 2 * MostCrashed; ++n)
    got = it.askAgain(it.Settings.CallerAddress);
  CHECK(it.crashed() == MostCrashed);
  CHECK(has(got, "HTTP/1.1 503"));
  CHECK(has(got, "Retry-After"));
  CHECK(has(it.ask(it.Settings.CallerAddress, "/x/other"), "hello"));
}

TEST_CASE("crashes that several nodes saw are known to all of them",
          "[gateway]") {
  CrashingFixture it(RouteKind::RunOnce);
  it.Platform.HasTable = true;
  constexpr int Nodes = 4;
  std::vector<std::unique_ptr<Gateway>> nodes;
  std::vector<std::string> addresses;
  for (int n = 0; n < Nodes; ++n) {
    auto ports = it.freePorts(4);
    auto settings = it.Settings;
    settings.Name = "entry-" + std::to_string(n);
    settings.PeerPort = ports[0];
    settings.CallerAddress = Loopback::address(ports[1]);
    settings.DirectoryAddress = Loopback::address(ports[2]);
    settings.ReadinessAddress = Loopback::address(ports[3]);
    addresses.push_back(settings.CallerAddress);
    nodes.push_back(std::make_unique<Gateway>(it.Context, settings,
                                              it.Platform.port(), it.Log));
    nodes.back()->start();
  }
  REQUIRE(it.until([&] {
    return std::all_of(nodes.begin(), nodes.end(),
                       [](const auto &node) { return node->ready(); });
  }));
  // One takes the cell, the others find it.
  REQUIRE(it.until([&] {
    return std::count_if(it.Lines.begin(), it.Lines.end(),
                         [](const auto &line) {
                           return has(line, "owner-heard");
                         }) == Nodes - 1;
  }));
  for (int n = 0; n < MostCrashed; ++n)
    it.askAgain(addresses[static_cast<std::size_t>(n)]);
  REQUIRE(it.crashed() == MostCrashed);
  it.pass(milliseconds(500));
  CHECK(has(it.askAgain(addresses.back()), "HTTP/1.1 503"));
  CHECK(it.crashed() == MostCrashed);
}

} // namespace hemlockglade::test
