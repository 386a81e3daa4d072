#include "Hemlockglade/Transport/Transport.h"

#include <catch2/catch.hpp>

using namespace hemlockglade;

namespace {

/// Result and body of one answer as its caller received them.
struct ReceivedAnswer {
  HttpResult Result;
  std::string Body;
};

ReceivedAnswer exchange(const HttpHandler &handler) {
  asio::io_context context(1);
  HttpServer server(context, {}, handler);
  HttpClient client(context);
  HttpRequest request;
  request.Url = "http://127.0.0.1:" + std::to_string(server.port()) + "/";
  request.Timeout = std::chrono::seconds(20);
  ReceivedAnswer received;
  client.fetch(request, [&](const HttpResult &result, std::string body) {
    received = {result, std::move(body)};
    context.stop();
  });
  context.run();
  return received;
}

} // namespace

TEST_CASE("an aborted answer is incomplete for its caller", "[http]") {
  SECTION("before its head") {
    auto received = exchange(
        [](const HttpIncoming &, const auto &reply) { reply->abort(); });
    CHECK_FALSE(received.Result.Whole);
    CHECK(received.Result.Status == 0);
    CHECK(received.Result.Error.find("imeout") == std::string::npos);
  }
  SECTION("within its stream") {
    auto received = exchange([](const HttpIncoming &, const auto &reply) {
      reply->startStream(200, {});
      reply->sendPart("part", nullptr);
      reply->abort();
    });
    CHECK_FALSE(received.Result.Whole);
    CHECK(received.Result.Status == 200);
    CHECK(received.Body == "part");
  }
  SECTION("by destroying its stream") {
    auto received = exchange([](const HttpIncoming &, const auto &reply) {
      reply->startStream(200, {});
    });
    CHECK_FALSE(received.Result.Whole);
  }
}
