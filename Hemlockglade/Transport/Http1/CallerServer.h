#pragma once

#include "Hemlockglade/Transport/Http1/CallerConnection.h"

#include <asio/ip/tcp.hpp>
#include <unordered_set>

namespace hemlockglade {

/// Listens on one address and serves the connections that come.
class CallerServer {
public:
  /// Throws asio::system_error if the address can't be bound.
  CallerServer(asio::io_context &context,
               const asio::ip::tcp::endpoint &address,
               std::size_t maxConnections, CallerHooks hooks);
  ~CallerServer();

  std::uint16_t port() const { return Acceptor.local_endpoint().port(); }
  std::size_t connections() const { return Connections.size(); }
  /// Ends the connections that rest between requests.
  void closeIdle();

private:
  void accept();

  asio::io_context &Context;
  asio::ip::tcp::acceptor Acceptor;
  asio::steady_timer Retry;
  std::size_t MaxConnections;
  std::shared_ptr<const CallerHooks> Hooks;
  std::unordered_set<std::shared_ptr<CallerConnection>> Connections;
  /// Tells handlers that come late whether the server still lives.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace hemlockglade
