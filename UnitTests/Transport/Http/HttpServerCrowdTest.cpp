// What the requests and answers of all connections hold is bounded, and new
// connections get places.

#include "UnitTests/Transport/Loopback.h"

#include <algorithm>

using namespace hemlockglade;

namespace {

constexpr std::size_t KiB = 1024;
constexpr std::size_t MaxHeldBytes = 4 * KiB * KiB;
constexpr std::size_t MaxUnreadBytes = 40 * KiB * KiB;
const std::string Head = "POST / HTTP/1.1\r\nHost: x\r\n";

struct CrowdedHttp : Loopback {
  explicit CrowdedHttp(std::size_t places = 50) {
    HttpServerSettings settings;
    settings.MaxConnections = places;
    settings.MaxBodyBytes = KiB * KiB;
    settings.MaxHeldBytes = MaxHeldBytes;
    settings.MaxUnreadBytes = MaxUnreadBytes;
    Server = std::make_unique<HttpServer>(
        Context, settings,
        [this](const HttpIncoming &in, std::shared_ptr<HttpReply> reply) {
          Bodies.push_back(in.Body.size());
          if (Keeps)
            Replies.push_back(std::move(reply));
          else
            reply->sendWhole(200, {}, "served" + std::string(AnswerBytes, 'x'));
        });
  }
  ~CrowdedHttp() {
    Replies.clear();
    Server.reset();
    // An exception here means that the test has failed before.
    try {
      Context.restart();
      Context.poll();
    } catch (const std::exception &) {
    }
  }

  std::shared_ptr<RawPeer> connect() {
    return RawPeer::to(Context, Server->port());
  }
  std::size_t heldBytes() { return Server->load().RequestBytes; }
  bool isServed() {
    auto peer = connect();
    peer->send(Head + "Content-Length: 2\r\n\r\nhi");
    return until([&] { return peer->has("served") || peer->Closed; }) &&
           peer->has("served");
  }

  bool Keeps = false;
  std::size_t AnswerBytes = 0;
  std::vector<std::size_t> Bodies;
  std::vector<std::shared_ptr<HttpReply>> Replies;
  std::unique_ptr<HttpServer> Server;
};

} // namespace

TEST_CASE("incomplete requests of a crowd hold no more than the limit",
          "[http][held]") {
  CrowdedHttp it;
  std::vector<std::shared_ptr<RawPeer>> crowd;
  for (int n = 0; n < 10; ++n) {
    crowd.push_back(it.connect());
    crowd.back()->send(Head + "Transfer-Encoding: chunked\r\n\r\ne0000\r\n" +
                       std::string(800 * KiB, 'x'));
    it.settle(8);
    // One read may come until the largest is broken.
    CHECK(it.heldBytes() <= MaxHeldBytes + 16 * KiB);
  }
  CHECK(it.until([&] {
    return std::any_of(crowd.begin(), crowd.end(),
                       [](const auto &peer) { return peer->Closed; });
  }));
  CHECK(it.isServed());
  CHECK(it.Bodies == std::vector<std::size_t>{2});
  for (auto &peer : crowd)
    peer->shut();
  CHECK(it.until([&] { return it.heldBytes() == 0; }));
}

TEST_CASE("whole requests that would hold too much are refused and don't run",
          "[http][held]") {
  CrowdedHttp it;
  it.Keeps = true;
  std::vector<std::shared_ptr<RawPeer>> crowd;
  for (int n = 0; n < 4; ++n) {
    crowd.push_back(it.connect());
    crowd.back()->send(Head + "Content-Length: 921600\r\n\r\n" +
                       std::string(900 * KiB, 'x'));
    it.until([&] {
      return it.Bodies.size() == static_cast<std::size_t>(n) + 1 ||
             crowd.back()->Closed;
    });
  }
  CHECK(it.Bodies.size() == 2);
  CHECK(it.heldBytes() <= MaxHeldBytes);
  it.Keeps = false;
  CHECK(it.isServed());
  it.Replies.clear();
  CHECK(it.until([&] { return it.heldBytes() == 0; }));
}

// Answers of a crowd that reads none of them took all of a node's memory.
TEST_CASE("unread answers of a crowd hold no more than the limit",
          "[http][held]") {
  constexpr std::size_t Callers = 24;
  CrowdedHttp it;
  it.AnswerBytes = 8 * KiB * KiB;
  std::vector<asio::ip::tcp::socket> crowd;
  for (std::size_t n = 0; n < Callers; ++n) {
    auto &caller = crowd.emplace_back(it.Context);
    caller.connect(Loopback::localhost(it.Server->port()));
    asio::write(caller, asio::buffer(Head + "Content-Length: 2\r\n\r\nhi"));
    CHECK(it.until([&] { return it.Bodies.size() == n + 1; }));
    it.settle(8);
    // Beside the limit the newest answer is held.
    CHECK(it.Server->unfinished() * it.AnswerBytes <=
          MaxUnreadBytes + it.AnswerBytes);
  }
  auto reader = it.connect();
  reader->send(Head + "Content-Length: 2\r\n\r\nhi");
  CHECK(it.until(
      [&] { return reader->Closed || reader->Text.size() > it.AnswerBytes; }));
  CHECK(reader->Text.size() > it.AnswerBytes);
  CHECK(it.Server->load().EndedAnswers > 0);
  crowd.clear();
  CHECK(it.until([&] { return it.Server->unfinished() == 0; }));
  CHECK(it.Server->load().UnreadBytes == 0);
}

TEST_CASE("idle connections give their places to new ones", "[http][places]") {
  // Twice as many are accepted.
  CrowdedHttp it(10);
  std::vector<std::shared_ptr<RawPeer>> crowd;
  for (int n = 0; n < 40; ++n) {
    crowd.push_back(it.connect());
    it.settle(1);
  }
  CHECK(it.until([&] {
    return std::count_if(crowd.begin(), crowd.end(),
                         [](const auto &peer) { return peer->Closed; }) >= 20;
  }));
  CHECK(crowd.front()->Closed);
  CHECK_FALSE(crowd.back()->Closed);
  CHECK(it.Server->load().ClosedIdle >= 20);
}
