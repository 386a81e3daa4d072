#include "Hemlockglade/Protocol/Protocol.h"

#include <catch2/catch.hpp>

using namespace hemlockglade;

TEST_CASE("operators' messages that are encoded and decoded are unchanged",
          "[admin]") {
  StatementRequest request{"show loaded where cell = \"\\\"\"", "c-1", "amel"};
  CHECK(*admin_format::readStatementRequest(
            admin_format::statementBody(request)) == request);
  RowSet rows{{"a", "b", "c", "d"},
              {{"x\"y", std::int64_t{-3}, 0.5, true}, {"", 1L, 2.0, false}}};
  CHECK(*admin_format::readRows(admin_format::rowsBody(rows)) == rows);
  ChangeAnswer change{7, {"+ adapter oath-fr"}};
  CHECK(*admin_format::readChange(admin_format::changeBody(change)) == change);
}

TEST_CASE("an error body is read as the error by every reader of answers",
          "[admin]") {
  auto statement = parseStatement("show loaded where node = 1");
  REQUIRE_FALSE(statement);
  auto body = admin_format::errorBody(statement.error());
  auto error = admin_format::readRows(body).error();
  CHECK(error.Column == 19);
  CHECK_THAT(error.Message, Catch::StartsWith("expected a field: cell"));
  CHECK(admin_format::readChange(body).error() == error);
}

TEST_CASE("a body that is not a valid message is rejected", "[admin]") {
  auto body =
      GENERATE("", "x", "[]", "{}", "{\"rows\":1,\"columns\":[1]}",
               "{\"revision\":-1,\"changes\":[]}", "{\"error\":1}",
               "{\"statement\":1,\"id\":\"x\"}", "{\"statement\":\"x\"}");
  INFO(body);
  CHECK_FALSE(admin_format::readRows(body));
  CHECK_FALSE(admin_format::readChange(body));
  CHECK_FALSE(admin_format::readStatementRequest(body));
  CHECK_THAT(admin_format::readError(body).Message,
             Catch::Contains("not understood"));
}

TEST_CASE("a revision is in force once every live node has it", "[admin]") {
  auto nodes = rowsFor(ShowSubject::Nodes);
  CHECK_FALSE(nodesBehind(nodes, 1));
  auto add = [&](const char *name, const char *state, std::int64_t revision) {
    nodes.Rows.push_back({name, "127.0.0.1:1", "hall-a", state, revision});
  };
  add("entry-1", "leaving", 3);
  CHECK_FALSE(nodesBehind(nodes, 1));
  add("entry-2", "live", 5);
  add("entry-3", "live", 4);
  CHECK(nodesBehind(nodes, 4)->empty());
  CHECK(*nodesBehind(nodes, 5) == std::vector<std::string>{"entry-3"});
  nodes.Rows.push_back({"entry-4", "", "", "live", std::string()});
  CHECK(nodesBehind(nodes, 5)->size() == 2);
  CHECK_FALSE(nodesBehind(rowsFor(ShowSubject::Cells), 1));
}

TEST_CASE("a message that is nested too deeply is rejected", "[admin]") {
  constexpr std::size_t Levels = 200000;
  std::string deep(Levels, '[');
  deep += "1" + std::string(Levels, ']');
  CHECK_FALSE(admin_format::readStatementRequest(deep));
  CHECK_FALSE(admin_format::readRows(R"({"columns":["a"],"rows":[{"a":)" +
                                     deep + "}]}"));
}
