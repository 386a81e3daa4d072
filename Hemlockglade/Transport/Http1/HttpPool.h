#pragma once

#include "Hemlockglade/Transport/Http1/HttpConnection.h"

#include <map>

namespace hemlockglade {

/// Pool of one process's idle connections to the addresses that it calls.
class HttpPool {
public:
  struct Settings {
    HttpConnection::Settings Connection;
    /// Maximum idle connections per address.
    std::size_t MaxIdlePerAddress = 64;
    /// Time after which an idle connection is closed. The other side may
    /// announce a shorter one.
    Span IdleTimeout = std::chrono::seconds(8);
    /// How much earlier than the other side this one closes an idle connection,
    /// so that no request is sent while the other side closes it.
    Span IdleMargin = std::chrono::milliseconds(500);
  };

  HttpPool(asio::io_context &context, Settings settings)
      : Context(context), Options(std::move(settings)) {}

  /// Returns a connection for one call: one that has been idle for less than
  /// `maxIdleTime`, or a new one. With a key, one from which it isn't excluded.
  std::shared_ptr<HttpConnection>
  take(const asio::ip::tcp::endpoint &address, Span maxIdleTime = Span::max(),
       std::optional<std::uint64_t> key = std::nullopt);
  /// Returns a new connection.
  std::shared_ptr<HttpConnection> open(const asio::ip::tcp::endpoint &address);
  /// Returns a connection to the pool after its call.
  void give(const std::shared_ptr<HttpConnection> &connection);
  /// Closes the idle connections to an address.
  void drop(const asio::ip::tcp::endpoint &address);
  /// Closes connections that have been idle for too long.
  void tidy();

private:
  Span idleTimeoutOf(const HttpConnection &connection) const;

  asio::io_context &Context;
  Settings Options;
  std::map<asio::ip::tcp::endpoint,
           std::vector<std::shared_ptr<HttpConnection>>>
      Idle;
};

} // namespace hemlockglade
