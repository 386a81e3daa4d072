#include "Hemlockglade/State/Log/EventLog.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <vector>

namespace hemlockglade::test {

namespace {

struct LogFixture {
  LogFixture()
      : Log(
            {"node-1", 3, 2},
            [this](std::string_view line) { Lines.emplace_back(line); },
            [this] { return Now; }) {}

  std::chrono::microseconds Now = std::chrono::seconds(10);
  std::vector<std::string> Lines;
  EventLog Log;
};

} // namespace

TEST_CASE("each line is one JSON object", "[log]") {
  LogFixture it;
  it.Log.write(LogClass::Request, "send",
               {{"request", "a \"quoted\"\nid\xff"},
                {"kept", true},
                {"n", std::uint64_t{7}},
                {"waited_ms", std::chrono::microseconds(1500)}});
  REQUIRE(it.Lines.size() == 1);
  CHECK(it.Lines[0].back() == '\n');
  auto node = nlohmann::json::parse(it.Lines[0]);
  CHECK(node["event"] == "send");
  CHECK(node["node"] == "node-1");
  CHECK(node["at_ms"] == 10000);
  CHECK(node["kept"] == true);
  CHECK(node["n"] == 7);
  CHECK(node["waited_ms"] == 1.5);
}

TEST_CASE("lines over the limit are dropped and counted", "[log]") {
  LogFixture it;
  for (int n = 0; n < 10; ++n)
    it.Log.write(LogClass::Request, "send", {});
  it.Log.write(LogClass::State, "plan", {});
  CHECK(it.Lines.size() == 4);
  it.Now += std::chrono::seconds(1);
  it.Log.write(LogClass::Request, "send", {});
  REQUIRE(it.Lines.size() == 6);
  auto node = nlohmann::json::parse(it.Lines[4]);
  CHECK(node["event"] == "log-left-out");
  CHECK(node["lines"] == 7);
  CHECK(it.Log.dropped() == 7);
}

} // namespace hemlockglade::test
