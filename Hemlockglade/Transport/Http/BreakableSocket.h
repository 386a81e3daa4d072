#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <map>
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

/// The open connections of an io_context, which can be broken by their ends.
/// Safe to use from any thread.
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

private:
  void shutdown() override {}

  std::mutex Mutex;
  std::map<ConnectionEnds, int> Descriptors;
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
    return Base::async_read_some(buffers, std::forward<Handler>(handler));
  }
  // NOLINTEND(readability-identifier-naming)
  void close() {
    unregister();
    Base::close();
  }

private:
  void registerOnce();
  void unregister();

  std::optional<ConnectionEnds> Ends;
};

} // namespace hemlockglade
