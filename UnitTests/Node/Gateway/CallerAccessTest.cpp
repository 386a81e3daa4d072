#include "UnitTests/Node/Gateway/GatewayRig.h"

namespace hemlockglade::test {

namespace {

const std::string Hello = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";

bool has(const std::string &text, const std::string &part) {
  return text.find(part) != std::string::npos;
}

WorkspaceDirectory redWith(std::vector<std::string> keys) {
  WorkspaceDeclaration red;
  red.Declared.Name = "red";
  red.Keys = std::move(keys);
  return WorkspaceDirectory({red});
}

/// A node with a plan in which the workspace `red` has the key `sekret-1`.
struct AccessFixture : GatewayFixture {
  AccessFixture() {
    Platform.Workspaces = redWith({"sekret-1"});
    Platform.declare(1, "/x/");
    Platform.registerReplica(Replica.address());
    Settings.PlanBound = milliseconds(300);
    Replica.Answer = [](const auto &) { return ScriptedReplica::Step{Hello}; };
  }

  std::string askWith(const std::string &key, const std::string &path = "/x/") {
    return ask(Settings.CallerAddress, path, "r1", key);
  }

  void pass(Span span) {
    until([end = TimerService::now() + span] {
      return TimerService::now() >= end;
    });
  }

  bool said(const std::string &text) const {
    return std::any_of(Lines.begin(), Lines.end(),
                       [&text](const auto &it) { return has(it, text); });
  }

  /// Nothing that this node has said or sent shows a key.
  void checkSecret(const std::string &answer) const {
    CHECK_FALSE(has(answer, "sekret"));
    for (const auto &it : Lines)
      CHECK_FALSE(has(it, "sekret"));
    for (const auto &request : Replica.Requests)
      for (const auto &field : request.Head.Fields)
        CHECK_FALSE(has(field.Value, "sekret"));
  }
};

} // namespace

TEST_CASE("a request goes on with its workspace's name and without its key",
          "[gateway][access]") {
  AccessFixture it;
  it.start();
  REQUIRE(it.untilReady());
  auto answer = it.askWith("sekret-1");
  CHECK(has(answer, "hello"));
  REQUIRE(it.Replica.Requests.size() == 1);
  const auto *space = findField(it.Replica.Requests[0].Head.Fields, "Space");
  REQUIRE(space);
  CHECK(*space == "red");
  it.checkSecret(answer);
}

TEST_CASE("who shows no key, or an unknown one, is turned away",
          "[gateway][access]") {
  AccessFixture it;
  it.start();
  REQUIRE(it.untilReady());
  for (const auto *key : {"", "sekret-2"}) {
    auto answer = it.askWith(key);
    CHECK(has(answer, " 401 "));
    it.checkSecret(answer);
  }
  CHECK(has(it.askWith("sekret-2", "/y/"), " 404 "));
  CHECK(it.Replica.Requests.empty());
}

TEST_CASE("a denial goes by what was declared when the request came",
          "[gateway][access]") {
  AccessFixture it;
  it.start();
  REQUIRE(it.untilReady());
  // Long enough for what is known to be older than a denial may rest on.
  it.pass(milliseconds(150));
  it.Platform.Deaf = true;
  it.Platform.Workspaces = redWith({"sekret-1", "sekret-2"});
  it.Platform.declare(5, "/x/");
  CHECK(has(it.askWith("sekret-2"), "hello"));
  it.Platform.declare(9, "/y/");
  // Beyond the age that all nodes keep to, which a route may have.
  it.pass(milliseconds(260));
  CHECK(has(it.askWith("sekret-2", "/y/"), "hello"));
}

TEST_CASE("wrong keys cost the registry a bounded number of looks",
          "[gateway][access]") {
  AccessFixture it;
  it.start();
  REQUIRE(it.untilReady());
  auto began = TimerService::now();
  for (int n = 0; n < 30; ++n)
    CHECK(has(it.askWith("sekret-2"), " 401 "));
  auto most = 2 + (TimerService::now() - began) / milliseconds(100);
  CHECK(it.Platform.LooksAtOnce <= most);
}

TEST_CASE("a node that can't know whether a key is new denies nothing",
          "[gateway][access]") {
  AccessFixture it;
  it.start();
  REQUIRE(it.untilReady());
  it.Platform.goAway();
  it.pass(milliseconds(500));
  auto answer = it.askWith("sekret-2");
  CHECK(has(answer, " 503 "));
  CHECK(has(answer, "Retry-After"));
  // What it knows it serves on.
  CHECK(has(it.askWith("sekret-1"), "hello"));
  it.checkSecret(answer);
}

TEST_CASE("a node that the registry turns away denies by a peer's word",
          "[gateway][access]") {
  AccessFixture first;
  first.start();
  REQUIRE(first.untilReady());
  SecondNode second(first);
  second.Platform.Workspaces = redWith({"sekret-1"});
  second.Platform.declare(1, "/x/");
  second.Platform.registerReplica(first.Replica.address());
  second.start(first);
  second.Platform.goAway();
  first.pass(milliseconds(500));
  auto ask = [&](const std::string &key) {
    return first.ask(second.Settings.CallerAddress, "/x/", "r1", key);
  };
  // The first node knows the registry as it is now.
  CHECK(has(first.askWith("sekret-2"), " 401 "));
  CHECK(has(ask("sekret-2"), " 401 "));
  first.Platform.Workspaces = redWith({"sekret-1", "sekret-2"});
  first.Platform.declare(4, "/x/");
  second.Platform.Known = first.Platform.Known;
  CHECK(has(ask("sekret-2"), "hello"));
}

TEST_CASE("a revoked key ends on connections that stay open",
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
  it.Platform.Workspaces = redWith({"sekret-2"});
  it.Platform.declare(2, "/x/");
  it.settle();
  peer.Got.clear();
  peer.send(Request);
  REQUIRE(it.until([&] { return has(peer.Got, "\r\n\r\n"); }));
  CHECK(has(peer.Got, " 401 "));
}

TEST_CASE("keys that can't be confirmed any more are served or not as set",
          "[gateway][access]") {
  AccessFixture it;
  it.Settings.RevokeBound = milliseconds(300);
  it.Settings.RevokeFailClosed = GENERATE(false, true);
  it.start();
  REQUIRE(it.untilReady());
  CHECK(has(it.askWith("sekret-1"), "hello"));
  it.Platform.goAway();
  it.pass(milliseconds(600));
  auto answer = it.askWith("sekret-1");
  CHECK(has(answer, it.Settings.RevokeFailClosed ? " 503 " : "hello"));
}

TEST_CASE("a limit holds at the node that keeps it", "[gateway][access]") {
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
  REQUIRE(it.until([&] { return it.said("quota-keeper"); }));
  it.pass(milliseconds(500));
  auto began = TimerService::now();
  int served = 0;
  int limited = 0;
  for (int n = 0; n < 40; ++n) {
    auto answer = it.askWith("sekret-1");
    served += has(answer, "hello") ? 1 : 0;
    limited += has(answer, " 429 ") ? 1 : 0;
  }
  auto passed = inSeconds(TimerService::now() - began);
  CHECK(limited > 0);
  // The bucket began empty some time before.
  CHECK(served <= 3 + 2 * passed + 1);
  CHECK(it.said("beyond its workspace's limit"));
}

} // namespace hemlockglade::test
