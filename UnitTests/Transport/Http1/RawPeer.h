#pragma once

#include "UnitTests/Transport/Loopback.h"

#include <memory>

namespace hemlockglade::test {

/// A TCP peer that a test drives by hand: it keeps what it is sent and sends
/// what the test says.
class RawPeer {
public:
  explicit RawPeer(asio::io_context &context) : Socket(context) {}
  ~RawPeer() { *Alive = false; }
  RawPeer(const RawPeer &) = delete;
  RawPeer &operator=(const RawPeer &) = delete;

  void connect(std::uint16_t port) {
    Socket.connect(Loopback::localhost(port));
    read();
  }

  /// Takes the next connection of an acceptor.
  void accept(asio::ip::tcp::acceptor &acceptor) {
    acceptor.async_accept(Socket, [this, alive = Alive](asio::error_code ec) {
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
        [this, alive = Alive](asio::error_code ec, std::size_t n) {
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
  /// Tells a read that ends late whether the peer still lives.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace hemlockglade::test
