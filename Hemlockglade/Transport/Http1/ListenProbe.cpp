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
  char Byte = 0;
};

Listening toListening(asio::error_code ec) {
  if (!ec)
    return Listening::Yes;
  return ec == asio::error::connection_refused ? Listening::No
                                               : Listening::Unknown;
}

/// Starts to connect; the probe is unknown after the timeout.
template <typename OnConnect>
void connect(const std::shared_ptr<Probe> &probe,
             const asio::ip::tcp::endpoint &address, Span timeout,
             const std::optional<asio::ip::address> &local,
             OnConnect onConnect) {
  probe->Timer.expires_after(timeout);
  probe->Timer.async_wait([probe](asio::error_code ec) {
    if (!ec)
      probe->finish(Listening::Unknown);
  });
  asio::error_code ec;
  probe->Socket.open(address.protocol(), ec);
  if (local && !ec)
    bindLocal(probe->Socket, *local);
  probe->Socket.async_connect(address, std::move(onConnect));
}

/// Ends the probe's side of the connection and waits for the other end's.
/// Calls `onReset` if the connection is reset within the time; else the process
/// is listening.
void awaitEnd(const std::shared_ptr<Probe> &probe, Span settleTime,
              std::function<void()> onReset) {
  probe->Timer.expires_after(settleTime);
  probe->Timer.async_wait([probe](asio::error_code ec) {
    if (!ec)
      probe->finish(Listening::Yes);
  });
  asio::error_code ec;
  probe->Socket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
  probe->Socket.async_read_some(
      asio::buffer(&probe->Byte, 1),
      [probe, onReset = std::move(onReset)](asio::error_code ec, std::size_t) {
        if (!probe->Done)
          return;
        if (!ec || ec == asio::error::eof)
          return probe->finish(Listening::Yes);
        onReset();
      });
}

/// Connects and waits for the end of the connection; calls `onReset` if it is
/// reset.
void connectAndAwaitEnd(const std::shared_ptr<Probe> &probe,
                        const asio::ip::tcp::endpoint &address, Span timeout,
                        Span settleTime,
                        const std::optional<asio::ip::address> &local,
                        std::function<void()> onReset) {
  connect(
      probe, address, timeout, local,
      [probe, settleTime, onReset = std::move(onReset)](asio::error_code ec) {
        if (!probe->Done)
          return;
        if (ec == asio::error::connection_reset)
          return onReset();
        if (ec)
          return probe->finish(toListening(ec));
        awaitEnd(probe, settleTime, onReset);
      });
}

} // namespace

void probeListener(asio::io_context &context,
                   const asio::ip::tcp::endpoint &address, Span timeout,
                   std::function<void(Listening)> done,
                   const std::optional<asio::ip::address> &local) {
  auto probe = std::make_shared<Probe>(context);
  probe->Done = std::move(done);
  connect(probe, address, timeout, local,
          [probe](asio::error_code ec) { probe->finish(toListening(ec)); });
}

void probeEnding(asio::io_context &context,
                 const asio::ip::tcp::endpoint &address, Span timeout,
                 Span settleTime, std::function<void(Listening)> done,
                 const std::optional<asio::ip::address> &local) {
  auto first = std::make_shared<Probe>(context);
  first->Done = std::move(done);
  auto probeAgain = [first, &context, address, timeout, settleTime, local] {
    auto second = std::make_shared<Probe>(context);
    second->Done = [first](Listening found) { first->finish(found); };
    first->Timer.cancel();
    // A process that resets connections once more listens.
    connectAndAwaitEnd(second, address, timeout, settleTime, local,
                       [second] { second->finish(Listening::Yes); });
  };
  connectAndAwaitEnd(first, address, timeout, settleTime, local, probeAgain);
}

} // namespace hemlockglade
