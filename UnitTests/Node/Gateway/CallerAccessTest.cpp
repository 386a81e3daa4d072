#include "UnitTests/Node/Gateway/GatewayRig.h"

namespace hemlockglade::test {

namespace {

const std::string Hello = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";

bool has(const std::string &text, const std::string &part) {
  return text.find(part) != std::string::npos;
}

WorkspaceDirectory redWorkspace(std::vector<std::string> keys) {
  WorkspaceDeclaration red;
  red.Declared.Name = "red";
  red.Keys = std::move(keys);
  return WorkspaceDirectory({red});
}

/// A node with a plan in which the workspace `red` has the key `sekret-1`.
struct AccessFixture : GatewayFixture {
  AccessFixture() {
    Platform.Workspaces = redWorkspace({"sekret-1"});
    Platform.declare(1, "/x/");
    Platform.registerReplica(Replica.address());
    Settings.PlanBound = milliseconds(300);
    Replica.Answer = [](const auto &) { return ScriptedReplica::Step{Hello}; };
  }

  std::string requestWithKey(const std::string &key,
                             const std::string &path = "/x/") {
    return ask(Settings.CallerAddress, path, "r1", key);
  }

  void runFor(Span span) {
    until([end = TimerService::now() + span] {
      return TimerService::now() >= end;
    });
  }

  bool hasLogged(const std::string &text) const {
    return std::any_of(Lines.begin(), Lines.end(),
                       [&text](const auto &it) { return has(it, text); });
  }

  /// Checks that no answer, log line or forwarded field contains a key.
  void checkKeyNotExposed(const std::string &answer) const {
    CHECK_FALSE(has(answer, "sekret"));
    for (const auto &it : Lines)
      CHECK_FALSE(has(it, "sekret"));
    for (const auto &request : Replica.Requests)
      for (const auto &field : request.Head.Fields)
        CHECK_FALSE(has(field.Value, "sekret"));
  }
};

} // namespace

TEST_CASE(
    "a request is forwarded with its workspace's name and without its key",
    "[gateway][access]") {
  AccessFixture it;
  it.start();
  REQUIRE(it.untilReady());
  auto answer = it.requestWithKey("sekret-1");
  CHECK(has(answer, "hello"));
  REQUIRE(it.Replica.Requests.size() == 1);
  const auto *workspace =
      findField(it.Replica.Requests[0].Head.Fields, "Space");
  REQUIRE(workspace);
  CHECK(*workspace == "red");
  it.checkKeyNotExposed(answer);
}

TEST_CASE("a request without a key or with an unknown one is refused",
          "[gateway][access]") {
  AccessFixture it;
  it.start();
  REQUIRE(it.untilReady());
  for (const auto *key : {"", "sekret-2"}) {
    auto answer = it.requestWithKey(key);
    CHECK(has(answer, " 401 "));
    it.checkKeyNotExposed(answer);
  }
  CHECK(has(it.requestWithKey("sekret-2", "/y/"), " 404 "));
  CHECK(it.Replica.Requests.empty());
}

TEST_CASE("a denial is based on the declarations as of the request's arrival",
          "[gateway][access]") {
  AccessFixture it;
  it.start();
  REQUIRE(it.untilReady());
  // Long enough that the known declarations are too old for a denial.
  it.runFor(milliseconds(150));
  it.Platform.Deaf = true;
  it.Platform.Workspaces = redWorkspace({"sekret-1", "sekret-2"});
  it.Platform.declare(5, "/x/");
  CHECK(has(it.requestWithKey("sekret-2"), "hello"));
  it.Platform.declare(9, "/y/");
  // Beyond the age that every node keeps to, up to which a missing route needs
  // no confirmation.
  it.runFor(milliseconds(260));
  CHECK(has(it.requestWithKey("sekret-2", "/y/"), "hello"));
}

TEST_CASE("the rate of polls caused by wrong keys is bounded",
          "[gateway][access]") {
  AccessFixture it;
  it.start();
  REQUIRE(it.untilReady());
  auto startedAt = TimerService::now();
  for (int n = 0; n < 30; ++n)
    CHECK(has(it.requestWithKey("sekret-2"), " 401 "));
  auto maxPolls = 2 + (TimerService::now() - startedAt) / milliseconds(100);
  CHECK(it.Platform.LooksAtOnce <= maxPolls);
}

TEST_CASE("an unknown key is answered with 503 while declarations can't be "
          "confirmed",
          "[gateway][access]") {
  AccessFixture it;
  it.start();
  REQUIRE(it.untilReady());
  it.Platform.goAway();
  it.runFor(milliseconds(500));
  auto answer = it.requestWithKey("sekret-2");
  CHECK(has(answer, " 503 "));
  CHECK(has(answer, "Retry-After"));
  // Known keys are still served.
  CHECK(has(it.requestWithKey("sekret-1"), "hello"));
  it.checkKeyNotExposed(answer);
}

TEST_CASE("a node that the registry refuses confirms a denial with a peer",
          "[gateway][access]") {
  AccessFixture first;
  first.start();
  REQUIRE(first.untilReady());
  SecondNode second(first);
  second.Platform.Workspaces = redWorkspace({"sekret-1"});
  second.Platform.declare(1, "/x/");
  second.Platform.registerReplica(first.Replica.address());
  second.start(first);
  second.Platform.goAway();
  first.runFor(milliseconds(500));
  auto ask = [&](const std::string &key) {
    return first.ask(second.Settings.CallerAddress, "/x/", "r1", key);
  };
  // The first node's state of the registry is current.
  CHECK(has(first.requestWithKey("sekret-2"), " 401 "));
  CHECK(has(ask("sekret-2"), " 401 "));
  first.Platform.Workspaces = redWorkspace({"sekret-1", "sekret-2"});
  first.Platform.declare(4, "/x/");
  second.Platform.Known = first.Platform.Known;
  CHECK(has(ask("sekret-2"), "hello"));
}

TEST_CASE("a revoked key is refused on connections that stay open",
          "[gateway][access]") {
  AccessFixture it;
  it.start();
  REQUIRE(it.untilReady());
  RawPeer peer(it.Context);
  peer.connect(parseEndpoint(it.Settings.CallerAddress).port());
  const std::string Request =
      "GET /x/ HTTP/1.1\r\nHost: a.example\r\nId: r1\r\nKey: sekret-1\r\n\r\n";
  peer.send(Request);
  REQUIRE(it.until([&] { return has(peer.Got, "hello"); }));
  it.Platform.Workspaces = redWorkspace({"sekret-2"});
  it.Platform.declare(2, "/x/");
  it.settle();
  peer.Got.clear();
  peer.send(Request);
  REQUIRE(it.until([&] { return has(peer.Got, "\r\n\r\n"); }));
  CHECK(has(peer.Got, " 401 "));
}

TEST_CASE("keys that can't be confirmed any more are served or refused as "
          "configured",
          "[gateway][access]") {
  AccessFixture it;
  it.Settings.RevokeBound = milliseconds(300);
  it.Settings.RevokeFailClosed = GENERATE(false, true);
  it.start();
  REQUIRE(it.untilReady());
  CHECK(has(it.requestWithKey("sekret-1"), "hello"));
  it.Platform.goAway();
  it.runFor(milliseconds(600));
  auto answer = it.requestWithKey("sekret-1");
  CHECK(has(answer, it.Settings.RevokeFailClosed ? " 503 " : "hello"));
}

TEST_CASE("the quota server enforces a workspace's limit",
          "[gateway][access]") {
  AccessFixture it;
  WorkspaceDeclaration red;
  red.Declared.Name = "red";
  red.Declared.Limit = WorkspaceLimit{LimitUnit::Requests, 2, 3, 0};
  red.Keys = {"sekret-1"};
  it.Platform.Workspaces = WorkspaceDirectory({red});
  it.Platform.declare(2, "/x/");
  it.Platform.HasTable = true;
  it.start();
  REQUIRE(it.untilReady());
  REQUIRE(it.until([&] { return it.hasLogged("quota-keeper"); }));
  it.runFor(milliseconds(500));
  auto startedAt = TimerService::now();
  int served = 0;
  int limited = 0;
  for (int n = 0; n < 40; ++n) {
    auto answer = it.requestWithKey("sekret-1");
    served += has(answer, "hello") ? 1 : 0;
    limited += has(answer, " 429 ") ? 1 : 0;
  }
  auto elapsed = inSeconds(TimerService::now() - startedAt);
  CHECK(limited > 0);
  // The bucket was empty when it was created, some time before.
  CHECK(served <= 3 + 2 * elapsed + 1);
  CHECK(it.hasLogged("beyond its workspace's limit"));
}

} // namespace hemlockglade::test
