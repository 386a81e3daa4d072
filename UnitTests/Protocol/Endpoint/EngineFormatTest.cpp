#include "Hemlockglade/Protocol/Protocol.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace hemlockglade;

namespace {

std::uint32_t current(const std::string &name) {
  return name == "oath-fr" ? 7 : 0;
}

std::string repeat(std::string_view text, std::size_t n) {
  std::string out;
  while (n--)
    out += text;
  return out;
}

} // namespace

TEST_CASE("reports and orders that are encoded and decoded are unchanged",
          "[engine]") {
  REQUIRE(rc::check([](std::uint32_t running, std::uint32_t waiting,
                       std::int64_t age,
                       const std::vector<std::uint32_t> &resident) {
    EngineReport report{"i", running, waiting, {}, age};
    for (auto it : resident)
      report.Resident.emplace_back("a@" + std::to_string(it), it);
    auto decoded = engine_format::readReport(engine_format::reportBody(report));
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(decoded->Running == running);
    RC_ASSERT(decoded->Waiting == waiting);
    RC_ASSERT(decoded->AgeMs == age);
    RC_ASSERT(decoded->Resident == report.Resident);
  }));
  REQUIRE(engine_format::readOrder(engine_format::loadBody("a@1")) == "a@1");
  REQUIRE(engine_format::readOrder(engine_format::unloadBody("a@1")) == "a@1");
}

TEST_CASE("a completion is parsed for its adapter, version and routing data",
          "[engine]") {
  auto read = readCompletion(
      R"({"model":"oath-fr","prompt":"abcdefgh","stream":true,"x":[1.5]})",
      current);
  REQUIRE(read->Adapter == AdapterRef{"oath-fr", 7});
  REQUIRE(read->Stream);
  REQUIRE(read->PromptTokens == 2);
  REQUIRE(read->MaxTokens == 16);
  auto body = nlohmann::json::parse(read->Body);
  REQUIRE(body["model"] == "oath-fr@7");
  REQUIRE(body["x"][0] == 1.5);
  auto chat = [](const std::string &end) {
    return readCompletion(R"({"model":"a@1","messages":[{"content":")" +
                              std::string(2000, 'x') + end + "\"}]}",
                          current)
        ->PrefixHash;
  };
  REQUIRE(chat("one") == chat("two"));
  REQUIRE(chat("one") != 0);
  REQUIRE(readCompletion(R"({"model":"a@1"})", current)->PrefixHash == 0);
}

TEST_CASE("an invalid completion gives an error of the right kind",
          "[engine]") {
  for (std::string_view text :
       {"", "7", "[]", "{}", "{", R"({"model":7})", R"({"model":""})",
        R"({"model":"a@0"})", R"({"model":"a@x"})",
        R"({"model":"a@1","stream":"yes"})",
        R"({"model":"a@1","max_tokens":"many"})", "{\"model\":\"a\xff@1\"}"}) {
    CAPTURE(text);
    auto read = readCompletion(text, current);
    REQUIRE_FALSE(read.has_value());
    REQUIRE(read.error().Kind == ProtocolErrorKind::Malformed);
    REQUIRE_FALSE(engine_format::readReport(text).has_value());
    REQUIRE_FALSE(engine_format::readOrder(text).has_value());
  }
  auto unknown = readCompletion(R"({"model":"none"})", current);
  REQUIRE(unknown.error().Kind == ProtocolErrorKind::Unknown);
  REQUIRE_NOTHROW(errorBody("type", "not UTF-8 \xff"));
}

TEST_CASE("a body with a changed byte gives a value or an error, never a crash",
          "[engine]") {
  std::string body =
      R"({"model":"a@1","prompt":["x",{"y":null}],"max_tokens":9})";
  auto report = engine_format::reportBody({"i", 1, 2, {{"a@1", 3}}, 4});
  REQUIRE(rc::check([&](const std::string &text) {
    for (auto changed : {body, report}) {
      changed[*rc::gen::inRange<std::size_t>(0, changed.size())] =
          *rc::gen::arbitrary<char>();
      readCompletion(changed, current);
      engine_format::readReport(changed);
      engine_format::readOrder(changed);
    }
    readCompletion(text, current);
  }));
}

TEST_CASE("deeply nested JSON is rejected and does not crash the process",
          "[engine]") {
  constexpr std::size_t Depth = 1000000;
  for (const auto &deep :
       {repeat("[", Depth) + repeat("]", Depth),
        repeat("{\"a\":", Depth) + "1" + repeat("}", Depth)}) {
    for (std::string field : {"prompt", "messages", "other"}) {
      std::string body = R"({"model":"a@1",")";
      body.append(field).append("\":").append(deep).append("}");
      auto read = readCompletion(body, current);
      REQUIRE_FALSE(read.has_value());
    }
    REQUIRE_FALSE(engine_format::readReport(deep).has_value());
    REQUIRE_FALSE(platform_format::readRows(deep).has_value());
  }
  auto usual =
      R"({"model":"a@1","messages":)" + repeat("[", 30) + repeat("]", 30) + "}";
  REQUIRE(readCompletion(usual, current).has_value());
}
