// Answers that the client must not take for whole ones.

#include "UnitTests/Transport/SilentServer.h"

namespace hemlockglade::test {

namespace {

struct ClientCall : SilentServer {
  explicit ClientCall(std::size_t uploadBytes)
      : Client(std::make_unique<HttpClient>(Context)) {
    HttpRequest request;
    request.Method = "POST";
    request.Url = url(Acceptor.local_endpoint().port(), "/");
    request.Body.assign(uploadBytes, 'u');
    Client->start(std::move(request), Got.hooks());
    awaitRequest();
  }

  ~ClientCall() {
    Client.reset();
    // An exception here means that the test has failed before.
    try {
      Context.restart();
      Context.poll();
    } catch (const std::exception &) {
    }
  }
  ClientCall(const ClientCall &) = delete;
  ClientCall &operator=(const ClientCall &) = delete;

  bool untilEnd() {
    return until([this] { return Got.Ends > 0; });
  }

  std::unique_ptr<HttpClient> Client;
  Answer Got;
};

} // namespace

TEST_CASE("an early answer without a length whose connection is reset while "
          "the request is sent is not whole",
          "[http][early-answer]") {
  ClientCall it(SilentServer::UploadBytes);
  it.answer(EarlyPart);
  it.reset();
  REQUIRE(it.untilEnd());
  CHECK_FALSE(it.Got.Result.Whole);
}

TEST_CASE("an early answer without a length whose connection ends while the "
          "request is sent is not whole",
          "[http][early-answer]") {
  ClientCall it(SilentServer::UploadBytes);
  it.answer(EarlyPart);
  it.Server.shutdown(asio::ip::tcp::socket::shutdown_send);
  REQUIRE(it.untilEnd());
  CHECK_FALSE(it.Got.Result.Whole);
}

TEST_CASE("an answer whose head is none of HTTP/1 is not whole",
          "[http][odd-head]") {
  using namespace std::string_literals;
  auto head = GENERATE(
      as<std::string>{}, "HTTP/1.1 000 OK\r\n", "HTTP/1.1 099 OK\r\n",
      "HTTP/1.1 600 OK\r\n", "HTTP/1.1 999 OK\r\n", "HTTP/1.1 20 OK\r\n",
      "HTTP/1.1 101 X\r\n", "HTTP/2.0 200 OK\r\n", "HTTP/0.9 200 OK\r\n",
      "HTTP/1.1 200 OK\r\nA B: c\r\n", "HTTP/1.1 200 OK\r\nA\tB: c\r\n",
      "HTTP/1.1 200 OK\r\nA : c\r\n", "HTTP/1.1 200 OK\r\n: c\r\n",
      "HTTP/1.1 200 OK\r\nA\0B: c\r\n"s, "HTTP/1.1 200 OK\r\nA\x01Q: c\r\n",
      "HTTP/1.1 200 OK\r\n(A): c\r\n", "HTTP/1.1 200 OK\r\nA: b\0c\r\n"s,
      "HTTP/1.1 200 OK\r\nA: b\x01\r\n");
  CAPTURE(head);
  ClientCall it(2);
  it.answer(head + "Content-Length: 5\r\n\r\nhello");
  it.Server.shutdown(asio::ip::tcp::socket::shutdown_send);
  REQUIRE(it.untilEnd());
  CHECK_FALSE(it.Got.Result.Whole);
}

} // namespace hemlockglade::test
