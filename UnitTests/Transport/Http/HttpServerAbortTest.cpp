#include "Hemlockglade/Transport/Transport.h"

#include <catch2/catch.hpp>

using namespace hemlockglade;

namespace {

/// What a caller saw of one answer that the handler gave.
struct Seen {
  HttpResult Result;
  std::string Body;
};

Seen ask(const HttpHandler &handler) {
  asio::io_context context(1);
  HttpServer server(context, {}, handler);
  HttpClient client(context);
  HttpRequest request;
  request.Url = "http://127.0.0.1:" + std::to_string(server.port()) + "/";
  request.Timeout = std::chrono::seconds(20);
  Seen seen;
  client.fetch(request, [&](const HttpResult &result, std::string body) {
    seen = {result, std::move(body)};
    context.stop();
  });
  context.run();
  return seen;
}

} // namespace

TEST_CASE("an aborted answer is seen as not whole", "[http]") {
  SECTION("before its head") {
    auto seen =
        ask([](const HttpIncoming &, const auto &reply) { reply->abort(); });
    CHECK_FALSE(seen.Result.Whole);
    CHECK(seen.Result.Status == 0);
    CHECK(seen.Result.Error.find("imeout") == std::string::npos);
  }
  SECTION("inside its stream") {
    auto seen = ask([](const HttpIncoming &, const auto &reply) {
      reply->startStream(200, {});
      reply->sendPart("part", nullptr);
      reply->abort();
    });
    CHECK_FALSE(seen.Result.Whole);
    CHECK(seen.Result.Status == 200);
    CHECK(seen.Body == "part");
  }
  SECTION("by a stream that is dropped") {
    auto seen = ask([](const HttpIncoming &, const auto &reply) {
      reply->startStream(200, {});
    });
    CHECK_FALSE(seen.Result.Whole);
  }
}
