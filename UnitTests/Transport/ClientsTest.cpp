#include "Loopback.h"

using namespace hemlockglade;

namespace {

/// What the other side does with every request.
struct Script {
  int Status = 200;
  std::string Body;
  bool Abort = false;
  /// Nobody listens.
  bool Dead = false;
};

/// A scripted other side, and what it was asked.
struct Fixture : Loopback {
  Script Next;
  std::vector<HttpIncoming> Asked;
  HttpServer Server{
      Context, HttpServerSettings(),
      [this](HttpIncoming in, const std::shared_ptr<HttpReply> &reply) {
        Asked.push_back(std::move(in));
        if (Next.Abort)
          reply->abort();
        else
          reply->sendWhole(Next.Status, {}, Next.Body);
      }};
  HttpClient Client{Context};

  std::string target() {
    return address(Next.Dead ? deadPort() : Server.port());
  }
  PlatformClient platform() { return {Client, "http://" + target()}; }
};

/// The result of a table call, once it is there.
template <typename T> struct Got {
  std::optional<tl::expected<T, TableError>> Value;
  TableCallback<T> hook() {
    return [this](tl::expected<T, TableError> value) {
      Value.emplace(std::move(value));
    };
  }
};

} // namespace

TEST_CASE("the table's answers are told apart", "[platform]") {
  struct Case {
    Script Other;
    std::optional<TableError> Commit;
    std::optional<TableError> Get;
  };
  auto row = platform_format::rowBody({"a key", 7, "value"});
  std::vector<Case> cases{
      {{200, row}, std::nullopt, std::nullopt},
      {{409, "{}"}, TableError::Conflict, TableError::Ambiguous},
      {{500, ""}, TableError::Ambiguous, TableError::Ambiguous},
      {{200, "nonsense"}, std::nullopt, TableError::Ambiguous},
      {{200, "", true}, TableError::Ambiguous, TableError::Ambiguous},
      {{200, "", false, true}, TableError::NotSent, TableError::NotSent}};
  for (const auto &it : cases) {
    Fixture fixture;
    fixture.Next = it.Other;
    CAPTURE(it.Other.Status, it.Other.Body, it.Other.Abort, it.Other.Dead);
    auto platform = fixture.platform();
    auto table = platform.table();
    Got<std::uint64_t> commit;
    Got<std::optional<TableRow>> get;
    Got<std::vector<TableRow>> scan;
    table.Commit({"attempt", {{"k", 1, "v"}}}, commit.hook());
    table.Get("a key", get.hook());
    table.Scan("a/", scan.hook());
    REQUIRE(
        fixture.until([&] { return commit.Value && get.Value && scan.Value; }));
    CHECK(commit.Value->has_value() == !it.Commit);
    if (it.Commit)
      CHECK(commit.Value->error() == *it.Commit);
    CHECK(get.Value->has_value() == !it.Get);
    if (it.Get)
      CHECK(get.Value->error() == *it.Get);
    else
      CHECK((**get.Value)->Version == 7);
    CHECK_FALSE(scan.Value->has_value());
  }
}

TEST_CASE("a row that is not there is no error, and lists are read",
          "[platform]") {
  Fixture fixture;
  auto platform = fixture.platform();
  auto table = platform.table();
  fixture.Next = {404, ""};
  Got<std::optional<TableRow>> missing;
  table.Get("a&b=c d", missing.hook());
  REQUIRE(fixture.until([&] { return missing.Value.has_value(); }));
  REQUIRE(missing.Value->has_value());
  REQUIRE_FALSE((*missing.Value)->has_value());
  REQUIRE(queryValue(fixture.Asked[0].Query, "key") == "a&b=c d");
  fixture.Next = {200, platform_format::rowsBody({{"a/1", 1, "x"}})};
  Got<std::vector<TableRow>> rows;
  table.Scan("a/", rows.hook());
  REQUIRE(fixture.until([&] { return rows.Value.has_value(); }));
  REQUIRE((*rows.Value)->at(0).Key == "a/1");
  fixture.Next = {200, hostListBody({{"h", "1.2.3.4:5", true}})};
  Got<std::vector<HostEntry>> hosts;
  platform.hosts(hosts.hook());
  REQUIRE(fixture.until([&] { return hosts.Value.has_value(); }));
  REQUIRE((*hosts.Value)->at(0).Leaving);
}

TEST_CASE("an engine's answers to orders are told apart", "[engine]") {
  struct Case {
    Script Other;
    OrderResult Expected;
  };
  std::vector<Case> cases{{{200, "{}"}, OrderResult::Done},
                          {{409, ""}, OrderResult::Fenced},
                          {{400, ""}, OrderResult::Refused},
                          {{404, ""}, OrderResult::Refused},
                          {{500, ""}, OrderResult::Unknown},
                          {{200, "", true}, OrderResult::Unknown},
                          {{200, "", false, true}, OrderResult::Refused}};
  for (const auto &it : cases) {
    Fixture fixture;
    fixture.Next = it.Other;
    CAPTURE(it.Other.Status, it.Other.Abort, it.Other.Dead);
    EngineClient engines(fixture.Client);
    std::vector<OrderResult> results;
    auto done = [&](OrderResult result) { results.push_back(result); };
    engines.load(fixture.target(), "oath-fr@7", 41, done);
    engines.unload(fixture.target(), "oath-fr@7", 41, done);
    REQUIRE(fixture.until([&] { return results.size() == 2; }));
    CHECK(results == std::vector(2, it.Expected));
    for (const auto &asked : fixture.Asked) {
      CHECK(asked.field(header::Fence) == "41");
      CHECK(engine_format::readOrder(asked.Body) == "oath-fr@7");
    }
  }
}

TEST_CASE("a report is read or missing, and a load can be taken back",
          "[engine]") {
  Fixture fixture;
  EngineClient engines(fixture.Client);
  int answers = 0;
  std::optional<EngineReport> got;
  auto take = [&](auto report) {
    ++answers;
    got = report;
  };
  EngineReport report;
  report.Incarnation = "i";
  report.Resident = {{"a@1", 2}};
  fixture.Next = {200, engine_format::reportBody(report)};
  engines.report(fixture.target(), take);
  REQUIRE(fixture.until([&] { return answers == 1; }));
  REQUIRE(got->Resident == report.Resident);
  for (const Script &other :
       {Script{500, fixture.Next.Body}, Script{200, "{}"},
        Script{200, "", true}, Script{200, "", false, true}}) {
    fixture.Next = other;
    answers = 0;
    engines.report(fixture.target(), take);
    REQUIRE(fixture.until([&] { return answers == 1; }));
    REQUIRE_FALSE(got);
  }
  RawServer silent(fixture.Context, [](RawPeer &) {});
  std::vector<OrderResult> results;
  auto ticket =
      engines.load(Loopback::address(silent.port()), "a@1", 1,
                   [&](OrderResult result) { results.push_back(result); });
  REQUIRE(fixture.until(
      [&] { return !silent.Peers.empty() && silent.Peers[0]->has("a@1"); }));
  engines.cancel(ticket);
  REQUIRE(fixture.until([&] { return !results.empty(); }));
  REQUIRE(results == std::vector{OrderResult::Unknown});
}

TEST_CASE("a timer calls until its subscription is dropped", "[timer]") {
  Loopback loop;
  TimerService timers(loop.Context);
  int ticks = 0;
  int once = 0;
  Instant last{};
  auto subscription =
      timers.every(std::chrono::microseconds(10), [&](Instant now) {
        ++ticks;
        REQUIRE(now >= last);
        last = now;
      });
  timers.after(std::chrono::microseconds(10), [&](Instant) { ++once; });
  REQUIRE(loop.until([&] { return ticks >= 5 && once; }));
  subscription.reset();
  auto seen = ticks;
  loop.settle();
  REQUIRE(ticks == seen);
  REQUIRE(once == 1);
  // Dropped from inside its own call.
  TimerService::Subscription self;
  int inner = 0;
  self = timers.every(std::chrono::microseconds(10), [&](Instant) {
    ++inner;
    self.reset();
  });
  REQUIRE(loop.until([&] { return inner == 1; }));
  loop.settle();
  REQUIRE(inner == 1);
}
