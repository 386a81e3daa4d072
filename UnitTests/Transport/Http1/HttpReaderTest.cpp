#include "Hemlockglade/Transport/Http1/HttpReader.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace hemlockglade::test {

namespace {

using State = HttpReader::State;

struct ParsedMessage {
  explicit ParsedMessage(HttpReader::Side side) : Reader(side) {
    Reader.OnBody = [this](std::string_view part) { Body.append(part); };
  }

  HttpReader Reader;
  std::string Body;
};

const std::string Answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";

} // namespace

TEST_CASE("parsing stops at the end of a message", "[reader]") {
  ParsedMessage it(HttpReader::Side::Answers);
  auto text = Answer + "HTTP/1.1 500 X\r\n";
  CHECK(it.Reader.feed(text) == Answer.size());
  CHECK(it.Reader.state() == State::Complete);
  CHECK(it.Body == "hello");
  CHECK(it.Reader.feed("more") == 0);
  CHECK(it.Reader.keepsAlive());
}

TEST_CASE("messages are parsed the same however they are split", "[reader]") {
  REQUIRE(rc::check([] {
    std::string text = "POST /a/b?c=d HTTP/1.1\r\nHost: x\r\nX-Name: some "
                       "value\r\nTransfer-Encoding: chunked\r\n\r\n"
                       "3\r\nabc\r\n10\r\n0123456789abcdef\r\n0\r\n\r\n";
    ParsedMessage it(HttpReader::Side::Requests);
    std::size_t at = 0;
    while (at < text.size()) {
      auto n = *rc::gen::inRange<std::size_t>(1, text.size() - at + 1);
      RC_ASSERT(it.Reader.feed(std::string_view(text).substr(at, n)) == n);
      at += n;
    }
    RC_ASSERT(it.Reader.state() == State::Complete);
    RC_ASSERT(it.Body == "abc0123456789abcdef");
    RC_ASSERT(it.Reader.request().Target == "/a/b?c=d");
    RC_ASSERT(it.Reader.request().Fields.size() == 3U);
    RC_ASSERT(it.Reader.request().Fields[1].Value == "some value");
  }));
}

TEST_CASE("arbitrary bytes are parsed or refused", "[reader]") {
  REQUIRE(rc::check([] {
    auto bytes = *rc::gen::arbitrary<std::string>();
    auto side = *rc::gen::element(HttpReader::Side::Requests,
                                  HttpReader::Side::Answers);
    ParsedMessage it(side);
    std::string_view rest = bytes;
    while (!rest.empty() && it.Reader.state() != State::Broken) {
      auto n = it.Reader.feed(rest);
      RC_ASSERT(n <= rest.size());
      rest.remove_prefix(n);
      if (it.Reader.state() == State::Complete)
        it.Reader.next();
      else if (n == 0)
        break;
    }
    it.Reader.finish();
  }));
}

TEST_CASE("an answer without a length ends with its connection", "[reader]") {
  ParsedMessage it(HttpReader::Side::Answers);
  it.Reader.feed("HTTP/1.1 200 OK\r\n\r\npart");
  CHECK(it.Reader.state() == State::InBody);
  it.Reader.finish();
  CHECK(it.Reader.state() == State::Complete);
  CHECK(it.Body == "part");
  CHECK_FALSE(it.Reader.keepsAlive());
}

TEST_CASE("an answer that is cut off is not complete", "[reader]") {
  ParsedMessage it(HttpReader::Side::Answers);
  SECTION("in its body") {
    it.Reader.feed(Answer.substr(0, Answer.size() - 1));
  }
  SECTION("in its head") { it.Reader.feed("HTTP/1.1 200 OK\r\nConte"); }
  SECTION("in its chunks") {
    it.Reader.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "5\r\nhello\r\n");
  }
  it.Reader.finish();
  CHECK(it.Reader.state() == State::Broken);
}

TEST_CASE("framing that could hide a second request is refused", "[reader]") {
  auto extra = GENERATE(as<std::string>{},
                        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
                        "Content-Length: 3\r\nContent-Length: 4\r\n",
                        "Transfer-Encoding: chunked, identity\r\n",
                        "Content-Length: 3x\r\n", "Content-Length : 3\r\n");
  ParsedMessage it(HttpReader::Side::Requests);
  it.Reader.feed("POST / HTTP/1.1\r\nHost: x\r\n" + extra + "\r\nabc");
  CHECK(it.Reader.state() == State::Broken);
}

namespace {

/// Feeds an answer's head and a body, split into pieces of this size.
HttpReader::State stateAfter(const std::string &text, std::size_t step,
                             HttpReader::Side side) {
  ParsedMessage it(side);
  for (std::string_view rest = text; !rest.empty();) {
    auto n = it.Reader.feed(rest.substr(0, step));
    if (n == 0 || it.Reader.state() == State::Broken)
      break;
    rest.remove_prefix(n);
  }
  return it.Reader.state();
}

} // namespace

// Answers with such heads were passed on to callers.
TEST_CASE("an answer whose status line is not one of HTTP/1 is refused",
          "[reader][odd-head]") {
  auto line = GENERATE(as<std::string>{}, "HTTP/1.1 000 OK", "HTTP/1.1 099 OK",
                       "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1 20 OK",
                       "HTTP/1.1 2000 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 20x OK",
                       "HTTP/2.0 200 OK", "HTTP/0.9 200 OK",
                       "HTTP/1.1 101 Switching", "200 OK", "ICY 200 OK");
  auto step = GENERATE(std::size_t{1}, std::size_t{7}, std::size_t{1000});
  CAPTURE(line);
  CHECK(stateAfter(line + "\r\nContent-Length: 5\r\n\r\nhello", step,
                   HttpReader::Side::Answers) == State::Broken);
}

TEST_CASE("a field whose name is no token, or whose value holds a control "
          "character, is refused",
          "[reader][odd-head]") {
  using namespace std::string_literals;
  auto field = GENERATE(as<std::string>{}, "A B: c"s, "A\tB: c"s, "A : c"s,
                        ": c"s, "A\0B: c"s, "A\x01Q: c"s, "A\x7FQ: c"s,
                        "A\xE9: c"s, "(A): c"s, "A;B: c"s, "A"s, "A: b\0c"s,
                        "A: b\x01"s, "A: b\x7F"s, "A: b\rc"s);
  auto step = GENERATE(std::size_t{1}, std::size_t{7}, std::size_t{1000});
  CAPTURE(field);
  auto rest = field + "\r\nContent-Length: 5\r\n\r\nhello";
  CHECK(stateAfter("HTTP/1.1 200 OK\r\n" + rest, step,
                   HttpReader::Side::Answers) == State::Broken);
  CHECK(stateAfter("POST / HTTP/1.1\r\nHost: x\r\n" + rest, step,
                   HttpReader::Side::Requests) == State::Broken);
}

TEST_CASE("a folded value is joined by its blanks wherever it is split",
          "[reader][odd-head]") {
  const std::string text = "HTTP/1.1 200 OK\r\nX-A: one\r\n two\r\n"
                           "\tthree\r\nContent-Length: 0\r\n\r\n";
  for (std::size_t at = 1; at < text.size(); ++at) {
    CAPTURE(at);
    HttpReader reader(HttpReader::Side::Answers);
    reader.feed(text.substr(0, at));
    reader.feed(text.substr(at));
    CHECK(reader.state() == State::Complete);
    const auto *value = findField(reader.answer().Fields, "X-A");
    REQUIRE(value);
    CHECK(*value == "one two\tthree");
  }
}

// Whatever is read as a head can be written as one without changing its
// meaning.
TEST_CASE("the fields of any head that is read are valid",
          "[reader][odd-head]") {
  REQUIRE(rc::check([] {
    auto byte = rc::gen::oneOf(
        rc::gen::element(' ', ':', '\t', '\r', '\n', '\0', ',', 'a', '1'),
        rc::gen::arbitrary<char>());
    auto odd = *rc::gen::container<std::string>(byte);
    ParsedMessage it(HttpReader::Side::Answers);
    it.Reader.feed("HTTP/1.1 200 OK\r\nX-A: b\r\n" + odd +
                   "\r\nContent-Length: 0\r\n\r\n");
    if (!it.Reader.headComplete())
      return;
    for (const auto &field : it.Reader.answer().Fields) {
      RC_ASSERT(!field.Name.empty());
      RC_ASSERT(field.Name.find_first_of(" :\t\r\n") == std::string::npos);
      RC_ASSERT(field.Value.find_first_of("\r\n") == std::string::npos);
      RC_ASSERT(field.Value.find('\0') == std::string::npos);
    }
  }));
}

// Fields that frame, route or authenticate a message must not come behind it,
// where nobody bounds what they hold either.
TEST_CASE("trailers of a request are dropped", "[reader][held]") {
  HttpReader reader(HttpReader::Side::Requests);
  std::string text = "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: "
                     "chunked\r\n\r\n2\r\nhi\r\n0\r\nHost: y\r\n";
  for (int it = 0; it < 1000; ++it)
    text += "a:\r\n";
  text += "\r\n";
  auto step = GENERATE(std::size_t{1}, std::size_t{1000}, std::size_t{100'000});
  for (std::string_view rest = text; !rest.empty();)
    rest.remove_prefix(reader.feed(rest.substr(0, step)));
  CHECK(reader.state() == HttpReader::State::Complete);
  CHECK(reader.request().Fields.size() == 2);
  CHECK(reader.heldBytes() < 1000);
}

TEST_CASE("a head over the limit is refused", "[reader]") {
  ParsedMessage it(HttpReader::Side::Requests);
  it.Reader.setMaxHeadBytes(100);
  it.Reader.feed("GET / HTTP/1.1\r\nHost: x\r\n");
  CHECK(it.Reader.state() == State::InHead);
  it.Reader.feed("X-Long: " + std::string(200, 'a'));
  CHECK(it.Reader.state() == State::Broken);
  CHECK(it.Reader.headTooLarge());
}

TEST_CASE("fields of a connection and words of a value are recognized",
          "[reader]") {
  CHECK(isConnectionField("connection"));
  CHECK(isConnectionField("Transfer-Encoding"));
  CHECK_FALSE(isConnectionField("X-Other"));
  CHECK(hasToken("keep-alive, Close", "close"));
  CHECK_FALSE(hasToken("closed", "close"));
}

} // namespace hemlockglade::test
