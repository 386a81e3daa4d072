#include "Hemlockglade/Protocol/Protocol.h"

#include <catch2/catch.hpp>

using namespace hemlockglade;

namespace {

RowSet loadedRows() {
  auto rows = rowsFor(ShowSubject::Loaded);
  auto add = [&](const char *replica, const char *adapter, std::int64_t n) {
    rows.Rows.push_back({"assistant/0", replica, "hall-a", adapter, n});
  };
  add("a-1", "oath-ar@2", 3);
  add("a-1", "oath-fr@7", 0);
  add("a-2", "oath-fr@7", 12);
  return rows;
}

RowSet query(const char *text) {
  auto statement = parseStatement(text);
  REQUIRE(statement);
  return selectRows(loadedRows(), std::get<statement::Show>(*statement));
}

} // namespace

TEST_CASE("where keeps the rows that satisfy all conditions", "[rows]") {
  struct Case {
    const char *Text;
    std::size_t Count;
  };
  auto it = GENERATE(
      values<Case>({{"show loaded", 3},
                    {"show loaded where replica = a-1", 2},
                    {"show loaded where replica != a-1", 1},
                    {"show loaded where running > 2.5", 2},
                    {"show loaded where running >= 12", 1},
                    {"show loaded where running < 3", 1},
                    {"show loaded where running <= 3", 2},
                    {"show loaded where running = \"3\"", 0},
                    {"show loaded where adapter > oath-b", 2},
                    {"show loaded where replica = a-1 and running > 0", 1},
                    {"show loaded where replica = a-3", 0}}));
  INFO(it.Text);
  CHECK(query(it.Text).Rows.size() == it.Count);
}

TEST_CASE("by counts the rows of each value, largest count first", "[rows]") {
  RowSet expected{
      {"adapter", "count"},
      {{"oath-fr@7", std::int64_t{2}}, {"oath-ar@2", std::int64_t{1}}}};
  CHECK(query("show loaded by adapter") == expected);
}

TEST_CASE("a table is printed with aligned columns", "[rows]") {
  CHECK(tableText(query("show loaded by replica")) == "replica  count\n"
                                                      "a-1      2\n"
                                                      "a-2      1\n");
}

TEST_CASE("rows from the catalog have the columns of their subject", "[rows]") {
  Catalog catalog;
  catalog.Number = 4;
  catalog.Adapters["b"] = {"b", "s", 2, {1, 2}};
  catalog.Adapters["a"] = {"a", "s", 1, {1}};
  catalog.Classes["c"] = {"c", 9, std::chrono::seconds(2), 5};
  catalog.Pins["b@2"] = {{"b", 2}, "", 3};
  CHECK(tableText(catalogRows(ShowSubject::Adapters, catalog)) ==
        "adapter  service  current  versions\n"
        "a        s        1        1\n"
        "b        s        2        1,2\n");
  CHECK(tableText(catalogRows(ShowSubject::Classes, catalog)) ==
        "class  priority  deadline_ms  queue_limit\n"
        "c      9         2000         5\n");
  CHECK(tableText(catalogRows(ShowSubject::Pins, catalog)) ==
        "adapter  failure_domain  copies\n"
        "b@2                      3\n");
  auto config = catalogRows(ShowSubject::Config, catalog);
  CHECK(config.Rows.at(0).at(0) == FieldValue(std::int64_t{4}));
  for (auto subject : showSubjects()) {
    auto rows = catalogRows(subject, catalog);
    for (const auto &row : rows.Rows)
      CHECK(row.size() == rows.Columns.size());
  }
}
