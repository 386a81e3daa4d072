// What callers' connections hold is bounded over all of them.

#include "UnitTests/Transport/Http1/ServerFixture.h"

#include <algorithm>
#include <thread>

namespace hemlockglade::test {

namespace {

constexpr std::size_t KiB = 1024;
constexpr std::size_t MaxBytes = 300 * KiB;
/// One read of a connection.
constexpr std::size_t ReadBytes = 8 * KiB;

const std::string Head = "POST /a HTTP/1.1\r\nHost: x\r\n";
const std::string Chunked = Head + "Transfer-Encoding: chunked\r\n\r\n";

std::string announced(std::size_t bytes) {
  return Head + "Content-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

std::string repeat(const std::string &piece, std::size_t times) {
  std::string out;
  for (std::size_t it = 0; it < times; ++it)
    out += piece;
  return out;
}

std::shared_ptr<HeldMemory> memoryOf(std::size_t requestBytes,
                                     std::size_t answerBytes = 32 * KiB * KiB) {
  return std::make_shared<HeldMemory>(
      HeldMemory::Settings{requestBytes, answerBytes, answerBytes});
}

struct CrowdedServer : ServerFixture {
  explicit CrowdedServer(
      std::size_t places = 100,
      std::shared_ptr<HeldMemory> memory = memoryOf(MaxBytes))
      : ServerFixture(places, std::move(memory)) {
    Bounds.RequestTimeout = std::chrono::seconds(60);
    Bounds.IdleTimeout = std::chrono::seconds(60);
  }

  std::size_t requestBytes() const { return Memory->bytes(HeldKind::Request); }

  std::vector<std::unique_ptr<RawPeer>> Crowd;
};

} // namespace

TEST_CASE("incomplete requests hold no more than the limit and never run",
          "[callers][held]") {
  constexpr std::size_t Callers = 20;
  CrowdedServer it;
  it.Bounds.MaxHeadBytes = 64 * KiB;
  std::string request;
  SECTION("large chunks") {
    request = Chunked + "10000\r\n" + std::string(64 * KiB, 'x') + "\r\nffff" +
              "\r\n" + std::string(60 * KiB, 'x');
  }
  SECTION("very small chunks") {
    request = Chunked + repeat("1\r\nx\r\n", 100 * KiB);
  }
  SECTION("an announced body") {
    request = announced(100 * KiB) + std::string(100 * KiB - 1, 'x');
  }
  SECTION("very short fields") {
    // Each takes 64 bytes as it is held.
    request = Head + repeat("a:\r\n", 10'000);
  }
  for (std::size_t n = 0; n < Callers; ++n) {
    it.Crowd.push_back(it.connect());
    it.Crowd.back()->send(request);
    it.settle(6);
    CHECK(it.requestBytes() <= MaxBytes + ReadBytes);
  }
  auto refused = static_cast<std::size_t>(
      std::count_if(it.Crowd.begin(), it.Crowd.end(), [](const auto &peer) {
        return peer->Got.starts_with("HTTP/1.1 503") &&
               peer->Got.find("Retry-After: 1\r\n") != std::string::npos;
      }));
  CHECK(refused > 0);
  CHECK(it.Refused == 503);
  CHECK(it.Memory->ended(HeldKind::Request) >= refused);
  CHECK(it.Requests.empty());
  it.Peer.send(announced(2) + "hi");
  REQUIRE(it.untilRequests(1));
  CHECK(it.Requests[0].Body == "hi");
  it.Crowd.clear();
  CHECK(it.until([&] { return it.requestBytes() == 0; }));
}

TEST_CASE("the request that holds the most is refused, others go on",
          "[callers][held]") {
  CrowdedServer it;
  auto small = it.connect();
  auto large = it.connect();
  small->send(announced(100 * KiB) + std::string(99 * KiB, 'x'));
  large->send(announced(300 * KiB) + std::string(220 * KiB, 'x'));
  REQUIRE(it.until([&] { return !large->Got.empty(); }));
  CHECK(large->Got.starts_with("HTTP/1.1 503"));
  small->send(std::string(KiB, 'x'));
  REQUIRE(it.untilRequests(1));
  CHECK(it.Requests[0].Body.size() == 100 * KiB);
}

TEST_CASE("a whole request counts while it is there, and is never ended",
          "[callers][held]") {
  CrowdedServer it;
  it.Peer.send(announced(250 * KiB) + std::string(250 * KiB, 'x'));
  REQUIRE(it.untilRequests(1));
  CHECK(it.requestBytes() >= 250 * KiB);
  auto late = it.connect();
  late->send(announced(150 * KiB) + std::string(120 * KiB, 'x'));
  REQUIRE(it.until([&] { return !late->Got.empty(); }));
  CHECK(late->Got.starts_with("HTTP/1.1 503"));
  CHECK_FALSE(it.Peer.Ended);
  it.Replies[0]->respond({200, {}}, "one");
  CHECK(it.untilGot("one"));
  it.Requests.clear();
  CHECK(it.requestBytes() == 0);
}

// Else some clients with large bodies would keep out all others.
TEST_CASE("small requests are read while whole ones hold all the memory",
          "[callers][held]") {
  CrowdedServer it;
  it.Peer.send(announced(250 * KiB) + std::string(250 * KiB, 'x'));
  REQUIRE(it.untilRequests(1));
  std::vector<std::unique_ptr<RawPeer>> small;
  for (std::size_t n = 2; n < 5; ++n) {
    small.push_back(it.connect());
    small.back()->send(announced(20 * KiB) + std::string(20 * KiB, 'x'));
    REQUIRE(it.untilRequests(n));
    CHECK(it.Requests.back().Body.size() == 20 * KiB);
  }
  CHECK(it.requestBytes() > MaxBytes);
  auto large = it.connect();
  large->send(announced(100 * KiB) + std::string(90 * KiB, 'x'));
  REQUIRE(it.until([&] { return !large->Got.empty(); }));
  CHECK(large->Got.starts_with("HTTP/1.1 503"));
}

TEST_CASE("what is sent behind a running request is given up, not the request",
          "[callers][held]") {
  CrowdedServer it(100, memoryOf(100 * KiB));
  for (std::size_t n = 0; n < 6; ++n) {
    it.Crowd.push_back(it.connect());
    it.Crowd.back()->send(Head + "\r\n");
    REQUIRE(it.untilRequests(n + 1));
    it.Crowd.back()->send(std::string(60 * KiB, 'x'));
    it.settle(8);
    CHECK(it.requestBytes() <= 100 * KiB + 100 * KiB / 8 + ReadBytes);
  }
  CHECK(it.Memory->ended(HeldKind::Request) > 0);
  for (std::size_t n = 0; n < 6; ++n) {
    CHECK_FALSE(it.Crowd[n]->Ended);
    it.Replies[n]->respond({200, {}}, "done");
    CHECK(it.until(
        [&] { return it.Crowd[n]->Got.find("done") != std::string::npos; }));
  }
  CHECK(it.Requests.size() == 6);
}

TEST_CASE("an announced body over the limit is refused before it comes",
          "[callers][held]") {
  CrowdedServer it;
  it.Bounds.MaxBodyBytes = 1000;
  it.Peer.send(Head + "Content-Length: 1001\r\nExpect: 100-continue\r\n\r\n");
  REQUIRE(it.untilGot("HTTP/1.1 413"));
  CHECK(it.Peer.Got.find("100 Continue") == std::string::npos);
  CHECK(it.until([&] { return it.Peer.Ended; }));
}

// Fields that frame, route or authenticate a request must not come behind it.
TEST_CASE("trailers of a request are no fields of it", "[callers][held]") {
  CrowdedServer it;
  it.Peer.send(Chunked + "2\r\nhi\r\n0\r\nHost: y\r\nX-Token-Count: 9\r\n" +
               "Idempotency-Key: k\r\nContent-Length: 7\r\n\r\n");
  REQUIRE(it.untilRequests(1));
  CHECK(it.Requests[0].Body == "hi");
  const auto &fields = it.Requests[0].Head.Fields;
  CHECK(fields.size() == 2);
  CHECK_FALSE(findField(fields, "X-Token-Count"));
  CHECK(*findField(fields, "Host") == "x");
}

TEST_CASE("answers that callers don't read hold no more than the limit",
          "[callers][held]") {
  constexpr std::size_t Limit = 2 * KiB * KiB;
  constexpr std::size_t Callers = 8;
  CrowdedServer it(100, memoryOf(MaxBytes, Limit));
  // Callers that never read: more than the kernel takes is held.
  std::vector<asio::ip::tcp::socket> crowd;
  auto body = std::make_shared<const std::string>(12 * KiB * KiB, 'x');
  auto shared = std::make_shared<const std::string>(7 * KiB * KiB, 'y');
  for (std::size_t n = 0; n < Callers; ++n) {
    crowd.emplace_back(it.Context);
    crowd.back().connect(Loopback::localhost(it.Server->port()));
    asio::write(crowd.back(), asio::buffer(Head + "\r\n"));
    REQUIRE(it.untilRequests(n + 1));
    it.Replies[n]->respond({200, {}}, n % 2 ? body : shared);
    it.settle(4);
    CHECK(it.Memory->bytes(HeldKind::Unread) <= Limit);
  }
  CHECK(it.Memory->ended(HeldKind::Unread) > 0);
  it.Peer.send(Head + "\r\n");
  REQUIRE(it.untilRequests(Callers + 1));
  it.Replies.back()->respond({200, {}}, std::string(100 * KiB, 'z'));
  CHECK(it.until([&] { return it.Peer.Got.size() > 100 * KiB; }));
}

TEST_CASE("the answer of which nothing was taken for longest is ended first",
          "[callers][held]") {
  HeldMemory memory({KiB, KiB, 300 * KiB});
  std::array<HeldMemory::Share, 3> shares{HeldMemory::Share(HeldKind::Unread),
                                          HeldMemory::Share(HeldKind::Unread),
                                          HeldMemory::Share(HeldKind::Unread)};
  std::vector<std::size_t> ends;
  for (std::size_t n = 0; n < shares.size(); ++n)
    shares[n].OnEnd = [&ends, n] { ends.push_back(n); };
  auto take = [&](std::size_t n, std::size_t bytes) {
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
    shares[n].onTaken();
    shares[n].hold(memory, bytes);
  };
  take(0, 100 * KiB);
  take(1, 100 * KiB);
  take(0, 50 * KiB);
  take(2, 200 * KiB);
  CHECK(ends == std::vector<std::size_t>{1});
}

TEST_CASE("an idle connection keeps nothing of what went through it",
          "[callers][held]") {
  CrowdedServer it;
  it.Peer.send(announced(200 * KiB) + std::string(200 * KiB, 'x'));
  REQUIRE(it.untilRequests(1));
  it.Replies[0]->respond({200, {}}, std::string(KiB * KiB, 'y'));
  REQUIRE(it.until([&] { return it.Peer.Got.size() > KiB * KiB; }));
  it.Requests.clear();
  CHECK(it.requestBytes() == 0);
  CHECK(it.Memory->bytes(HeldKind::Unread) == 0);
}

TEST_CASE("a new connection gets the place of the one that is idle longest",
          "[callers][places]") {
  CrowdedServer it(4);
  auto running = it.connect();
  running->send(Head + "\r\n");
  REQUIRE(it.untilRequests(1));
  auto reading = it.connect();
  reading->send(announced(1000) + "x");
  auto idle = it.connect();
  it.settle();
  // The fixture's own connection has been idle for the longest time.
  auto first = it.connect();
  REQUIRE(it.until([&] { return it.Peer.Ended; }));
  auto second = it.connect();
  REQUIRE(it.until([&] { return idle->Ended; }));
  CHECK(it.Server->closedIdle() == 2);
  second->send(Head + "\r\n");
  REQUIRE(it.untilRequests(2));
  CHECK_FALSE(running->Ended);
  CHECK_FALSE(reading->Ended);
  CHECK_FALSE(first->Ended);
}

TEST_CASE("without idle connections the slowest request gives its place",
          "[callers][places]") {
  CrowdedServer it(3);
  it.Peer.send(Head + "\r\n");
  REQUIRE(it.untilRequests(1));
  auto slow = it.connect();
  slow->send("P");
  auto fast = it.connect();
  fast->send(announced(100 * KiB) + std::string(50 * KiB, 'x'));
  it.settle(8);
  auto ordinary = it.connect();
  ordinary->send(announced(2) + "hi");
  REQUIRE(it.untilRequests(2));
  CHECK(slow->Ended);
  CHECK_FALSE(fast->Ended);
  CHECK_FALSE(it.Peer.Ended);
  CHECK(it.Server->closedIncomplete() == 1);
}

TEST_CASE("running requests keep their places", "[callers][places]") {
  CrowdedServer it(2);
  it.Peer.send(Head + "\r\n");
  auto other = it.connect();
  other->send(Head + "\r\n");
  REQUIRE(it.untilRequests(2));
  auto late = it.connect();
  REQUIRE(it.until([&] { return late->Ended; }));
  CHECK(it.Server->turnedAway() == 1);
  CHECK_FALSE(it.Peer.Ended);
  CHECK_FALSE(other->Ended);
}

TEST_CASE("a caller that goes on reading its answer is not idle",
          "[callers][held]") {
  CrowdedServer it;
  it.Bounds.IdleTimeout = std::chrono::milliseconds(200);
  asio::ip::tcp::socket slow(it.Context);
  slow.connect(Loopback::localhost(it.Server->port()));
  asio::write(slow, asio::buffer(Head + "\r\n"));
  REQUIRE(it.untilRequests(1));
  constexpr std::size_t BodyBytes = 24 * KiB * KiB;
  it.Replies[0]->respond({200, {}},
                         std::make_shared<const std::string>(BodyBytes, 'x'));
  std::size_t got = 0;
  std::vector<char> buf(2 * KiB * KiB);
  // Each pause is shorter than the timeout, all together are longer.
  while (got < BodyBytes) {
    it.Context.restart();
    it.Context.run_for(std::chrono::milliseconds(40));
    asio::error_code ec;
    got += slow.read_some(asio::buffer(buf), ec);
    REQUIRE_FALSE(ec);
  }
  CHECK(got >= BodyBytes);
}

} // namespace hemlockglade::test
