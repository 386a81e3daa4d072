#pragma once

#include "UnitTests/Transport/Loopback.h"

#include <memory>

namespace hemlockglade::test {

/// A TCP connection that a test controls: it collects the bytes it receives and
/// sends those that the test passes.
class RawPeer {
public:
  explicit RawPeer(asio::io_context &context) : Socket(context) {}
  ~RawPeer() { *IsAlive = false; }
  RawPeer(const RawPeer &) = delete;
  RawPeer &operator=(const RawPeer &) = delete;

  void connect(std::uint16_t port) {
    Socket.connect(Loopback::localhost(port));
    read();
  }

  /// Accepts the next connection of an acceptor.
  void accept(asio::ip::tcp::acceptor &acceptor) {
    acceptor.async_accept(Socket, [this, alive = IsAlive](asio::error_code ec) {
      if (!*alive)
        return;
      Connected = !ec;
      if (!ec)
        read();
    });
  }

  void send(std::string_view text) { asio::write(Socket, asio::buffer(text)); }

  void close() {
    asio::error_code ec;
    Socket.close(ec);
  }

  void reset() {
    asio::error_code ec;
    Socket.set_option(asio::socket_base::linger(true, 0), ec);
    Socket.close(ec);
  }

  std::string Got;
  bool Connected = false;
  bool Ended = false;

private:
  void read() {
    Socket.async_read_some(
        asio::buffer(Buffer),
        [this, alive = IsAlive](asio::error_code ec, std::size_t n) {
          if (!*alive)
            return;
          if (ec) {
            Ended = true;
            return;
          }
          Got.append(Buffer.data(), n);
          read();
        });
  }

  asio::ip::tcp::socket Socket;
  std::array<char, 4096> Buffer{};
  /// False once the peer is destroyed; pending handlers check it.
  std::shared_ptr<bool> IsAlive = std::make_shared<bool>(true);
};

} // namespace hemlockglade::test
