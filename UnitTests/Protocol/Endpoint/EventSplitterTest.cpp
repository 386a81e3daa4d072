#include "Hemlockglade/Protocol/Protocol.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace hemlockglade;

TEST_CASE("only complete events are returned, wherever the stream is split",
          "[events]") {
  const std::string stream = "id: 1\ndata: {\"a\":1}\n\n: note\n\n"
                             "id: 2\r\ndata: x\r\n\r\ndata: [DONE]\n\n";
  REQUIRE(rc::check("any split", [&stream] {
    EventSplitter splitter;
    std::string passed;
    std::string_view rest = stream;
    while (!rest.empty()) {
      auto n = *rc::gen::inRange<std::size_t>(1, rest.size() + 1);
      auto events = splitter.take(rest.substr(0, n));
      passed += events;
      RC_ASSERT(events.empty() || events.ends_with("\n\n") ||
                events.ends_with("\r\n\r\n"));
      rest.remove_prefix(n);
      RC_ASSERT(splitter.finished() == rest.empty());
    }
    RC_ASSERT(passed == stream);
  }));
}

TEST_CASE("an answer is complete if all its choices are finished", "[events]") {
  CHECK(isWholeCompletion(R"({"choices":[{"finish_reason":"stop"}]})"));
  for (std::string_view body :
       {"", "{", "{}", "[]", R"({"choices":[]})", R"({"choices":[{}]})",
        R"({"choices":[{"finish_reason":null}]})", R"({"choices":7})",
        R"({"choices":[{"finish_reason":"stop"},{"finish_reason":null}]})"}) {
    CAPTURE(body);
    CHECK_FALSE(isWholeCompletion(body));
  }
}

TEST_CASE("a stream that ends early or continues after its end is not finished",
          "[events]") {
  for (std::string_view stream :
       {"", "data: x\n\n", "data: x\n\ndata: [DONE]", "data: [DONE]\n\ndata: y",
        "data: [DONE]\n\ndata: y\n\n", "data: not data: [DONE]\n\n",
        "data: [DONE] x\n\n"}) {
    EventSplitter splitter;
    splitter.take(stream);
    CAPTURE(stream);
    CHECK_FALSE(splitter.finished());
  }
  EventSplitter splitter;
  splitter.take(std::string(EventSplitter::MaxEventBytes + 1, 'x'));
  CHECK(splitter.overflowed());
}
