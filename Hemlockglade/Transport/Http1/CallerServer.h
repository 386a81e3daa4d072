#pragma once

#include "Hemlockglade/Transport/Http1/CallerConnection.h"

#include <asio/ip/tcp.hpp>
#include <unordered_set>

namespace hemlockglade {

/// Listens on one address and serves the connections of callers.
class CallerServer {
public:
  /// Throws asio::system_error if the address can't be bound.
  CallerServer(asio::io_context &context,
               const asio::ip::tcp::endpoint &address,
               std::size_t maxConnections, CallerHooks hooks);
  ~CallerServer();

  std::uint16_t port() const { return Acceptor.local_endpoint().port(); }
  std::size_t connections() const { return Connections.size(); }
  /// Closes the connections that are idle between requests.
  void closeIdle();

private:
  void accept();

  asio::io_context &Context;
  asio::ip::tcp::acceptor Acceptor;
  asio::steady_timer RetryTimer;
  std::size_t MaxConnections;
  std::shared_ptr<const CallerHooks> Hooks;
  std::unordered_set<std::shared_ptr<CallerConnection>> Connections;
  /// False once the server is destroyed; pending handlers check it.
  std::shared_ptr<bool> IsAlive = std::make_shared<bool>(true);
};

} // namespace hemlockglade
