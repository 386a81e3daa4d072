// Guards against requests to replicas that have asked this node for a pause
// with a rejection: it was read by no part of the node.

#include "UnitTests/Node/Gateway/GatewayRig.h"

#include <algorithm>

namespace hemlockglade::test {

namespace {

const std::string Success = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

std::string rejection(Span pause) {
  return "HTTP/1.1 503 X\r\nNot-Run: 1\r\nPause-Ms: " +
         std::to_string(pause / milliseconds(1)) +
         "\r\nContent-Length: 0\r\n\r\n";
}

/// A node before replicas of which the first rejects all for a time.
struct PauseFixture : GatewayFixture {
  PauseFixture() : Other(Context) {
    Platform.declare(1, "/a/", RouteKind::Repeatable, 2);
    Replica.Answer = [this](const auto &) {
      auto now = TimerService::now();
      ArrivedAt.push_back(now);
      if (!RejectsSince)
        RejectsSince = now;
      bool rejects = now - *RejectsSince < RejectsFor;
      return ScriptedReplica::Step{rejects ? rejection(Pause) : Success};
    };
    Other.Answer = [this](const auto &) {
      OtherArrivedAt.push_back(TimerService::now());
      return ScriptedReplica::Step{OtherAnswer};
    };
  }

  void startNode(bool withOther = true) {
    Platform.registerReplica(Replica.address());
    if (withOther)
      Platform.addReplica(Other.address());
    start();
    REQUIRE(untilReady());
  }

  void makeEngines() {
    Platform.Engine = EngineSpec{};
    Platform.Engine->Slots = 64;
    Platform.declare(2, "/a/", RouteKind::Repeatable, 2);
    Platform.Held[WeightsRef{"m", "a1"}] = 1;
  }

  /// Returns the status of the answer to a request.
  std::string askNode() {
    ++Asked;
    auto answer =
        ask(Settings.CallerAddress, "/a/x", "r" + std::to_string(Asked));
    runFor(milliseconds(10));
    if (answer.size() < 12)
      return answer;
    LastAnswer = answer;
    return answer.substr(9, 3);
  }

  /// Asks until the first replica has got a request.
  void askUntilRejected() {
    for (int n = 0; n < 100 && ArrivedAt.empty(); ++n)
      askNode();
    REQUIRE_FALSE(ArrivedAt.empty());
  }

  void runFor(Span span) {
    auto end = TimerService::now() + span;
    until([end] { return TimerService::now() >= end; });
  }

  /// Returns how many requests reached a replica within its first pause.
  std::size_t arrivedInPause(const std::vector<Instant> &all) const {
    auto n = std::count_if(all.begin(), all.end(), [&](Instant it) {
      return it < all.front() + Pause;
    });
    return static_cast<std::size_t>(n) - 1;
  }

  ScriptedReplica Other;
  Span Pause = milliseconds(1200);
  Span RejectsFor = milliseconds(600);
  std::optional<Instant> RejectsSince;
  std::vector<Instant> ArrivedAt;
  std::vector<Instant> OtherArrivedAt;
  std::string OtherAnswer = Success;
  std::string LastAnswer;
  int Asked = 0;
};

} // namespace

TEST_CASE("a replica that asks a node for a pause gets nothing from it "
          "meanwhile",
          "[paused-replica]") {
  PauseFixture it;
  it.OtherAnswer = rejection(it.Pause);
  SECTION("a plain one") { it.startNode(); }
  SECTION("an engine, whose pause is not about weights") {
    it.makeEngines();
    it.startNode();
  }
  it.askUntilRejected();
  auto end = it.ArrivedAt.front() + it.Pause;
  while (TimerService::now() < end)
    it.askNode();
  CHECK(it.arrivedInPause(it.ArrivedAt) == 0);
  REQUIRE_FALSE(it.OtherArrivedAt.empty());
  CHECK(it.arrivedInPause(it.OtherArrivedAt) == 0);
  // Later it is used again.
  while (TimerService::now() < end + milliseconds(1000))
    it.askNode();
  CHECK(it.ArrivedAt.size() > 1);
}

TEST_CASE("requests are served by a replica that asks for no pause",
          "[paused-replica]") {
  PauseFixture it;
  it.startNode();
  it.askUntilRejected();
  for (int n = 0; n < 20; ++n)
    CHECK(it.askNode() == "200");
  CHECK(it.arrivedInPause(it.ArrivedAt) == 0);
}

TEST_CASE("a request is held until the pause of the only replica ends",
          "[paused-replica]") {
  PauseFixture it;
  it.Pause = milliseconds(400);
  it.RejectsFor = milliseconds(100);
  it.startNode(false);
  it.askUntilRejected();
  CHECK(it.askNode() == "200");
  CHECK(it.arrivedInPause(it.ArrivedAt) == 0);
  CHECK(it.ArrivedAt.size() == 2);
}

TEST_CASE("a request that no pause ends in time for is rejected at once",
          "[paused-replica]") {
  PauseFixture it;
  it.Pause = milliseconds(8000);
  it.startNode(false);
  auto before = TimerService::now();
  CHECK(it.askNode() == "503");
  CHECK(it.askNode() == "503");
  CHECK(TimerService::now() - before < milliseconds(600));
  CHECK(it.ArrivedAt.size() == 1);
  auto at = it.LastAnswer.find("Retry-After: ");
  REQUIRE(at != std::string::npos);
  auto seconds = std::stod(it.LastAnswer.substr(at + 13));
  CHECK(seconds >= 7);
  CHECK(seconds <= 9.5);
}

TEST_CASE("a pause outlives the replica's absence from the registry and a "
          "reload",
          "[paused-replica]") {
  PauseFixture it;
  it.Pause = milliseconds(3000);
  it.startNode();
  it.askUntilRejected();
  SECTION("absence") {
    auto entry = it.Platform.Replicas.Present.front();
    it.Platform.removeReplica("i-1");
    it.runFor(milliseconds(1100));
    it.Platform.Replicas.Removed.clear();
    it.Platform.Replicas.Present.push_back(entry);
    it.runFor(milliseconds(1100));
  }
  SECTION("reload") { it.Node->reload(it.Settings); }
  for (int n = 0; n < 10; ++n)
    CHECK(it.askNode() == "200");
  CHECK(it.arrivedInPause(it.ArrivedAt) == 0);
}

} // namespace hemlockglade::test
