#pragma once

#include "UnitTests/Transport/Loopback.h"

#include <asio/steady_timer.hpp>
#include <memory>

namespace hemlockglade::test {

/// A server whose answers never end: after the start of the answer it sends the
/// same bytes again and again until the other side closes the connection.
class EndlessServer {
public:
  struct Answer {
    std::string Start;
    std::string Repeated;
    /// Pause between two repetitions; without one, bytes are sent as fast as
    /// they are taken.
    Span Pause{0};
    /// Bytes after which a connection sends no more, so that a test of a client
    /// without a limit ends.
    std::size_t MaxBytes = std::size_t{64} << 20U;
  };

  EndlessServer(asio::io_context &context, Answer answer)
      : Context(context), Sent(std::move(answer)),
        Acceptor(context, Loopback::localhost(0)) {
    accept();
  }
  ~EndlessServer() { *IsAlive = false; }
  EndlessServer(const EndlessServer &) = delete;
  EndlessServer &operator=(const EndlessServer &) = delete;

  std::uint16_t port() const { return Acceptor.local_endpoint().port(); }
  std::string address() const { return Loopback::address(port()); }

  int Requests = 0;
  /// Connections that the other side has ended.
  int Ended = 0;
  /// Most bytes sent on one connection.
  std::size_t MostBytes = 0;
  /// Longest time from a request to the end of its connection.
  Span LongestTime{0};

private:
  struct Connection {
    explicit Connection(asio::io_context &context)
        : Socket(context), Timer(context) {}
    asio::ip::tcp::socket Socket;
    asio::steady_timer Timer;
    std::string Block;
    std::array<char, 4096> Buffer{};
    std::size_t Bytes = 0;
    bool HasRequest = false;
    bool HasEnded = false;
    std::chrono::steady_clock::time_point RequestedAt;
  };

  void accept() {
    auto it = std::make_shared<Connection>(Context);
    Acceptor.async_accept(
        it->Socket, [this, it, alive = IsAlive](asio::error_code ec) {
          if (!*alive || ec)
            return;
          // What the kernel buffers would count as taken.
          it->Socket.set_option(asio::socket_base::send_buffer_size(65536), ec);
          read(it);
          accept();
        });
  }

  void read(const std::shared_ptr<Connection> &it) {
    it->Socket.async_read_some(
        asio::buffer(it->Buffer),
        [this, it, alive = IsAlive](asio::error_code ec, std::size_t) {
          if (!*alive)
            return;
          if (ec)
            return end(*it);
          if (!std::exchange(it->HasRequest, true)) {
            ++Requests;
            it->RequestedAt = std::chrono::steady_clock::now();
            it->Block = Sent.Start;
            write(it);
          }
          read(it);
        });
  }

  void write(const std::shared_ptr<Connection> &it) {
    constexpr std::size_t BlockBytes = 16384;
    while (Sent.Pause == Span(0) && it->Block.size() < BlockBytes)
      it->Block += Sent.Repeated;
    asio::async_write(
        it->Socket, asio::buffer(it->Block),
        [this, it, alive = IsAlive](asio::error_code ec, std::size_t n) {
          if (!*alive)
            return;
          it->Bytes += n;
          MostBytes = std::max(MostBytes, it->Bytes);
          if (ec)
            return end(*it);
          if (it->Bytes >= Sent.MaxBytes)
            return;
          it->Block = Sent.Repeated;
          if (Sent.Pause == Span(0))
            return write(it);
          it->Timer.expires_after(Sent.Pause);
          it->Timer.async_wait([this, it, alive](asio::error_code ec) {
            if (*alive && !ec && !it->HasEnded)
              write(it);
          });
        });
  }

  void end(Connection &it) {
    if (std::exchange(it.HasEnded, true) || !it.HasRequest)
      return;
    ++Ended;
    LongestTime = std::max(
        LongestTime, std::chrono::duration_cast<Span>(
                         std::chrono::steady_clock::now() - it.RequestedAt));
  }

  asio::io_context &Context;
  Answer Sent;
  asio::ip::tcp::acceptor Acceptor;
  std::shared_ptr<bool> IsAlive = std::make_shared<bool>(true);
};

} // namespace hemlockglade::test
