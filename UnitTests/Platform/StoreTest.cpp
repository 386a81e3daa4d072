#include "platform/Store.h"

#include "Hemlockglade/Protocol/JsonText.h"
#include "Hemlockglade/Protocol/QueryText.h"
#include "Hemlockglade/Transport/Http1/CallerServer.h"
#include "UnitTests/Transport/Loopback.h"
#include "platform/Base64.h"

namespace hemlockglade::test {

namespace {

/// A store, or an engine, that answers as the test says.
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
      if (Silent) {
        Held.push_back(std::move(reply));
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
    // Only a call that nobody answers is to reach its time-out.
    settings.CallTimeout = std::chrono::seconds(20);
    settings.EngineTimeout = std::chrono::seconds(20);
    Store = std::make_unique<PlatformStore>(Context, settings, Log);
    settings.CallTimeout = std::chrono::milliseconds(50);
    settings.EngineTimeout = std::chrono::milliseconds(50);
    Hasty = std::make_unique<PlatformStore>(Context, settings, Log);
  }

  template <typename T> T wait(std::optional<T> &result) {
    REQUIRE(until([&] { return result.has_value(); }));
    return std::move(*result);
  }

  /// The client to use: the hasty one where nobody answers.
  PlatformStore &client() { return Silent ? *Hasty : *Store; }

  tl::expected<std::uint64_t, TableError> commit(std::uint64_t expected = 4) {
    std::optional<tl::expected<std::uint64_t, TableError>> result;
    client().table().Commit({"a", {{"k", expected, "v"}}},
                            [&](auto it) { result = it; });
    return wait(result);
  }

  /// The version of a row that the store has at its version 5.
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
  std::vector<CallerRequest> Calls;
  std::pair<std::uint16_t, std::string> Answer{200, "{}"};
  std::vector<std::pair<std::uint16_t, std::string>> Answers;
  std::vector<std::shared_ptr<CallerReply>> Held;
  bool Silent = false;
  std::string Era;
  std::unique_ptr<CallerServer> Server;
  std::unique_ptr<PlatformStore> Store;
  std::unique_ptr<PlatformStore> Hasty;
};

std::string row(const std::string &key, const std::string &value) {
  return R"({"table":"t","part":"","key":")" + key + R"(","ver":5,"value":")" +
         toBase64(value) + R"("})";
}

} // namespace

TEST_CASE("a commit is one conditional change", "[store]") {
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

TEST_CASE("what is known of a commit follows from its answer", "[store]") {
  StoreFixture it;
  SECTION("a conflict changed nothing") {
    it.Answer = {412, "{}"};
    CHECK(it.commit().error() == TableError::Conflict);
  }
  SECTION("neither did a call that was turned away") {
    it.Answer = {503, ""};
    CHECK(it.commit().error() == TableError::NotSent);
    it.Answer = {429, ""};
    CHECK(it.commit().error() == TableError::NotSent);
  }
  SECTION("any other answer leaves it open") {
    it.Answer = {500, ""};
    CHECK(it.commit().error() == TableError::Ambiguous);
  }
  SECTION("so does none") {
    it.Silent = true;
    CHECK(it.commit().error() == TableError::Ambiguous);
  }
  SECTION("an answer that does not tell the version makes it 0") {
    it.Answer = {200, "what"};
    CHECK(it.commit() == 0);
  }
}

TEST_CASE("a table of several pages is read whole", "[store]") {
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

TEST_CASE("operators' rows become a plan and versions", "[store]") {
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
  // What could not be read is told, and the rest is not lost.
  CHECK(it.Lines.size() == 1);
}

TEST_CASE("the feed tells what came and what went", "[store]") {
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

TEST_CASE("a feed whose history is gone says so", "[store]") {
  StoreFixture it;
  it.Answer = {410, ""};
  std::optional<tl::expected<ReplicaChanges, RegistryError>> result;
  it.Store->registry().WatchReplicas(5, [&](auto got) { result = got; });
  CHECK(it.wait(result).error() == RegistryError::HistoryLost);
}

TEST_CASE("versions rise though the store gives its own out again", "[store]") {
  StoreFixture it;
  auto before = it.versionIn("3");
  REQUIRE(before);
  it.Answer = {200, R"({"ver":6})"};
  auto after = it.commit(*before);
  REQUIRE(after);
  CHECK(*after == *before + 1);
  CHECK(parseJson(it.Calls.back().Body)["if_revision"][0]["ver"] == 5);
  auto again = it.versionIn("4");
  REQUIRE(again);
  CHECK(*again > *after);
}

TEST_CASE("a version of an earlier era is no condition for a change",
          "[store]") {
  StoreFixture it;
  auto before = it.versionIn("3");
  SECTION("the new era is known: nothing is sent") {
    REQUIRE(it.versionIn("4"));
    auto calls = it.Calls.size();
    CHECK(it.commit(*before).error() == TableError::Conflict);
    CHECK(it.Calls.size() == calls);
  }
  SECTION("the answer tells it: the change may have met another row") {
    it.Era = "4";
    it.Answer = {200, R"({"ver":6})"};
    CHECK(it.commit(*before).error() == TableError::Ambiguous);
  }
}

TEST_CASE("an answer of an earlier era counts for nothing", "[store]") {
  StoreFixture it;
  REQUIRE(it.versionIn("4"));
  CHECK_FALSE(it.versionIn("3"));
  CHECK(it.Store->era() == 4);
}

TEST_CASE("everything is read anew when the store has stepped back",
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

TEST_CASE("an engine's answer to an order is told apart", "[store]") {
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

TEST_CASE("an order without an answer is open", "[store]") {
  StoreFixture it;
  it.Silent = true;
  CHECK(it.order() == OrderAnswer::Unknown);
}

TEST_CASE("entries that something else wrote harm no others and are told once",
          "[store][foreign]") {
  StoreFixture it;
  const std::string good =
      R"({"service":"s","address":"1.2.3.4:5","zone":"z","slots":4,)"
      R"("state":"ready"})";
  it.Answer = {200, R"({"rows":[)" + row("i-0", "not JSON") + "," +
                        row("i-1", good) + "," + row("i-2", "{}") +
                        R"(,{"key":"i-3","ver":6,"value":"***"},)" +
                        R"({"key":"i-4","ver":6,"value":7},)" +
                        row("i-5", good) + R"(],"ver":6,"has_more":false})"};
  for (int look = 0; look < 3; ++look) {
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

TEST_CASE("of several changes of an entry the last one holds", "[store]") {
  StoreFixture it;
  const std::string good =
      R"({"service":"s","address":"1.2.3.4:5","zone":"z","slots":4,)"
      R"("state":"ready"})";
  it.Answer = {200, R"({"rows":[{"key":"i-1","ver":5,"deleted":true},)" +
                        row("i-1", good) + "," + row("i-2", good) +
                        R"(,{"key":"i-2","ver":7,"deleted":true}],"ver":7})"};
  std::optional<tl::expected<ReplicaChanges, RegistryError>> result;
  it.Store->registry().WatchReplicas(4, [&](auto got) { result = got; });
  auto changes = it.wait(result);
  REQUIRE(changes);
  REQUIRE(changes->Present.size() == 1);
  CHECK(changes->Present[0].Incarnation.id() == "i-1");
  CHECK(changes->Removed == std::vector<std::string>{"i-2"});
}

} // namespace hemlockglade::test
