#include "platform/Store.h"

#include "Hemlockglade/Protocol/JsonText.h"
#include "Hemlockglade/Protocol/QueryText.h"
#include "Hemlockglade/Transport/Http1/CallerServer.h"
#include "UnitTests/Node/Gateway/ScriptedReplica.h"
#include "UnitTests/Transport/Http1/EndlessServer.h"
#include "platform/Base64.h"

namespace hemlockglade::test {

namespace {

/// A server in the place of the store or of an engine that sends the answers
/// that the test sets, and clients of it.
struct StoreFixture : Loopback {
  StoreFixture()
      : Log(
            {"n"}, [this](std::string_view line) { Lines.emplace_back(line); },
            [] { return std::chrono::microseconds(0); }) {
    CallerHooks hooks;
    hooks.Bounds = [] { return CallerBounds{}; };
    hooks.Closing = [] { return false; };
    hooks.OnRequest = [this](const CallerRequest &request, auto reply) {
      Calls.push_back(request);
      if (IsSilent) {
        PendingReplies.push_back(std::move(reply));
        return;
      }
      auto answer = Answers.empty() ? Answer : Answers.front();
      if (!Answers.empty())
        Answers.erase(Answers.begin());
      HttpAnswerHead head{answer.first, {}};
      if (!Era.empty())
        head.Fields.push_back({"Store-Era", Era});
      reply->respond(std::move(head), answer.second);
    };
    Server = std::make_unique<CallerServer>(Context, localhost(0), 10,
                                            std::move(hooks));
    PlatformStore::Settings settings;
    settings.Address = localhost(Server->port());
    settings.Memory = Memory;
    // Long timeouts, so that only calls of the tests without an answer, which
    // use the other client, reach theirs.
    settings.CallTimeout = std::chrono::seconds(20);
    settings.EngineTimeout = std::chrono::seconds(20);
    Store = std::make_unique<PlatformStore>(Context, settings, Log);
    settings.CallTimeout = std::chrono::milliseconds(50);
    settings.EngineTimeout = std::chrono::milliseconds(50);
    ShortTimeoutStore = std::make_unique<PlatformStore>(Context, settings, Log);
  }

  template <typename T> T wait(std::optional<T> &result) {
    REQUIRE(until([&] { return result.has_value(); }));
    return std::move(*result);
  }

  /// Returns the client with short timeouts if the server sends no answers.
  PlatformStore &client() { return IsSilent ? *ShortTimeoutStore : *Store; }

  tl::expected<std::uint64_t, TableError> commit(std::uint64_t expected = 4) {
    std::optional<tl::expected<std::uint64_t, TableError>> result;
    client().table().Commit({"a", {{"k", expected, "v"}}},
                            [&](auto it) { result = it; });
    return wait(result);
  }

  /// Returns the version that the client gives a row which the store of this
  /// era sends with version 5.
  tl::expected<std::uint64_t, TableError> versionIn(const std::string &era) {
    Era = era;
    Answer = {200, R"({"rows":[{"key":"k","ver":5,"value":"dg=="}],"ver":7})"};
    std::optional<tl::expected<std::optional<TableRow>, TableError>> result;
    Store->table().Get("k", [&](auto it) { result = it; });
    return wait(result).map([](const auto &it) { return it->Version; });
  }

  tl::expected<ReplicaChanges, RegistryError> readReplicas() {
    Answer = {200, R"({"rows":[],"ver":7})"};
    std::optional<tl::expected<ReplicaChanges, RegistryError>> result;
    Store->registry().ReadReplicas([&](auto it) { result = it; });
    return wait(result);
  }

  tl::expected<ReplicaChanges, RegistryError>
  watchReplicas(std::uint64_t position) {
    std::optional<tl::expected<ReplicaChanges, RegistryError>> result;
    Store->registry().WatchReplicas(position, [&](auto it) { result = it; });
    return wait(result);
  }

  ReplicaRecord replica() const {
    ReplicaRecord out;
    out.Incarnation = ReplicaIncarnation("i-1");
    out.Address = address(Server->port());
    return out;
  }

  OrderAnswer order() {
    std::optional<OrderAnswer> result;
    client().engines().Order(replica(), {}, [&](auto it) { result = it; });
    return wait(result);
  }

  std::vector<std::string> Lines;
  EventLog Log;
  std::shared_ptr<HeldMemory> Memory = std::make_shared<HeldMemory>();
  std::vector<CallerRequest> Calls;
  std::pair<std::uint16_t, std::string> Answer{200, "{}"};
  std::vector<std::pair<std::uint16_t, std::string>> Answers;
  std::vector<std::shared_ptr<CallerReply>> PendingReplies;
  bool IsSilent = false;
  std::string Era;
  std::unique_ptr<CallerServer> Server;
  std::unique_ptr<PlatformStore> Store;
  std::unique_ptr<PlatformStore> ShortTimeoutStore;
};

std::string row(const std::string &key, const std::string &value) {
  return R"({"table":"t","part":"","key":")" + key + R"(","ver":5,"value":")" +
         toBase64(value) + R"("})";
}

} // namespace

TEST_CASE("a commit is sent as one conditional change", "[store]") {
  StoreFixture it;
  it.Answer = {200, R"({"ver":412,"now_ms":1})"};
  CHECK(it.commit() == 412);
  REQUIRE(it.Calls.size() == 1);
  CHECK(it.Calls[0].Head.Target == "/hemlockglade/rows-tx");
  auto body = parseJson(it.Calls[0].Body);
  CHECK(body["if_revision"][0]["ver"] == 4);
  CHECK(body["if_revision"][0]["key"] == "k");
  CHECK(body["put"][0]["value"] == "dg==");
}

TEST_CASE("the result of a commit follows from the status of its answer",
          "[store]") {
  StoreFixture it;
  SECTION("a failed condition is a conflict") {
    it.Answer = {412, "{}"};
    CHECK(it.commit().error() == TableError::Conflict);
  }
  SECTION("a refused call is not sent") {
    it.Answer = {503, ""};
    CHECK(it.commit().error() == TableError::NotSent);
    it.Answer = {429, ""};
    CHECK(it.commit().error() == TableError::NotSent);
  }
  SECTION("any other answer is ambiguous") {
    it.Answer = {500, ""};
    CHECK(it.commit().error() == TableError::Ambiguous);
  }
  SECTION("a missing answer is ambiguous") {
    it.IsSilent = true;
    CHECK(it.commit().error() == TableError::Ambiguous);
  }
  SECTION("an answer without a version gives version 0") {
    it.Answer = {200, "what"};
    CHECK(it.commit() == 0);
  }
}

TEST_CASE("all pages of a table are read", "[store]") {
  StoreFixture it;
  it.Answers = {{200, R"({"rows":[)" + row("lease/a", "1") +
                          R"(],"has_more":true,"ver":7,"now_ms":1})"},
                {200, R"({"rows":[)" + row("lease/b", "2") + "," +
                          row("other", "3") +
                          R"(],"has_more":false,"ver":9,"now_ms":1})"}};
  std::optional<tl::expected<std::vector<TableRow>, TableError>> result;
  it.Store->table().Scan("lease/", [&](auto got) { result = got; });
  auto rows = it.wait(result);
  REQUIRE(rows);
  REQUIRE(rows->size() == 2);
  CHECK((*rows)[1].Value == "2");
  REQUIRE(it.Calls.size() == 2);
  CHECK(queryValue(queryOf(it.Calls[1].Head.Target), "from") == "lease/a\x01");
}

TEST_CASE("rows of operators are parsed into a plan and versions", "[store]") {
  StoreFixture it;
  auto plan = R"({"version":3,"routes":[],"services":[]})";
  it.Answer = {200, R"({"rows":[)" + row("config", plan) + "," +
                        row("version/m.a1",
                            R"({"model":"m","adapter":"a1","version":2})") +
                        "," + row("version/bad", "[]") + "," +
                        R"({"key":"gone","deleted":true,"ver":8}],)" +
                        R"("has_more":false,"ver":9,"now_ms":1})"};
  std::optional<tl::expected<OperatorChanges, RegistryError>> result;
  it.Store->registry().ReadOperator([&](auto got) { result = got; });
  auto changes = it.wait(result);
  REQUIRE(changes);
  REQUIRE(changes->Plan);
  CHECK(changes->Plan->version() == 3);
  CHECK(changes->Versions.size() == 1);
  CHECK(changes->Position == 9);
  // The unreadable row is logged, and the others are kept.
  CHECK(it.Lines.size() == 1);
}

TEST_CASE("a poll returns present and removed replicas", "[store]") {
  StoreFixture it;
  it.Answer = {200, R"({"rows":[)" +
                        row("i-1", R"({"service":"s","address":"1.2.3.4:5",)"
                                   R"("zone":"z","slots":4,"state":"ready"})") +
                        R"(,{"key":"i-2","ver":6,"deleted":true}],"ver":6})"};
  std::optional<tl::expected<ReplicaChanges, RegistryError>> result;
  it.Store->registry().WatchReplicas(5, [&](auto got) { result = got; });
  auto changes = it.wait(result);
  REQUIRE(changes);
  CHECK_FALSE(changes->Complete);
  CHECK(changes->Present.size() == 1);
  CHECK(changes->Removed == std::vector<std::string>{"i-2"});
  CHECK(it.Calls[0].Head.Target ==
        "/hemlockglade/rows-feed?table=servers&after=5&wait_ms=0");
}

TEST_CASE("a poll from before the kept history returns HistoryLost",
          "[store]") {
  StoreFixture it;
  it.Answer = {410, ""};
  std::optional<tl::expected<ReplicaChanges, RegistryError>> result;
  it.Store->registry().WatchReplicas(5, [&](auto got) { result = got; });
  CHECK(it.wait(result).error() == RegistryError::HistoryLost);
}

TEST_CASE("versions increase after the store reuses its own in a new era",
          "[store]") {
  StoreFixture it;
  auto before = it.versionIn("3");
  REQUIRE(before);
  it.Answer = {200, R"({"ver":6})"};
  auto after = it.commit(*before);
  REQUIRE(after);
  CHECK(*after == *before + 1);
  CHECK(parseJson(it.Calls.back().Body)["if_revision"][0]["ver"] == 5);
  auto afterRollback = it.versionIn("4");
  REQUIRE(afterRollback);
  CHECK(*afterRollback > *after);
}

TEST_CASE("a commit with a version of an earlier era does not succeed",
          "[store]") {
  StoreFixture it;
  auto before = it.versionIn("3");
  SECTION("with the new era known, nothing is sent") {
    REQUIRE(it.versionIn("4"));
    auto calls = it.Calls.size();
    CHECK(it.commit(*before).error() == TableError::Conflict);
    CHECK(it.Calls.size() == calls);
  }
  SECTION("with the new era in the answer, the result is ambiguous") {
    it.Era = "4";
    it.Answer = {200, R"({"ver":6})"};
    CHECK(it.commit(*before).error() == TableError::Ambiguous);
  }
}

TEST_CASE("an answer of an earlier era is refused", "[store]") {
  StoreFixture it;
  REQUIRE(it.versionIn("4"));
  CHECK_FALSE(it.versionIn("3"));
  CHECK(it.Store->era() == 4);
}

TEST_CASE("all replicas are read again after a rollback of the store",
          "[store]") {
  StoreFixture it;
  it.Era = "3";
  auto first = it.readReplicas();
  REQUIRE(first);
  CHECK_FALSE(first->RolledBack);
  it.Era = "4";
  CHECK(it.watchReplicas(first->Position).error() ==
        RegistryError::HistoryLost);
  auto calls = it.Calls.size();
  CHECK(it.watchReplicas(first->Position).error() ==
        RegistryError::HistoryLost);
  CHECK(it.Calls.size() == calls);
  auto second = it.readReplicas();
  REQUIRE(second);
  CHECK(second->RolledBack);
  CHECK(second->Position > first->Position);
  CHECK_FALSE(it.readReplicas()->RolledBack);
}

TEST_CASE("the status of an engine's answer gives the result of an order",
          "[store]") {
  StoreFixture it;
  auto [status, answer] =
      GENERATE(table<int, OrderAnswer>({{202, OrderAnswer::Accepted},
                                        {200, OrderAnswer::Holds},
                                        {409, OrderAnswer::Conflict},
                                        {412, OrderAnswer::Fenced},
                                        {421, OrderAnswer::OtherIncarnation},
                                        {400, OrderAnswer::Rejected}}));
  it.Answer = {static_cast<std::uint16_t>(status), ""};
  CHECK(it.order() == answer);
  REQUIRE(it.Calls.size() == 1);
  CHECK(*findField(it.Calls[0].Head.Fields, "X-Expect-Instance") == "i-1");
}

TEST_CASE("a repeated answer to one order is not taken for that to the next",
          "[store][late-answer]") {
  StoreFixture it;
  ScriptedReplica engine(it.Context);
  const std::string holds = "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n";
  const std::string conflict = "HTTP/1.1 409 X\r\nContent-Length: 0\r\n\r\n";
  engine.Answer = [&](const ScriptedReplica::Request &request) {
    if (engine.Requests.size() == 1)
      return ScriptedReplica::Step{holds};
    bool isSame = request.Connection == engine.Requests.front().Connection;
    return ScriptedReplica::Step{(isSame ? holds : "") + conflict};
  };
  auto replica = it.replica();
  replica.Address = engine.address();
  auto order = [&] {
    std::optional<OrderAnswer> result;
    it.Store->engines().Order(replica, {}, [&](auto got) { result = got; });
    return it.wait(result);
  };
  CHECK(order() == OrderAnswer::Holds);
  CHECK(order() == OrderAnswer::Conflict);
}

// The right to order may end while the connection is opened, and an engine that
// ignores fencing numbers would carry the order out beside the next holder's.
TEST_CASE("an order is withheld if its holder may not order any more",
          "[store]") {
  StoreFixture it;
  EngineOrder order;
  order.MayWrite = [] { return false; };
  std::optional<OrderAnswer> result;
  it.Store->engines().Order(it.replica(), order,
                            [&](auto got) { result = got; });
  CHECK(it.wait(result) == OrderAnswer::Withheld);
  it.settle();
  CHECK(it.Calls.empty());
}

TEST_CASE("an order without an answer has an unknown result", "[store]") {
  StoreFixture it;
  it.IsSilent = true;
  CHECK(it.order() == OrderAnswer::Unknown);
}

TEST_CASE("unreadable entries do not affect others and are logged once",
          "[store][foreign]") {
  StoreFixture it;
  const std::string valid =
      R"({"service":"s","address":"1.2.3.4:5","zone":"z","slots":4,)"
      R"("state":"ready"})";
  it.Answer = {200, R"({"rows":[)" + row("i-0", "not JSON") + "," +
                        row("i-1", valid) + "," + row("i-2", "{}") +
                        R"(,{"key":"i-3","ver":6,"value":"***"},)" +
                        R"({"key":"i-4","ver":6,"value":7},)" +
                        row("i-5", valid) + R"(],"ver":6,"has_more":false})"};
  for (int round = 0; round < 3; ++round) {
    std::optional<tl::expected<ReplicaChanges, RegistryError>> result;
    it.Store->registry().ReadReplicas([&](auto got) { result = got; });
    auto changes = it.wait(result);
    REQUIRE(changes);
    REQUIRE(changes->Present.size() == 2);
    CHECK(changes->Present[1].Incarnation.id() == "i-5");
    CHECK(changes->Unreadable ==
          std::vector<std::string>{"i-0", "i-2", "i-3", "i-4"});
  }
  CHECK(it.Lines.size() == 4);
}

namespace {

const std::string ValidEntry =
    R"({"service":"s","address":"1.2.3.4:5","zone":"z","slots":4,)"
    R"("state":"ready"})";

/// Rows that another writer may leave, of which none describes a replica.
std::vector<std::string> oddRows() {
  std::vector<std::string> out{
      R"({})",
      R"(null)",
      R"("text")",
      R"([1,2])",
      R"({"key":7,"ver":5,"value":"e30="})",
      R"({"key":null,"ver":5,"value":"e30="})",
      R"({"key":"i-odd","ver":"new","value":"e30="})",
      R"({"key":"i-odd","ver":-1,"value":"e30="})",
      R"({"key":"i-odd","ver":1e300,"value":"e30="})",
      R"({"key":"i-odd","ver":18446744073709551616,"value":"e30="})",
      R"({"key":"i-odd","value":"e30="})",
      R"({"key":"i-odd","ver":5,"deleted":"yes","value":"e30="})",
      R"({"key":"i-odd","ver":5,"value":{"a":[]}})",
      row("i-odd", std::string(200'000, '[')),
      row("i-odd", R"({"service":"s","slots":1e999})"),
      row("i-odd", std::string("\xff\xfe\0", 3)),
      row("i-odd", ""),
  };
  for (const std::string address :
       {"1.2.3.4:65536", "1.2.3.4:-1", "1.2.3.4:0",
        "1.2.3.4:1180591620717411303424", "0.0.0.0:80", "255.255.255.255:80",
        "224.0.0.1:80", "[::]:80", "host:80"})
    out.push_back(row("i-odd", R"({"service":"s","address":")" + address +
                                   R"(","zone":"z","slots":4,)"
                                   R"("state":"ready"})"));
  return out;
}

} // namespace

// One odd row made nodes refuse the whole answer, so that they did not follow
// the list of replicas any more.
TEST_CASE("an odd row hides no other row", "[store][foreign]") {
  auto odd = GENERATE(from_range(oddRows()));
  CAPTURE(odd.substr(0, 100));
  StoreFixture it;
  auto page = [&odd](const std::string &before, const std::string &behind,
                     bool isLast) {
    return std::pair<std::uint16_t, std::string>(
        200, R"({"rows":[)" + row(before, ValidEntry) + "," + odd + "," +
                 row(behind, ValidEntry) + R"(],"ver":6,"has_more":)" +
                 (isLast ? "false" : "true") + "}");
  };
  std::optional<tl::expected<ReplicaChanges, RegistryError>> result;
  SECTION("in pages of the list") {
    it.Answers = {page("i-1", "i-2", false), page("i-3", "i-4", true)};
    it.Store->registry().ReadReplicas([&](auto got) { result = got; });
    auto changes = it.wait(result);
    REQUIRE(changes);
    CHECK(changes->Present.size() == 4);
  }
  SECTION("among the changes") {
    it.Answers = {page("i-1", "i-2", true)};
    it.Store->registry().WatchReplicas(4, [&](auto got) { result = got; });
    auto changes = it.wait(result);
    REQUIRE(changes);
    CHECK(changes->Present.size() == 2);
    CHECK(changes->Position == 6);
  }
  SECTION("among operators' declarations") {
    std::optional<tl::expected<OperatorChanges, RegistryError>> declared;
    const std::string version = R"({"model":"m","adapter":"a","version":3})";
    it.Answer = {200, R"({"rows":[)" + odd + "," + row("version/m.a", version) +
                          R"(],"ver":6})"};
    it.Store->registry().ReadOperator([&](auto got) { declared = got; });
    auto changes = it.wait(declared);
    REQUIRE(changes);
    CHECK(changes->Versions.size() == 1);
  }
  SECTION("beside a row of the table") {
    std::optional<tl::expected<std::optional<TableRow>, TableError>> found;
    it.Answer = {200,
                 R"({"rows":[)" + odd + "," + row("k", "v") + R"(],"ver":6})"};
    it.Store->table().Get("k", [&](auto got) { found = got; });
    auto got = it.wait(found);
    REQUIRE(got);
    REQUIRE(*got);
    CHECK((*got)->Value == "v");
  }
}

// It would be written anew, as if nobody had ever held the lease.
TEST_CASE("a row of the table that can't be decoded is not a missing one",
          "[store][foreign]") {
  StoreFixture it;
  auto odd = GENERATE(R"({"key":"k","ver":"new","value":"e30="})",
                      R"({"key":"k","ver":5,"value":7})");
  it.Answer = {200, R"({"rows":[)" + std::string(odd) + R"(],"ver":6})"};
  std::optional<tl::expected<std::optional<TableRow>, TableError>> found;
  it.Store->table().Get("k", [&](auto got) { found = got; });
  CHECK(it.wait(found).error() == TableError::NotSent);
}

TEST_CASE("thousands of odd entries cost neither the list nor the log",
          "[store][foreign]") {
  StoreFixture it;
  constexpr int Pages = 10;
  constexpr int PageRows = 500;
  for (int page = 0; page < Pages; ++page) {
    std::string rows;
    for (int n = 0; n < PageRows; ++n) {
      auto key = "i-" + std::to_string(100'000 + page * PageRows + n);
      rows += row(key, n % 50 == 0 ? ValidEntry : R"({"slots":-1})") + ",";
    }
    rows.pop_back();
    it.Answers.emplace_back(200, R"({"rows":[)" + rows +
                                     R"(],"ver":6,"has_more":)" +
                                     (page + 1 < Pages ? "true}" : "false}"));
  }
  std::optional<tl::expected<ReplicaChanges, RegistryError>> result;
  it.Store->registry().ReadReplicas([&](auto got) { result = got; });
  auto changes = it.wait(result);
  REQUIRE(changes);
  CHECK(changes->Present.size() == Pages * PageRows / 50);
  CHECK(it.Lines.size() <= 256);
}

TEST_CASE("of several changes of an entry the last one counts", "[store]") {
  StoreFixture it;
  const std::string valid =
      R"({"service":"s","address":"1.2.3.4:5","zone":"z","slots":4,)"
      R"("state":"ready"})";
  it.Answer = {200, R"({"rows":[{"key":"i-1","ver":5,"deleted":true},)" +
                        row("i-1", valid) + "," + row("i-2", valid) +
                        R"(,{"key":"i-2","ver":7,"deleted":true}],"ver":7})"};
  std::optional<tl::expected<ReplicaChanges, RegistryError>> result;
  it.Store->registry().WatchReplicas(4, [&](auto got) { result = got; });
  auto changes = it.wait(result);
  REQUIRE(changes);
  REQUIRE(changes->Present.size() == 1);
  CHECK(changes->Present[0].Incarnation.id() == "i-1");
  CHECK(changes->Removed == std::vector<std::string>{"i-2"});
}

// The same page again and again would fill the memory, and an empty one that
// is not the last would be asked for forever.
TEST_CASE("pages of a table without end are refused", "[store][endless]") {
  StoreFixture it;
  auto page = [](const std::string &rows) {
    return std::pair<std::uint16_t, std::string>(
        200, R"({"rows":[)" + rows + R"(],"has_more":true,"ver":7})");
  };
  SECTION("the same page") {
    it.Answer = page(row("a", "1") + "," + row("b", "2"));
  }
  SECTION("pages that go back") {
    it.Answers = {page(row("b", "1"))};
    it.Answer = page(row("a", "1"));
  }
  SECTION("pages without rows") {
    it.Answers = {page(row("a", "1"))};
    it.Answer = page("");
  }
  SECTION("only pages without rows") { it.Answer = page(""); }
  std::optional<tl::expected<ReplicaChanges, RegistryError>> result;
  it.Store->registry().ReadReplicas([&](auto got) { result = got; });
  auto got = it.wait(result);
  REQUIRE_FALSE(got);
  CHECK(got.error() == RegistryError::Unavailable);
  CHECK(it.Calls.size() <= 2);
  CHECK(it.Answers.empty());
  CHECK(it.Memory->endless(EndlessKind::Pages) == 1);
}

TEST_CASE("rows without end are refused at the limits of memory and time",
          "[store][endless]") {
  StoreFixture it;
  PlatformStore::Settings settings;
  settings.Address = Loopback::localhost(it.Server->port());
  settings.Memory = std::make_shared<HeldMemory>(
      HeldMemory::Settings{10'000, 10'000, 10'000});
  settings.MaxTableBytes = 100'000;
  settings.MaxTableTime = std::chrono::seconds(20);
  SECTION("memory") {}
  SECTION("time") { settings.MaxTableTime = std::chrono::milliseconds(50); }
  PlatformStore store(it.Context, settings, it.Log);
  for (int page = 0; page < 20'000; ++page)
    it.Answers.emplace_back(200, R"({"rows":[)" +
                                     row(std::to_string(100'000 + page), "1") +
                                     R"(],"has_more":true,"ver":7})");
  auto start = std::chrono::steady_clock::now();
  std::optional<tl::expected<ReplicaChanges, RegistryError>> result;
  store.registry().ReadReplicas([&](auto got) { result = got; });
  CHECK_FALSE(it.wait(result));
  CHECK(it.Calls.size() < 2000);
  CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(10));
  // What the read held is free again.
  it.Answers.clear();
  it.Answer = {200, R"({"rows":[)" + row("a", "1") + R"(],"ver":7})"};
  result.reset();
  store.registry().ReadReplicas([&](auto got) { result = got; });
  CHECK(it.wait(result));
}

TEST_CASE("reports, orders and pages without end fail as calls without an "
          "answer",
          "[store][endless]") {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  auto bytes = GENERATE_COPY(
      EndlessServer::Answer{head + "\r\n", "x"},
      EndlessServer::Answer{head, "a: b\r\n"},
      EndlessServer::Answer{"", "HTTP/1.1 102 P\r\n\r\n"},
      EndlessServer::Answer{head + "a: ", "x", std::chrono::milliseconds(5)});
  StoreFixture it;
  EndlessServer endless(it.Context, bytes);
  PlatformStore::Settings settings;
  settings.Address = Loopback::localhost(endless.port());
  settings.CallTimeout = std::chrono::milliseconds(1500);
  settings.EngineTimeout = std::chrono::milliseconds(1500);
  PlatformStore store(it.Context, settings, it.Log);
  auto replica = it.replica();
  replica.Address = endless.address();
  int ends = 0;
  std::optional<OrderAnswer> order;
  std::optional<std::optional<HoldingsReport>> report;
  std::optional<tl::expected<ReplicaChanges, RegistryError>> pages;
  std::optional<tl::expected<std::uint64_t, TableError>> commit;
  store.engines().Order(replica, {}, [&](auto got) { order = got, ++ends; });
  store.engines().Report(replica, [&](auto got) { report = got, ++ends; });
  store.registry().ReadReplicas([&](auto got) { pages = got, ++ends; });
  store.table().Commit({"a", {{"k", 1, "v"}}},
                       [&](auto got) { commit = got, ++ends; });
  REQUIRE(it.until([&] { return ends == 4 && endless.Ended == 4; }));
  CHECK(*order == OrderAnswer::Unknown);
  CHECK_FALSE(report->has_value());
  CHECK_FALSE(*pages);
  // The commit may have been executed.
  CHECK(commit->error() == TableError::Ambiguous);
  CHECK(endless.MostBytes < (std::size_t{24} << 20U));
  CHECK(endless.LongestTime < std::chrono::seconds(4));
  CHECK(settings.Memory->bytes(HeldKind::Answer) == 0);
}

} // namespace hemlockglade::test
