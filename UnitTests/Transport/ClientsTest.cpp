#include "Loopback.h"

using namespace hemlockglade;

namespace {

/// How the server answers every request.
struct Script {
  int Status = 200;
  std::string Body;
  bool Abort = false;
  /// No server listens at the address.
  bool IsUnreachable = false;
};

/// A server that follows a script, and the requests that it received.
struct Fixture : Loopback {
  Script Answering;
  std::vector<HttpIncoming> Requests;
  HttpServer Server{
      Context, HttpServerSettings(),
      [this](HttpIncoming in, const std::shared_ptr<HttpReply> &reply) {
        Requests.push_back(std::move(in));
        if (Answering.Abort)
          reply->abort();
        else
          reply->sendWhole(Answering.Status, {}, Answering.Body);
      }};
  HttpClient Client{Context};

  std::string target() {
    return address(Answering.IsUnreachable ? deadPort() : Server.port());
  }
  PlatformClient platform() { return {Client, "http://" + target()}; }
};

/// The result of a table call, set when it arrives.
template <typename T> struct TableResult {
  std::optional<tl::expected<T, TableError>> Value;
  TableCallback<T> hook() {
    return [this](tl::expected<T, TableError> value) {
      Value.emplace(std::move(value));
    };
  }
};

} // namespace

TEST_CASE("answers of the table are mapped to their errors", "[platform]") {
  struct Case {
    Script Behavior;
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
    fixture.Answering = it.Behavior;
    CAPTURE(it.Behavior.Status, it.Behavior.Body, it.Behavior.Abort,
            it.Behavior.IsUnreachable);
    auto platform = fixture.platform();
    auto table = platform.table();
    TableResult<std::uint64_t> commit;
    TableResult<std::optional<TableRow>> get;
    TableResult<std::vector<TableRow>> scan;
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

TEST_CASE("a missing row is not an error, and lists are parsed", "[platform]") {
  Fixture fixture;
  auto platform = fixture.platform();
  auto table = platform.table();
  fixture.Answering = {404, ""};
  TableResult<std::optional<TableRow>> missing;
  table.Get("a&b=c d", missing.hook());
  REQUIRE(fixture.until([&] { return missing.Value.has_value(); }));
  REQUIRE(missing.Value->has_value());
  REQUIRE_FALSE((*missing.Value)->has_value());
  REQUIRE(queryValue(fixture.Requests[0].Query, "key") == "a&b=c d");
  fixture.Answering = {200, platform_format::rowsBody({{"a/1", 1, "x"}})};
  TableResult<std::vector<TableRow>> rows;
  table.Scan("a/", rows.hook());
  REQUIRE(fixture.until([&] { return rows.Value.has_value(); }));
  REQUIRE((*rows.Value)->at(0).Key == "a/1");
  fixture.Answering = {200, hostListBody({{"h", "1.2.3.4:5", true}})};
  TableResult<std::vector<HostEntry>> hosts;
  platform.hosts(hosts.hook());
  REQUIRE(fixture.until([&] { return hosts.Value.has_value(); }));
  REQUIRE((*hosts.Value)->at(0).Leaving);
}

TEST_CASE("answers of an engine are mapped to the results of orders",
          "[engine]") {
  struct Case {
    Script Behavior;
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
    fixture.Answering = it.Behavior;
    CAPTURE(it.Behavior.Status, it.Behavior.Abort, it.Behavior.IsUnreachable);
    EngineClient engines(fixture.Client);
    std::vector<OrderResult> results;
    auto done = [&](OrderResult result) { results.push_back(result); };
    engines.load(fixture.target(), "oath-fr@7", 41, done);
    engines.unload(fixture.target(), "oath-fr@7", 41, done);
    REQUIRE(fixture.until([&] { return results.size() == 2; }));
    CHECK(results == std::vector(2, it.Expected));
    for (const auto &request : fixture.Requests) {
      CHECK(request.field(header::Fence) == "41");
      CHECK(engine_format::readOrder(request.Body) == "oath-fr@7");
    }
  }
}

TEST_CASE("a report is parsed or missing, and a load can be cancelled",
          "[engine]") {
  Fixture fixture;
  EngineClient engines(fixture.Client);
  int answers = 0;
  std::optional<EngineReport> got;
  auto onReport = [&](auto report) {
    ++answers;
    got = report;
  };
  EngineReport report;
  report.Incarnation = "i";
  report.Resident = {{"a@1", 2}};
  fixture.Answering = {200, engine_format::reportBody(report)};
  engines.report(fixture.target(), onReport);
  REQUIRE(fixture.until([&] { return answers == 1; }));
  REQUIRE(got->Resident == report.Resident);
  for (const Script &behavior :
       {Script{500, fixture.Answering.Body}, Script{200, "{}"},
        Script{200, "", true}, Script{200, "", false, true}}) {
    fixture.Answering = behavior;
    answers = 0;
    engines.report(fixture.target(), onReport);
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

TEST_CASE("a timer calls its hook until its subscription is destroyed",
          "[timer]") {
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
  // The subscription is destroyed from within its own hook.
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
