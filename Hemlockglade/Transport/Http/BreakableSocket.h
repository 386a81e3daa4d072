#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <map>
#include <mutex>
#include <optional>

namespace hemlockglade {

/// What tells the connections of one host apart: the port that was connected
/// to, and the other side.
struct ConnectionEnds {
  std::uint16_t LocalPort = 0;
  asio::ip::tcp::endpoint Remote;

  auto operator<=>(const ConnectionEnds &other) const {
    return std::tie(LocalPort, Remote) <=>
           std::tie(other.LocalPort, other.Remote);
  }
  bool operator==(const ConnectionEnds &) const = default;
};

/// The open connections of an io_context that can be broken by their ends.
/// Guarded by a lock.
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

  void enter(const ConnectionEnds &ends, int descriptor);
  void leave(const ConnectionEnds &ends, int descriptor);
  /// Shuts the connection both ways: reads of its owner end, writes fail. The
  /// descriptor stays open until its owner closes it.
  void shut(const ConnectionEnds &ends);

private:
  void shutdown() override {}

  std::mutex Mutex;
  std::map<ConnectionEnds, int> Open;
};

/// A socket that can be broken while another library owns it: RESTinio has no
/// call that ends a connection inside an answer. It enters itself when it is
/// first read from, by which time its owner no longer moves it.
class BreakableSocket : public asio::ip::tcp::socket {
  using Base = asio::ip::tcp::socket;

public:
  using Base::Base;
  BreakableSocket(BreakableSocket &&) = default;
  BreakableSocket &operator=(BreakableSocket &&) = delete;
  ~BreakableSocket() { leave(); }

  // NOLINTBEGIN(readability-identifier-naming): names of the socket's own.
  template <typename Buffers, typename Handler>
  auto async_read_some(const Buffers &buffers, Handler &&handler) {
    enter();
    return Base::async_read_some(buffers, std::forward<Handler>(handler));
  }
  // NOLINTEND(readability-identifier-naming)
  void close() {
    leave();
    Base::close();
  }

private:
  void enter();
  void leave();

  std::optional<ConnectionEnds> Ends;
};

} // namespace hemlockglade
