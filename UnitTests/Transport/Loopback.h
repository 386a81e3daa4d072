#pragma once

#include "Hemlockglade/Transport/Transport.h"

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

namespace hemlockglade {

/// An io_context that a test runs step by step. The result of a test depends on
/// what happened, never on how long it took; the timeout only ends a test that
/// would hang.
class Loopback {
public:
  /// Runs handlers until the condition holds; returns false on timeout.
  bool until(const std::function<bool()> &condition) {
    auto bound = std::chrono::steady_clock::now() + HangTimeout;
    while (!condition() && std::chrono::steady_clock::now() < bound) {
      Context.restart();
      Context.run_one_until(bound);
    }
    return condition();
  }

  /// The same for a condition that opens connections: it is checked at an
  /// interval, since each connection holds its port for a minute after its end.
  bool untilPolled(const std::function<bool()> &condition) {
    constexpr auto Interval = std::chrono::milliseconds(10);
    auto bound = std::chrono::steady_clock::now() + HangTimeout;
    bool holds = condition();
    while (!holds && std::chrono::steady_clock::now() < bound) {
      Context.restart();
      Context.run_for(Interval);
      holds = condition();
    }
    return holds;
  }

  /// Runs all ready handlers, `rounds` times. Before each round it makes a
  /// connection of its own, so that data sent before has arrived.
  void settle(int rounds = 3) {
    for (int it = 0; it < rounds; ++it) {
      asio::ip::tcp::acceptor acceptor(Context, localhost(0));
      asio::ip::tcp::socket socket(Context);
      bool connected = false;
      acceptor.async_accept([](asio::error_code, asio::ip::tcp::socket) {});
      socket.async_connect(
          acceptor.local_endpoint(),
          [&connected](asio::error_code) { connected = true; });
      until([&connected] { return connected; });
      // A reset gives the ports back at once.
      asio::error_code ec;
      socket.set_option(asio::socket_base::linger(true, 0), ec);
      Context.restart();
      Context.poll();
    }
  }

  static asio::ip::tcp::endpoint localhost(std::uint16_t port) {
    return {asio::ip::make_address("127.0.0.1"), port};
  }
  static std::string address(std::uint16_t port) {
    return "127.0.0.1:" + std::to_string(port);
  }
  static std::string url(std::uint16_t port, const std::string &path = "/") {
    return "http://" + address(port) + path;
  }

  /// Returns a port that no socket listens on.
  std::uint16_t deadPort() {
    asio::ip::tcp::acceptor acceptor(Context, localhost(0));
    return acceptor.local_endpoint().port();
  }

  asio::io_context Context;

private:
  static constexpr auto HangTimeout = std::chrono::seconds(20);
};

/// A plain TCP connection that collects the bytes it reads.
class RawPeer : public std::enable_shared_from_this<RawPeer> {
public:
  explicit RawPeer(asio::ip::tcp::socket socket) : Socket(std::move(socket)) {}

  static std::shared_ptr<RawPeer> to(asio::io_context &context,
                                     std::uint16_t port) {
    asio::ip::tcp::socket socket(context);
    socket.connect(Loopback::localhost(port));
    auto peer = std::make_shared<RawPeer>(std::move(socket));
    peer->read();
    return peer;
  }

  void read() {
    Socket.async_read_some(
        asio::buffer(Buffer),
        [self = shared_from_this()](asio::error_code ec, std::size_t n) {
          self->Text.append(self->Buffer.data(), n);
          self->Closed = bool(ec);
          if (self->OnText)
            self->OnText(*self);
          if (!ec && self->Socket.is_open())
            self->read();
        });
  }

  void send(std::string data) {
    auto buffer = std::make_shared<std::string>(std::move(data));
    asio::async_write(Socket, asio::buffer(*buffer),
                      [buffer](asio::error_code, std::size_t) {});
  }

  void shut() {
    asio::error_code ec;
    Socket.close(ec);
  }

  bool has(std::string_view text) const {
    return Text.find(text) != std::string::npos;
  }

  std::string Text;
  bool Closed = false;
  std::function<void(RawPeer &)> OnText;

private:
  asio::ip::tcp::socket Socket;
  std::array<char, 65536> Buffer;
};

/// Accepts plain TCP connections.
class RawServer {
public:
  RawServer(asio::io_context &context, std::function<void(RawPeer &)> onText)
      : Acceptor(context, Loopback::localhost(0)), OnText(std::move(onText)) {
    accept();
  }
  ~RawServer() {
    for (auto &peer : Peers) {
      peer->OnText = nullptr;
      peer->shut();
    }
  }
  std::uint16_t port() const { return Acceptor.local_endpoint().port(); }

  std::vector<std::shared_ptr<RawPeer>> Peers;

private:
  void accept() {
    Acceptor.async_accept(
        [this](asio::error_code ec, asio::ip::tcp::socket socket) {
          if (ec)
            return;
          Peers.push_back(std::make_shared<RawPeer>(std::move(socket)));
          Peers.back()->OnText = OnText;
          Peers.back()->read();
          accept();
        });
  }

  asio::ip::tcp::acceptor Acceptor;
  std::function<void(RawPeer &)> OnText;
};

/// One answer as reported by the client's hooks.
struct Answer {
  HttpFields Fields;
  std::string Body;
  HttpResult Result;
  int Heads = 0;
  int Ends = 0;

  HttpHooks hooks() {
    HttpHooks hooks;
    hooks.OnHead = [this](int, const HttpFields &fields) {
      ++Heads;
      Fields = fields;
    };
    hooks.OnPart = [this](std::string_view part) {
      Body.append(part);
      return true;
    };
    hooks.OnDone = [this](const HttpResult &result) {
      ++Ends;
      Result = result;
    };
    return hooks;
  }
};

} // namespace hemlockglade
