#pragma once

#include "Hemlockglade/Transport/Http1/CallerConnection.h"

#include <asio/ip/tcp.hpp>
#include <unordered_set>

namespace hemlockglade {

/// Listens on one address and serves the connections of callers. When all
/// places are taken, a new connection gets that of the one which has been idle
/// between requests for the longest time, else of the incomplete request that
/// has come most slowly. One with a running request is never closed for it.
class CallerServer {
public:
  /// Throws asio::system_error if the address can't be bound.
  CallerServer(asio::io_context &context,
               const asio::ip::tcp::endpoint &address,
               std::size_t maxConnections, CallerHooks hooks);
  ~CallerServer();

  std::uint16_t port() const { return Acceptor.local_endpoint().port(); }
  std::size_t connections() const { return Connections.size(); }
  /// Returns the number of connections since the start that were closed to make
  /// room: idle ones, and those with an incomplete request.
  std::uint64_t closedIdle() const { return ClosedIdle; }
  std::uint64_t closedIncomplete() const { return ClosedIncomplete; }
  /// Returns the number of connections since the start that got no place.
  std::uint64_t turnedAway() const { return TurnedAway; }
  /// Closes the connections that are idle between requests.
  void closeIdle();

private:
  void accept();
  /// Closes a connection to make room; returns false if none may be.
  bool makeRoom();

  asio::io_context &Context;
  asio::ip::tcp::acceptor Acceptor;
  asio::steady_timer RetryTimer;
  std::size_t MaxConnections;
  std::uint64_t ClosedIdle = 0;
  std::uint64_t ClosedIncomplete = 0;
  std::uint64_t TurnedAway = 0;
  std::shared_ptr<const CallerHooks> Hooks;
  std::unordered_set<std::shared_ptr<CallerConnection>> Connections;
  /// False once the server is destroyed; pending handlers check it.
  std::shared_ptr<bool> IsAlive = std::make_shared<bool>(true);
};

} // namespace hemlockglade
