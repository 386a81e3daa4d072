#include "Hemlockglade/Transport/Http1/HttpCaller.h"
#include "UnitTests/Transport/Http1/RawPeer.h"
#include "UnitTests/Transport/SilentServer.h"

namespace hemlockglade::test {

namespace {

const std::string Request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

std::string answer(const std::string &body, const std::string &extra = "") {
  return "HTTP/1.1 200 OK\r\n" + extra +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct CallFixture : Loopback {
  CallFixture()
      : Acceptor(Context, localhost(0)), Peer(Context),
        Pool(Context, HttpPool::Settings{}) {
    Peer.accept(Acceptor);
  }

  void start(const std::function<bool(const HttpAnswerHead &)> &onHead = {}) {
    Done = false;
    Failure.reset();
    Body.clear();
    HttpCallHooks hooks;
    hooks.OnHead = onHead;
    hooks.OnBody = [this](std::string_view part) { Body.append(part); };
    hooks.OnDone = [this] { Done = true; };
    hooks.OnFailed = [this](HttpFailure how) { Failure = how; };
    Connection->call(Request, "", false, std::move(hooks));
  }

  void take() { Connection = Pool.take(Acceptor.local_endpoint()); }
  bool untilRequest() {
    return until(
        [this] { return Peer.Got.find("\r\n\r\n") != std::string::npos; });
  }
  bool untilEnd() {
    return until([this] { return Done || Failure.has_value(); });
  }

  asio::ip::tcp::acceptor Acceptor;
  RawPeer Peer;
  HttpPool Pool;
  std::shared_ptr<HttpConnection> Connection;
  bool Done = false;
  std::optional<HttpFailure> Failure;
  std::string Body;
};

} // namespace

TEST_CASE("a connection is reused after a complete answer", "[connection]") {
  CallFixture it;
  it.take();
  it.start();
  REQUIRE(it.untilRequest());
  it.Peer.send(answer("one"));
  REQUIRE(it.untilEnd());
  CHECK(it.Done);
  CHECK(it.Body == "one");
  auto first = it.Connection;
  it.Pool.give(first);
  it.take();
  CHECK(it.Connection == first);
}

TEST_CASE("an answer that OnHead rejects is discarded", "[connection]") {
  CallFixture it;
  it.take();
  int heads = 0;
  it.start([&heads](const HttpAnswerHead &head) {
    ++heads;
    return findField(head.Fields, "X-Mine") != nullptr;
  });
  REQUIRE(it.untilRequest());
  it.Peer.send(answer("stray") + answer("mine", "X-Mine: 1\r\n"));
  REQUIRE(it.untilEnd());
  CHECK(heads == 2);
  CHECK(it.Body == "mine");
}

// A discarded answer may itself end with its connection.
TEST_CASE("a call fails if a stray answer without a length ends its connection",
          "[connection][late-answer]") {
  CallFixture it;
  it.take();
  it.start([](const HttpAnswerHead &) { return false; });
  REQUIRE(it.untilRequest());
  it.Peer.send("HTTP/1.1 200 OK\r\n\r\nstray");
  it.Peer.close();
  REQUIRE(it.untilEnd());
  CHECK_FALSE(it.Done);
  CHECK(it.Failure == HttpFailure::Ended);
}

TEST_CASE("an answer whose head is cut off is never complete", "[connection]") {
  const std::string whole = "HTTP/1.1 100 Continue\r\n\r\n"
                            "HTTP/1.1 200 OK\r\nX-A: b\r\n folded\r\n"
                            "HTTP/1.1: odd\r\nX-B: c\r\n\r\n";
  for (std::size_t cut = 0; cut < whole.size(); ++cut) {
    CAPTURE(cut);
    CallFixture it;
    it.take();
    it.start();
    REQUIRE(it.untilRequest());
    it.Peer.send(whole.substr(0, cut));
    it.Peer.close();
    REQUIRE(it.untilEnd());
    CHECK_FALSE(it.Done);
  }
}

namespace {

/// A long upload.
struct UploadFixture : SilentServer {
  UploadFixture()
      : Connection(std::make_shared<HttpConnection>(
            Context, Acceptor.local_endpoint(), HttpConnection::Settings{})) {
    HttpCallHooks hooks;
    hooks.OnBody = [this](std::string_view part) { Body.append(part); };
    hooks.OnDone = [this] { Done = true; };
    hooks.OnFailed = [this](HttpFailure how) { Failure = how; };
    Connection->call("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                         std::to_string(UploadBytes) + "\r\n\r\n",
                     std::string(UploadBytes, 'u'), false, std::move(hooks));
    awaitRequest();
  }

  bool untilEnd() {
    return until([this] { return Done || Failure.has_value(); });
  }

  std::shared_ptr<HttpConnection> Connection;
  bool Done = false;
  std::optional<HttpFailure> Failure;
  std::string Body;
};

} // namespace

// The kernel reports a reset once, to whichever call comes first. When writing
// the request got it, reading found a regular end, and clients got the part of
// the answer that had arrived as a whole one.
TEST_CASE("an early answer without a length is broken by a reset that writing "
          "the request meets first",
          "[connection][early-answer]") {
  UploadFixture it;
  it.answer(EarlyPart);
  it.reset();
  REQUIRE(it.untilEnd());
  CHECK_FALSE(it.Done);
  CHECK(it.Failure == HttpFailure::Broken);
}

TEST_CASE("an early answer without a length is not whole if its connection "
          "ends before the request was sent",
          "[connection][early-answer]") {
  UploadFixture it;
  it.answer(EarlyPart);
  it.Server.shutdown(asio::ip::tcp::socket::shutdown_send);
  REQUIRE(it.untilEnd());
  CHECK_FALSE(it.Done);
  CHECK(it.Failure == HttpFailure::Ended);
}

TEST_CASE("an early answer that states its length is whole, however its "
          "connection ends",
          "[connection][early-answer]") {
  UploadFixture it;
  auto framing = GENERATE(as<std::string>{}, "Content-Length: 5\r\n\r\nlarge",
                          "Transfer-Encoding: chunked\r\n\r\n"
                          "5\r\nlarge\r\n0\r\n\r\n");
  it.answer("HTTP/1.1 413 X\r\n" + framing);
  if (GENERATE(false, true))
    it.reset();
  REQUIRE(it.untilEnd());
  CHECK(it.Done);
  CHECK(it.Body == "large");
  CHECK_FALSE(it.Connection->reusable());
}

TEST_CASE("unexpected bytes close an idle connection", "[connection]") {
  CallFixture it;
  it.take();
  it.start();
  REQUIRE(it.untilRequest());
  it.Peer.send(answer("one"));
  REQUIRE(it.untilEnd());
  auto first = it.Connection;
  it.Pool.give(first);
  it.Peer.send(answer("extra"));
  REQUIRE(it.until([&] { return !first->open(); }));
  it.take();
  CHECK(it.Connection != first);
}

TEST_CASE("a connection carries no call whose key is excluded",
          "[connection][late-answer]") {
  constexpr std::uint64_t Key = 7;
  CallFixture it;
  it.take();
  it.start();
  REQUIRE(it.untilRequest());
  it.Peer.send(answer("one"));
  REQUIRE(it.untilEnd());
  auto first = it.Connection;
  first->excludeKey(Key);
  it.Pool.give(first);
  auto take = [&it](std::uint64_t key) {
    return it.Pool.take(it.Acceptor.local_endpoint(), Span::max(), key);
  };
  CHECK(take(Key) != first);
  CHECK(take(Key + 1) == first);
}

TEST_CASE("a connection is not taken while bytes wait to be read on it",
          "[connection][late-answer]") {
  CallFixture it;
  it.take();
  it.start();
  REQUIRE(it.untilRequest());
  it.Peer.send(answer("one"));
  REQUIRE(it.untilEnd());
  auto first = it.Connection;
  it.Pool.give(first);
  SECTION("an answer that nobody asked for") { it.Peer.send(answer("extra")); }
  SECTION("the connection's end") { it.Peer.close(); }
  it.take();
  CHECK(it.Connection != first);
}

TEST_CASE("a connection that brought a stray answer carries no further call",
          "[connection][late-answer]") {
  CallFixture it;
  it.take();
  it.start([](const HttpAnswerHead &head) {
    return findField(head.Fields, "X-Mine") != nullptr;
  });
  REQUIRE(it.untilRequest());
  it.Peer.send(answer("stray") + answer("mine", "X-Mine: 1\r\n"));
  REQUIRE(it.untilEnd());
  CHECK_FALSE(it.Connection->reusable());
}

TEST_CASE("a connection with bytes after its answer is not reusable",
          "[connection]") {
  CallFixture it;
  it.take();
  it.start();
  REQUIRE(it.untilRequest());
  it.Peer.send(answer("one") + "extra");
  REQUIRE(it.untilEnd());
  it.settle();
  CHECK_FALSE(it.Connection->reusable());
}

TEST_CASE("the reason for a failed call is reported", "[connection]") {
  CallFixture it;
  it.take();
  it.start();
  REQUIRE(it.untilRequest());
  SECTION("the other side closes the connection") {
    it.Peer.close();
    REQUIRE(it.untilEnd());
    CHECK(it.Failure == HttpFailure::Ended);
  }
  SECTION("the other side resets the connection") {
    it.Peer.reset();
    REQUIRE(it.untilEnd());
    CHECK(it.Failure == HttpFailure::Broken);
  }
  SECTION("a body without a length that is reset is not complete") {
    it.Peer.send("HTTP/1.1 200 OK\r\n\r\npart");
    REQUIRE(it.until([&] { return it.Body == "part"; }));
    it.Peer.reset();
    REQUIRE(it.untilEnd());
    CHECK_FALSE(it.Done);
  }
  SECTION("a body without a length that ends is complete") {
    it.Peer.send("HTTP/1.1 200 OK\r\n\r\npart");
    it.Peer.close();
    REQUIRE(it.untilEnd());
    CHECK(it.Done);
    CHECK_FALSE(it.Connection->reusable());
  }
  SECTION("the answer is not HTTP") {
    it.Peer.send("what is this\r\n\r\n");
    REQUIRE(it.untilEnd());
    CHECK(it.Failure == HttpFailure::Broken);
  }
}

TEST_CASE("a call that can't connect fails with NotConnected", "[connection]") {
  CallFixture it;
  it.Connection = std::make_shared<HttpConnection>(
      it.Context, Loopback::localhost(it.deadPort()),
      HttpConnection::Settings{});
  it.start();
  REQUIRE(it.untilEnd());
  CHECK(it.Failure == HttpFailure::NotConnected);
}

TEST_CASE("an idle connection is not reused after its announced timeout",
          "[connection]") {
  CallFixture it;
  it.take();
  it.start();
  REQUIRE(it.untilRequest());
  it.Peer.send(answer("one", "Keep-Alive: timeout=0\r\n"));
  REQUIRE(it.untilEnd());
  auto first = it.Connection;
  it.Pool.give(first);
  it.take();
  CHECK(it.Connection != first);
}

TEST_CASE("a short call ends at its timeout", "[connection]") {
  CallFixture it;
  HttpCaller caller(it.Context, HttpPool::Settings{});
  HttpCall call;
  call.Address = it.Acceptor.local_endpoint();
  call.Timeout = std::chrono::milliseconds(60);
  std::optional<tl::expected<HttpAnswer, HttpFailure>> result;
  caller.call(call, [&](auto got) { result = std::move(got); });
  REQUIRE(it.until([&] { return result.has_value(); }));
  CHECK_FALSE(result->has_value());
  CHECK(it.until([&] { return it.Peer.Ended; }));
}

// A slow receiver may drain, and so resume reading, while a part of the answer
// is handed on. The next read must not overwrite what is not parsed yet.
TEST_CASE("an answer stays whole if reading resumes within its parts",
          "[connection]") {
  CallFixture it;
  it.take();
  std::string sent;
  std::string body;
  for (int n = 0; n < 20'000; ++n) {
    auto part = std::to_string(100'000 + n);
    body += part;
    sent += "6\r\n" + part + "\r\n";
  }
  HttpCallHooks hooks;
  hooks.OnBody = [&it](std::string_view part) {
    it.Body.append(part);
    it.Connection->pauseReading(true);
    it.Connection->pauseReading(false);
  };
  hooks.OnDone = [&it] { it.Done = true; };
  hooks.OnFailed = [&it](HttpFailure how) { it.Failure = how; };
  it.Connection->call(Request, "", false, std::move(hooks));
  REQUIRE(it.untilRequest());
  it.Peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + sent +
               "0\r\n\r\n");
  REQUIRE(it.untilEnd());
  CHECK(it.Done);
  CHECK(it.Body == body);
}

} // namespace hemlockglade::test
