// Guards against a part of prompts that ends engine after engine: requests with
// it are no two alike, and sound requests share their callers and their other
// parts. It happened because ends were kept by the whole request only, each of
// which came once.

#include "UnitTests/Node/Gateway/CrashingRig.h"

namespace hemlockglade::test {

namespace {

/// A part that crashes each replica which begins to run a request with it.
constexpr char Deadly = '7';

/// Replicas that end when they run a request with one part of a prompt. The
/// last part is the request's own.
struct CrashingPartFixture : CrashingFixture {
  explicit CrashingPartFixture(RouteKind kind = RouteKind::RunOnce)
      : CrashingFixture(kind, 12) {
    for (const auto &replica : Replicas)
      replica->Answer = [](const ScriptedReplica::Request &request) {
        const auto *parts = findField(request.Head.Fields, "Parts");
        if (parts && parts->find(Deadly) < parts->size() - 1)
          return ScriptedReplica::Step{"", ScriptedReplica::Then::Crash};
        return ScriptedReplica::Step{
            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"};
      };
  }

  /// Sends a request that no other is like to the nodes in turn.
  std::string sendParts(const std::string &parts) {
    auto n = ++RequestCount;
    return ask(callerAddress(static_cast<std::size_t>(n) % Nodes.size()),
               "/x/" + std::to_string(n), "r" + std::to_string(n), "", parts);
  }

  /// Sends sound requests that share all parts with the deadly ones but one;
  /// returns how many were served.
  int sendSound(int n) {
    int served = 0;
    for (int it = 0; it < n; ++it)
      served += contains(sendParts("139"), "hello");
    return served;
  }
};

} // namespace

TEST_CASE("a part of prompts that has crashed three replicas is sent to no "
          "other, and requests without it are served",
          "[crashing-part]") {
  auto chain = GENERATE("1739", "7139", "1379");
  CAPTURE(chain);
  CrashingPartFixture it;
  it.startNodes(2);
  REQUIRE(it.sendSound(4) == 4);
  std::string answer;
  for (int n = 0; n < 2 * MaxCrashed; ++n) {
    answer = it.sendParts(chain);
    CHECK(it.sendSound(2) == 2);
    it.runFor(milliseconds(400));
  }
  CHECK(it.crashed() == MaxCrashed);
  CHECK(contains(answer, "HTTP/1.1 503"));
  CHECK(contains(answer, "Retry-After"));
}

TEST_CASE("retries of the product itself end few replicas more",
          "[crashing-part]") {
  CrashingPartFixture it(RouteKind::Repeatable);
  it.startNodes(2);
  // Enough requests that one retry is paid for.
  REQUIRE(it.sendSound(20) == 20);
  for (int n = 0; n < 2 * MaxCrashed; ++n) {
    it.sendParts("1739");
    it.sendSound(2);
    it.runFor(milliseconds(400));
  }
  // Two ends under one request, with nothing that went on in between, count
  // once.
  CHECK(it.crashed() <= MaxCrashed + 1);
  CHECK(it.countLines("part-barred") >= 1);
}

TEST_CASE("a request's own part is not blamed for the ends of replicas",
          "[crashing-part]") {
  CrashingPartFixture it;
  it.startNodes(1);
  for (const auto &replica : it.Replicas)
    replica->Answer = [](const auto &) {
      return ScriptedReplica::Step{"", ScriptedReplica::Then::Crash};
    };
  for (int n = 0; n < 2 * MaxCrashed; ++n) {
    it.sendParts("5");
    it.runFor(milliseconds(400));
  }
  CHECK(it.crashed() > MaxCrashed);
}

} // namespace hemlockglade::test
