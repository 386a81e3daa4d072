#include "Hemlockglade/Transport/Http1/ListenProbe.h"

#include "Hemlockglade/Transport/Http1/SocketOptions.h"

#include <asio/steady_timer.hpp>
#include <memory>

namespace hemlockglade {

namespace {

struct Probe {
  explicit Probe(asio::io_context &context) : Socket(context), Timer(context) {}

  void finish(Listening result) {
    if (!Done)
      return;
    asio::error_code ec;
    Timer.cancel();
    Socket.close(ec);
    std::exchange(Done, nullptr)(result);
  }

  asio::ip::tcp::socket Socket;
  asio::steady_timer Timer;
  std::function<void(Listening)> Done;
};

Listening toListening(asio::error_code ec) {
  if (!ec)
    return Listening::Yes;
  return ec == asio::error::connection_refused ? Listening::No
                                               : Listening::Unknown;
}

} // namespace

void probeListener(asio::io_context &context,
                   const asio::ip::tcp::endpoint &address, Span timeout,
                   std::function<void(Listening)> done,
                   const std::optional<asio::ip::address> &local) {
  auto probe = std::make_shared<Probe>(context);
  probe->Done = std::move(done);
  probe->Timer.expires_after(timeout);
  probe->Timer.async_wait([probe](asio::error_code ec) {
    if (!ec)
      probe->finish(Listening::Unknown);
  });
  asio::error_code ec;
  probe->Socket.open(address.protocol(), ec);
  if (local && !ec)
    bindLocal(probe->Socket, *local);
  probe->Socket.async_connect(address, [probe](asio::error_code ec) {
    probe->finish(toListening(ec));
  });
}

} // namespace hemlockglade
