// Guards against one request that ends engine after engine of a service, and
// other requests with them: the engine ends when it begins to run the request,
// the node sends it to the next one, and the caller retries the failure at any
// node and under another id. It happened because what had ended under a request
// was forgotten with each attempt of its caller and was not sent to other
// nodes, and a broken connection counted against the replica only. One request
// could end most replicas of a service over one node, and a node that had seen
// none of three ends sent it on.

#include "UnitTests/Node/Gateway/CrashingRig.h"

namespace hemlockglade::test {

namespace {

/// Replicas whose end a probe of their address does not show.
struct HiddenEndFixture : CrashingFixture {
  HiddenEndFixture() : CrashingFixture(RouteKind::RunOnce) {
    for (const auto &replica : Replicas)
      replica->Answer = [](const auto &) {
        return ScriptedReplica::Step{
            "", ScriptedReplica::Then::CrashBehindListener};
      };
  }

  /// Removes the registry entries of replicas that have ended.
  void removeCrashedEntries() {
    for (std::size_t n = 0; n < Replicas.size(); ++n)
      if (Replicas[n]->Crashed)
        Platform.removeReplica("i-" + std::to_string(n + 1));
  }

  /// Whether the node has logged that all of them were removed.
  bool sawCrashedRemoved() const {
    return std::all_of(Platform.Replicas.Removed.begin(),
                       Platform.Replicas.Removed.end(), [this](const auto &id) {
                         return countLines("replica-gone\",\"replica\":\"" +
                                           id) > 0;
                       });
  }
};

} // namespace

TEST_CASE("a request that has crashed three replicas is sent to no other",
          "[gateway]") {
  auto kind = GENERATE(RouteKind::RunOnce, RouteKind::Repeatable);
  CrashingFixture it(kind);
  it.start();
  REQUIRE(it.untilReady());
  std::string answer;
  for (int n = 0; n < 2 * MaxCrashed; ++n)
    answer = it.sendCrashing(it.Settings.CallerAddress);
  CHECK(it.crashed() == MaxCrashed);
  CHECK(contains(answer, "HTTP/1.1 503"));
  CHECK(contains(answer, "Retry-After"));
  CHECK(contains(it.ask(it.Settings.CallerAddress, "/x/other"), "hello"));
}

TEST_CASE("crashes that several nodes saw are shared by all of them",
          "[gateway]") {
  CrashingFixture it(RouteKind::RunOnce);
  it.startNodes(4);
  for (std::size_t node = 0; node < MaxCrashed; ++node)
    it.sendCrashing(it.callerAddress(node));
  REQUIRE(it.crashed() == MaxCrashed);
  it.runFor(milliseconds(500));
  CHECK(contains(it.sendCrashing(it.callerAddress(3)), "HTTP/1.1 503"));
  CHECK(it.crashed() == MaxCrashed);
}

TEST_CASE("a barred request stays barred after all nodes have restarted",
          "[gateway]") {
  CrashingFixture it(RouteKind::RunOnce);
  it.startNodes(2);
  for (int n = 0; n < MaxCrashed; ++n)
    it.sendCrashing(it.callerAddress(0));
  REQUIRE(it.crashed() == MaxCrashed);
  // The next renewal of the lease writes it to the table.
  auto hasNotes = [](const auto &row) {
    auto parsed = CellLeaseRow::parse(row.second.Value);
    // Of the kinds of notes only a request's record has a colon.
    return parsed && parsed->Notes.find(':') != std::string::npos;
  };
  REQUIRE(it.until([&] {
    return std::any_of(it.Platform.Rows.begin(), it.Platform.Rows.end(),
                       hasNotes);
  }));
  // Only the rows of the table remain of the nodes.
  CrashingFixture after(RouteKind::RunOnce);
  after.Platform.Rows = it.Platform.Rows;
  after.Platform.RowVersion = it.Platform.RowVersion;
  after.startNodes(1);
  REQUIRE(after.until([&] { return after.countLines("request-barred") == 1; }));
  CHECK(contains(after.sendCrashing(after.callerAddress(0)), "HTTP/1.1 503"));
  CHECK(after.crashed() == 0);
}

TEST_CASE("an end that a probe did not show counts when the entry is removed",
          "[gateway]") {
  HiddenEndFixture it;
  it.start();
  REQUIRE(it.untilReady());
  for (int n = 1; n <= MaxCrashed; ++n) {
    it.sendCrashing(it.Settings.CallerAddress);
    REQUIRE(it.crashed() == n);
    it.removeCrashedEntries();
    REQUIRE(it.until([&] { return it.sawCrashedRemoved(); }));
  }
  CHECK(contains(it.sendCrashing(it.Settings.CallerAddress), "HTTP/1.1 503"));
  CHECK(it.crashed() == MaxCrashed);
}

TEST_CASE(
    "entries that do not return after an outage of the registry count as ends",
    "[gateway]") {
  HiddenEndFixture it;
  bool losesHistory = GENERATE(false, true);
  it.start();
  REQUIRE(it.untilReady());
  while (it.crashed() < MaxCrashed)
    it.sendCrashing(it.Settings.CallerAddress);
  it.Platform.goAway();
  it.runFor(milliseconds(500));
  it.removeCrashedEntries();
  if (losesHistory)
    it.Platform.loseHistory();
  it.Platform.Away = false;
  // For some two seconds the entries might return.
  it.runFor(milliseconds(4000));
  CHECK(contains(it.sendCrashing(it.Settings.CallerAddress), "HTTP/1.1 503"));
  CHECK(it.crashed() == MaxCrashed);
}

TEST_CASE(
    "a replica that ends under a request whose caller has disconnected counts",
    "[gateway]") {
  CrashingFixture it(RouteKind::RunOnce);
  for (const auto &replica : it.Replicas)
    replica->Answer = nullptr;
  it.start();
  REQUIRE(it.untilReady());
  for (int n = 0; n < MaxCrashed; ++n) {
    RawPeer caller(it.Context);
    caller.connect(parseEndpoint(it.Settings.CallerAddress).port());
    caller.send("GET " + std::string(Crashing) +
                " HTTP/1.1\r\nHost: a.example\r\nId: l" + std::to_string(n) +
                "\r\n\r\n");
    ScriptedReplica *runner = nullptr;
    REQUIRE(it.until([&] {
      for (const auto &replica : it.Replicas)
        if (!replica->Crashed && !replica->Requests.empty())
          runner = replica.get();
      return runner != nullptr;
    }));
    caller.close();
    REQUIRE(it.until([&] { return it.countLines("end") == n + 1; }));
    runner->crash();
    it.runFor(milliseconds(800));
  }
  CHECK(contains(it.sendCrashing(it.Settings.CallerAddress), "HTTP/1.1 503"));
}

TEST_CASE("connections that break at live replicas bar no request",
          "[gateway]") {
  CrashingFixture it(RouteKind::RunOnce, 1);
  int resets = 0;
  it.Replicas[0]->Answer = [&resets](const auto &) {
    ++resets;
    return ScriptedReplica::Step{"", ScriptedReplica::Then::Reset};
  };
  it.start();
  REQUIRE(it.untilReady());
  constexpr int Requests = 2 * MaxCrashed;
  for (int n = 0; n < Requests; ++n)
    it.sendCrashing(it.Settings.CallerAddress);
  CHECK(resets == Requests);
}

TEST_CASE(
    "a request that other replicas have served is not barred for failing hosts",
    "[gateway]") {
  // Many callers send the same request, while replicas end for other reasons.
  CrashingFixture it(RouteKind::RunOnce);
  int requestCount = 0;
  for (const auto &replica : it.Replicas)
    replica->Answer = [&requestCount](const auto &) {
      constexpr int EndEach = 2;
      if (++requestCount % EndEach == 0)
        return ScriptedReplica::Step{"", ScriptedReplica::Then::Crash};
      return ScriptedReplica::Step{
          "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"};
    };
  it.start();
  REQUIRE(it.untilReady());
  std::string answer;
  for (int n = 0; n < 4 * MaxCrashed + 1; ++n)
    answer = it.sendCrashing(it.Settings.CallerAddress);
  CHECK(it.crashed() == 2 * MaxCrashed);
  CHECK(contains(answer, "hello"));
}

} // namespace hemlockglade::test
