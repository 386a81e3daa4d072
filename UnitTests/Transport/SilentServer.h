#pragma once

#include "UnitTests/Transport/Loopback.h"

namespace hemlockglade {

/// A server of one connection that reads nothing. It does all that a test says
/// before the caller runs again.
struct SilentServer : Loopback {
  SilentServer() : Acceptor(Context, localhost(0)), Server(Context) {
    Acceptor.async_accept(Server,
                          [this](asio::error_code ec) { IsAccepted = !ec; });
  }

  /// Runs until the beginning of a request is there, and nothing else can be
  /// sent.
  void awaitRequest() {
    REQUIRE(until([this] { return IsAccepted && Server.available() > 0; }));
    settle();
  }
  void answer(const std::string &bytes) {
    asio::write(Server, asio::buffer(bytes));
  }
  void reset() {
    Server.set_option(asio::socket_base::linger(true, 0));
    Server.close();
  }

  /// Size of a request that is more than the kernel takes at once.
  static constexpr std::size_t UploadBytes = std::size_t{32} * 1024 * 1024;

  asio::ip::tcp::acceptor Acceptor;
  asio::ip::tcp::socket Server;
  bool IsAccepted = false;
};

/// The beginning of an answer without a length.
inline const std::string EarlyPart =
    "HTTP/1.1 200 OK\r\n\r\n" + std::string(1000, 'a');

} // namespace hemlockglade
