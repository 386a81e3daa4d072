#pragma once

#include "Hemlockglade/Transport/Http1/HttpConnection.h"

#include <map>

namespace hemlockglade {

/// Kept connections of one process to the addresses that it calls.
class HttpPool {
public:
  struct Settings {
    HttpConnection::Settings Connection;
    /// Idle connections kept for an address.
    std::size_t MaxIdle = 64;
    /// An idle connection is dropped after this long, if the other side named
    /// no time of its own.
    Span IdleBound = std::chrono::seconds(8);
    /// How much earlier than the other side an idle connection is given up, so
    /// that a call doesn't cross its end.
    Span IdleMargin = std::chrono::milliseconds(500);
  };

  HttpPool(asio::io_context &context, Settings settings)
      : Context(context), Setup(settings) {}

  /// A connection for one call: an idle one that rested for at most `mostIdle`,
  /// or a new one.
  std::shared_ptr<HttpConnection> take(const asio::ip::tcp::endpoint &address,
                                       Span mostIdle = Span::max());
  /// Gives a connection back after its call.
  void give(const std::shared_ptr<HttpConnection> &connection);
  /// Drops the idle connections to an address.
  void drop(const asio::ip::tcp::endpoint &address);
  /// Drops idle connections that are past their time.
  void tidy();

private:
  Span idleBound(const HttpConnection &connection) const;

  asio::io_context &Context;
  Settings Setup;
  std::map<asio::ip::tcp::endpoint,
           std::vector<std::shared_ptr<HttpConnection>>>
      Idle;
};

} // namespace hemlockglade
