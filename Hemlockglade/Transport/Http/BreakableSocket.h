#pragma once

#include "Hemlockglade/Transport/Http/HttpServer.h"

#include <asio/bind_executor.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

namespace hemlockglade {

/// Identifies a connection on this host: the local port that was connected to,
/// and the remote endpoint.
struct ConnectionEnds {
  std::uint16_t LocalPort = 0;
  asio::ip::tcp::endpoint Remote;

  auto operator<=>(const ConnectionEnds &other) const {
    return std::tie(LocalPort, Remote) <=>
           std::tie(other.LocalPort, other.Remote);
  }
  bool operator==(const ConnectionEnds &) const = default;
};

/// The open connections of an io_context, which can be broken by their ends. It
/// accounts for the requests and unread answers that they hold, and breaks
/// those that hold too much. Safe to use from any thread.
class BreakableSockets : public asio::execution_context::service {
public:
  // NOLINTBEGIN(readability-identifier-naming): Asio's names for a service.
  using key_type = BreakableSockets;
  static inline asio::execution_context::id id;
  // NOLINTEND(readability-identifier-naming)

  explicit BreakableSockets(asio::execution_context &context)
      : asio::execution_context::service(context) {}

  static BreakableSockets &of(asio::execution_context &context) {
    return asio::use_service<BreakableSockets>(context);
  }

  void add(const ConnectionEnds &ends, int descriptor);
  void remove(const ConnectionEnds &ends, int descriptor);
  /// Shuts the connection down in both directions: its owner's reads end and
  /// its writes fail. The descriptor stays open until its owner closes it.
  void breakConnection(const ConnectionEnds &ends);

  /// Sets the limit of the bytes that requests hold over all connections.
  void setMaxHeldBytes(std::size_t bytes);
  /// Called with what a connection has received. When all requests hold too
  /// much, the connection whose incomplete request holds the most is broken.
  void onReceived(const ConnectionEnds &ends, std::size_t bytes);
  /// Called when a request is complete. Returns what accounts for it until it
  /// is released; null if all whole requests would hold too much.
  std::shared_ptr<void> onRequest(const ConnectionEnds &ends,
                                  std::size_t bodyBytes);
  /// Sets the limit of the bytes of answers that callers have not read.
  void setMaxUnreadBytes(std::size_t bytes);
  /// Called when an answer, or a part of one, is to be written. Returns what
  /// accounts for it until it is released. When all of them hold too much,
  /// those of other connections are broken of which nothing was taken for the
  /// longest time.
  std::shared_ptr<void> onAnswer(const ConnectionEnds &ends, std::size_t bytes);
  /// Called when a connection has taken bytes of an answer.
  void onTaken(const ConnectionEnds &ends);
  /// Breaks the connection without a running request that has been idle for the
  /// longest time, else the one that has received the least of its request.
  void makeRoom();
  HttpServerLoad load();

private:
  struct Connection {
    int Descriptor = -1;
    /// Bytes that its incomplete request holds.
    std::size_t Incomplete = 0;
    std::size_t Running = 0;
    std::chrono::steady_clock::time_point IdleSince;
    /// Bytes of its answers that are not written yet, and when the last of them
    /// was.
    std::size_t Unread = 0;
    std::chrono::steady_clock::time_point TakenAt;
    /// Distinguishes it from later connections between the same ends.
    std::uint64_t Number = 0;
    bool Broken = false;
  };

  void shutdown() override {}
  void breakOne(Connection &connection);
  void onRequestEnd(const ConnectionEnds &ends, std::size_t bytes);
  void onAnswerEnd(const ConnectionEnds &ends, std::uint64_t number,
                   std::size_t bytes);
  /// Breaks one connection with unread answers, other than the given one;
  /// returns false if there is none.
  bool breakUnread(const Connection &other);

  std::mutex Mutex;
  std::map<ConnectionEnds, Connection> Connections;
  std::size_t MaxHeldBytes = std::numeric_limits<std::size_t>::max();
  /// Bytes of incomplete requests on connections that are not broken.
  std::size_t Incomplete = 0;
  std::size_t Whole = 0;
  std::size_t MaxUnreadBytes = std::numeric_limits<std::size_t>::max();
  /// Bytes of unread answers on connections that are not broken.
  std::size_t Unread = 0;
  std::uint64_t LastNumber = 0;
  /// Its counts; the bytes are set as they are asked for.
  HttpServerLoad Load;
};

/// A socket whose connection can be broken while another library owns it, since
/// RESTinio has no call that ends a connection within an answer. It registers
/// itself in `BreakableSockets` at its first read, after which its owner no
/// longer moves it.
class BreakableSocket : public asio::ip::tcp::socket {
  using Base = asio::ip::tcp::socket;

public:
  using Base::Base;
  BreakableSocket(BreakableSocket &&) = default;
  BreakableSocket &operator=(BreakableSocket &&) = delete;
  ~BreakableSocket() { unregister(); }

  // NOLINTBEGIN(readability-identifier-naming): names of the socket's own.
  template <typename Buffers, typename Handler>
  auto async_read_some(const Buffers &buffers, Handler &&handler) {
    registerOnce();
    auto executor = asio::get_associated_executor(handler, get_executor());
    return Base::async_read_some(
        buffers,
        asio::bind_executor(
            executor, [this, handler = std::forward<Handler>(handler)](
                          const asio::error_code &ec, std::size_t n) mutable {
              onReceived(n);
              handler(ec, n);
            }));
  }
  template <typename Buffers, typename Handler>
  auto async_write_some(const Buffers &buffers, Handler &&handler) {
    auto executor = asio::get_associated_executor(handler, get_executor());
    return Base::async_write_some(
        buffers,
        asio::bind_executor(
            executor, [this, handler = std::forward<Handler>(handler)](
                          const asio::error_code &ec, std::size_t n) mutable {
              onTaken(n);
              handler(ec, n);
            }));
  }
  // NOLINTEND(readability-identifier-naming)
  void close() {
    unregister();
    Base::close();
  }

private:
  void registerOnce();
  void unregister();
  void onReceived(std::size_t bytes);
  void onTaken(std::size_t bytes);

  std::optional<ConnectionEnds> Ends;
};

} // namespace hemlockglade
