#include "Hemlockglade/Protocol/Protocol.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace hemlockglade;

namespace {

/// Generates text that JSON can represent; the texts in a table are UTF-8.
rc::Gen<std::string> anyText() {
  return rc::gen::container<std::string>(rc::gen::inRange<char>(1, 127));
}

TableRow anyRow() {
  return {*anyText(), *rc::gen::arbitrary<std::uint64_t>(), *anyText()};
}

bool isSame(const TableRow &a, const TableRow &b) {
  return a.Key == b.Key && a.Version == b.Version && a.Value == b.Value;
}

} // namespace

TEST_CASE(
    "rows, commits and host lists that are encoded and decoded are unchanged",
    "[platform]") {
  REQUIRE(rc::check([] {
    auto row = anyRow();
    RC_ASSERT(
        isSame(*platform_format::readRow(platform_format::rowBody(row)), row));
    std::vector<TableRow> rows{anyRow(), anyRow()};
    auto decoded = platform_format::readRows(platform_format::rowsBody(rows));
    RC_ASSERT(decoded->size() == 2U);
    RC_ASSERT(isSame(decoded->at(1), rows[1]));
    TableTransaction transaction;
    transaction.AttemptId = *anyText();
    transaction.Writes = {{*anyText(), 3, *anyText()},
                          {*anyText(), 4, std::nullopt}};
    auto commit =
        platform_format::readCommit(platform_format::commitBody(transaction));
    RC_ASSERT(commit->AttemptId == transaction.AttemptId);
    RC_ASSERT(commit->Writes.size() == 2U);
    for (int it = 0; it < 2; ++it) {
      RC_ASSERT(commit->Writes[it].Key == transaction.Writes[it].Key);
      RC_ASSERT(commit->Writes[it].ExpectedVersion ==
                transaction.Writes[it].ExpectedVersion);
      RC_ASSERT(commit->Writes[it].Value == transaction.Writes[it].Value);
    }
    HostEntry host{*anyText(), *anyText(), *rc::gen::arbitrary<bool>()};
    auto hosts = readHostList(hostListBody({host}));
    RC_ASSERT(hosts->at(0).Name == host.Name);
    RC_ASSERT(hosts->at(0).Address == host.Address);
    RC_ASSERT(hosts->at(0).Leaving == host.Leaving);
  }));
}

TEST_CASE("a query value of any bytes that is encoded and decoded is unchanged",
          "[platform]") {
  REQUIRE(rc::check([](const std::string &text, const std::string &other) {
    auto query = "a=" + urlEncode(other) + "&key=" + urlEncode(text) + "&b";
    RC_ASSERT(queryValue(query, "key") == text);
    RC_ASSERT(queryValue(query, "a") == other);
    queryValue(text, "key");
  }));
  REQUIRE(queryValue("k=%1g", "k") == "%1g");
  REQUIRE(queryValue("k=%", "k") == "%");
  REQUIRE(queryValue("k=%-1", "k") == "%-1");
  REQUIRE(queryValue("k=a+b", "k") == "a b");
  REQUIRE(queryValue("k", "k").empty());
  REQUIRE(queryValue("", "k").empty());
}

TEST_CASE("a malformed body is an error, never a crash", "[platform]") {
  auto body = platform_format::rowBody({"k", 1, "v"});
  REQUIRE(rc::check([&] {
    auto changed = body;
    changed[*rc::gen::inRange<std::size_t>(0, body.size())] =
        *rc::gen::arbitrary<char>();
    for (const auto &text : {changed, *rc::gen::arbitrary<std::string>()}) {
      platform_format::readRow(text);
      platform_format::readRows(text);
      platform_format::readCommit(text);
      readHostList(text);
    }
  }));
  for (std::string_view text :
       {"", "{}", "[]", "7", "null", "{\"rows\":7}",
        "{\"writes\":[7],\"attempt\":\"\"}", "{\"hosts\":[{\"name\":7}]}"}) {
    CAPTURE(text);
    CHECK_FALSE(platform_format::readRow(text).has_value());
    CHECK_FALSE(platform_format::readRows(text).has_value());
    CHECK_FALSE(platform_format::readCommit(text).has_value());
    CHECK_FALSE(readHostList(text).has_value());
  }
}

TEST_CASE("text that is not UTF-8 can be encoded", "[platform]") {
  std::string bytes = "a\xff\xfe"
                      "b";
  REQUIRE_NOTHROW(platform_format::commitBody({bytes, {{bytes, 1, bytes}}}));
  REQUIRE_NOTHROW(platform_format::rowBody({bytes, 1, bytes}));
  REQUIRE_NOTHROW(platform_format::rowsBody({{bytes, 1, bytes}}));
  REQUIRE_NOTHROW(hostListBody({{bytes, bytes, false}}));
}
