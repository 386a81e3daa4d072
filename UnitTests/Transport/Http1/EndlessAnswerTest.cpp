// Servers whose answers never end: connections and short calls have to end them
// with little memory, and in time.

#include "Hemlockglade/Transport/Http1/HttpCaller.h"
#include "UnitTests/Transport/Http1/EndlessServer.h"

namespace hemlockglade::test {

namespace {

constexpr std::size_t MiB = std::size_t{1} << 20U;
const std::string OpenHead = "HTTP/1.1 200 OK\r\n\r\n";
const std::string ChunkedHead =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

struct EndlessCall : Loopback {
  explicit EndlessCall(EndlessServer::Answer answer)
      : Server(Context, std::move(answer)),
        Caller(Context, HttpPool::Settings{}) {
    Call.Address = localhost(Server.port());
    Call.Timeout = std::chrono::seconds(3);
  }

  /// Makes the call, and waits until its connection has ended.
  void run() {
    Caller.call(Call, [this](auto got) { Result = std::move(got); });
    REQUIRE(until([this] { return Result && Server.Ended > 0; }));
    UNSCOPED_INFO("bytes taken " << Server.MostBytes << ", ended after ms "
                                 << Server.LongestTime.count() / 1000);
  }

  EndlessServer Server;
  HttpCaller Caller;
  HttpCall Call;
  std::optional<tl::expected<HttpAnswer, HttpFailure>> Result;
};

} // namespace

TEST_CASE("a head without end is ended after 64 KiB", "[endless]") {
  std::string start;
  std::string repeated;
  SECTION("header lines") {
    start = "HTTP/1.1 200 OK\r\n";
    repeated = "a: b\r\n";
  }
  SECTION("one header line") {
    start = "HTTP/1.1 200 OK\r\na: ";
    repeated = "x";
  }
  SECTION("a status line") {
    start = "HTTP/1.1 200 ";
    repeated = "x";
  }
  SECTION("garbage in place of a status line") { repeated = "\x01garbage"; }
  SECTION("empty lines in place of a status line") { repeated = "\r\n"; }
  SECTION("a chunk's extension") {
    start = ChunkedHead + "5;x=";
    repeated = "y";
  }
  SECTION("trailers") {
    start = ChunkedHead + "0\r\n";
    repeated = "a: b\r\n";
  }
  EndlessCall it({start, repeated});
  it.run();
  CHECK_FALSE(it.Result->has_value());
  CHECK(it.Server.MostBytes < 8 * MiB);
  CHECK(it.Server.LongestTime < std::chrono::seconds(2));
}

TEST_CASE("interim answers without end are ended before the call's timeout",
          "[endless]") {
  EndlessCall it({"", "HTTP/1.1 102 Processing\r\n\r\n"});
  it.run();
  CHECK_FALSE(it.Result->has_value());
  CHECK(it.Server.MostBytes < 8 * MiB);
  CHECK(it.Server.LongestTime < std::chrono::seconds(2));
}

TEST_CASE("a short call's body without end is ended at its limit",
          "[endless]") {
  std::string start;
  std::string repeated;
  SECTION("without a length") {
    start = OpenHead;
    repeated = "x";
  }
  SECTION("in chunks") {
    start = ChunkedHead;
    repeated = "1\r\nx\r\n";
  }
  SECTION("with a length that never comes") {
    start = "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n";
    repeated = "x";
  }
  EndlessCall it({start, repeated});
  it.Call.MaxAnswerBytes = MiB;
  it.run();
  CHECK_FALSE(it.Result->has_value());
  CHECK(it.Server.MostBytes < 16 * MiB);
}

TEST_CASE("bytes without end after a complete answer end its connection",
          "[endless]") {
  EndlessCall it({"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "x"});
  it.run();
  REQUIRE(it.Result->has_value());
  CHECK((*it.Result)->Body == "ok");
  CHECK(it.Server.LongestTime < std::chrono::seconds(2));
}

TEST_CASE("a drip of bytes without end ends with the call's timeout",
          "[endless]") {
  auto start = GENERATE(std::string("HTTP/1.1 200 OK\r\na: "), OpenHead);
  EndlessCall it({start, "x", std::chrono::milliseconds(5)});
  it.Call.Timeout = std::chrono::milliseconds(200);
  it.run();
  CHECK_FALSE(it.Result->has_value());
  CHECK(it.Server.LongestTime < std::chrono::seconds(2));
}

// Fifteen bodies of 8 MiB fill a host of 120 MB; one large answer that arrives
// meanwhile has an end and holds less than each of them.
TEST_CASE("bodies without end on many connections hold no more than the limit",
          "[endless]") {
  constexpr std::size_t Calls = 15;
  Loopback loop;
  HttpPool::Settings settings;
  auto memory = std::make_shared<HeldMemory>(
      HeldMemory::Settings{9 * MiB, 9 * MiB, 9 * MiB});
  settings.Connection.Memory = memory;
  EndlessServer endless(loop.Context, {OpenHead, "x"});
  EndlessServer slow(loop.Context,
                     {"HTTP/1.1 200 OK\r\nContent-Length: 600000\r\n\r\n",
                      std::string(20'000, 'x'), std::chrono::milliseconds(2),
                      600'000});
  HttpCaller caller(loop.Context, settings);
  HttpCall call;
  call.Timeout = std::chrono::seconds(10);
  std::size_t endlessResults = 0;
  std::size_t failed = 0;
  call.Address = Loopback::localhost(endless.port());
  for (std::size_t it = 0; it < Calls; ++it)
    caller.call(call, [&](auto got) {
      ++endlessResults;
      failed += !got && got.error() == HttpFailure::Endless ? 1 : 0;
    });
  std::optional<tl::expected<HttpAnswer, HttpFailure>> large;
  call.Address = Loopback::localhost(slow.port());
  caller.call(call, [&](auto got) { large = std::move(got); });
  REQUIRE(loop.until([&] { return endlessResults == Calls && large; }));
  CHECK(failed == Calls);
  REQUIRE(large->has_value());
  CHECK((*large)->Body.size() == 600'000);
  // One read of each connection may arrive until the largest has ended.
  CHECK(memory->peakBytes(HeldKind::Answer) < 9 * MiB + Calls * 3 * 8192);
  CHECK(memory->bytes(HeldKind::Answer) == 0);
  CHECK(memory->endless(EndlessKind::Memory) > 0);
}

// Bytes that follow an answer must not be taken for the answer to the next
// request on the connection, which may be sent as soon as the answer is there.
TEST_CASE("a call made as an endless answer completes gets no bytes of it",
          "[endless]") {
  EndlessCall it({"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                  "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil"});
  std::optional<tl::expected<HttpAnswer, HttpFailure>> second;
  it.Caller.call(it.Call, [&](auto) {
    it.Caller.call(it.Call, [&](auto got) { second = std::move(got); });
  });
  REQUIRE(it.until([&] { return second.has_value(); }));
  REQUIRE(second->has_value());
  CHECK((*second)->Body == "ok");
}

} // namespace hemlockglade::test
