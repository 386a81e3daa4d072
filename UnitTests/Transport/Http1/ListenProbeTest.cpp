#include "Hemlockglade/Transport/Http1/ListenProbe.h"

#include "UnitTests/Transport/Loopback.h"

#include <thread>

namespace hemlockglade::test {

namespace {

constexpr auto SettleTime = std::chrono::milliseconds(500);

struct ProbeFixture : Loopback {
  ProbeFixture() : Acceptor(Context, localhost(0)) {}

  void probe() {
    probeEnding(Context, Acceptor.local_endpoint(), std::chrono::seconds(5),
                SettleTime, [this](Listening found) { Found = found; });
  }
  /// Resets all connections that come, and goes on listening.
  void resetAll() {
    Acceptor.async_accept(
        [this](asio::error_code ec, asio::ip::tcp::socket socket) {
          if (ec)
            return;
          ++Accepted;
          socket.set_option(asio::socket_base::linger(true, 0));
          socket.close();
          resetAll();
        });
  }

  /// Closes each connection as soon as its other side has ended.
  void closeAfterEnd() {
    Acceptor.async_accept([this](asio::error_code ec,
                                 asio::ip::tcp::socket socket) {
      if (ec)
        return;
      ++Accepted;
      auto peer = std::make_shared<asio::ip::tcp::socket>(std::move(socket));
      peer->async_wait(asio::ip::tcp::socket::wait_read,
                       [this, peer](asio::error_code) { ++Ended; });
      closeAfterEnd();
    });
  }

  asio::ip::tcp::acceptor Acceptor;
  std::optional<Listening> Found;
  int Accepted = 0;
  int Ended = 0;
};

/// Probes an address `count` times while another thread closes its listener,
/// which accepts nothing. Returns how many probes found a listening process.
int countFoundWhileClosing(Loopback &it, int count, Span closeDelay) {
  asio::io_context other;
  asio::ip::tcp::acceptor acceptor(other, Loopback::localhost(0));
  auto address = acceptor.local_endpoint();
  std::thread closing([&acceptor, closeDelay] {
    auto end = TimerService::now() + closeDelay;
    while (TimerService::now() < end) {
    }
    acceptor.close();
  });
  int done = 0;
  int found = 0;
  for (int probe = 0; probe < count; ++probe)
    probeEnding(it.Context, address, std::chrono::seconds(5), SettleTime,
                [&](Listening result) {
                  ++done;
                  found += result == Listening::Yes ? 1 : 0;
                });
  closing.join();
  CHECK(it.until([&] { return done == count; }));
  return found;
}

} // namespace

TEST_CASE("a process that listens is found, and one that has ended",
          "[probe]") {
  ProbeFixture it;
  auto address = it.Acceptor.local_endpoint();
  it.probe();
  REQUIRE(it.until([&it] { return it.Found.has_value(); }));
  CHECK(*it.Found == Listening::Yes);
  it.Acceptor.close();
  it.Found.reset();
  probeEnding(it.Context, address, std::chrono::seconds(5), SettleTime,
              [&it](Listening found) { it.Found = found; });
  REQUIRE(it.until([&it] { return it.Found.has_value(); }));
  CHECK(*it.Found == Listening::No);
}

// A look at a replica that was ending met its listener, and what it had sent of
// a stream ended as complete.
TEST_CASE("a process that ends while it is probed is found to have ended",
          "[probe]") {
  ProbeFixture it;
  it.probe();
  if (GENERATE(false, true))
    it.settle(1);
  CHECK_FALSE(it.Found);
  it.Acceptor.close();
  REQUIRE(it.until([&it] { return it.Found.has_value(); }));
  CHECK(*it.Found == Listening::No);
}

TEST_CASE("a process that listens ends the probe's connection", "[probe]") {
  ProbeFixture it;
  it.closeAfterEnd();
  it.probe();
  REQUIRE(it.until([&it] { return it.Found.has_value(); }));
  CHECK(*it.Found == Listening::Yes);
  CHECK(it.Ended == 1);
  CHECK(it.Accepted == 1);
}

// The host drops some connections that are made while a listener closes and
// resets none of them: a stream of a replica that had crashed ended as
// complete.
TEST_CASE("connections that are dropped while a listener closes do not count "
          "as accepted",
          "[probe]") {
  constexpr int Rounds = 400;
  constexpr int Probes = 16;
  Loopback it;
  int found = 0;
  for (int round = 0; round < Rounds && found == 0; ++round)
    found += countFoundWhileClosing(it, Probes,
                                    std::chrono::microseconds(round % 100 * 4));
  CHECK(found == 0);
}

TEST_CASE("a process that resets connections but listens has not ended",
          "[probe]") {
  ProbeFixture it;
  it.resetAll();
  it.probe();
  REQUIRE(it.until([&it] { return it.Found.has_value(); }));
  CHECK(*it.Found == Listening::Yes);
  it.settle();
  CHECK(it.Accepted == 2);
}

} // namespace hemlockglade::test
