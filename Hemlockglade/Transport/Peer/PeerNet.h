#pragma once

#include "Hemlockglade/Transport/Peer/PeerLink.h"

#include <asio/io_context.hpp>
#include <map>
#include <mutex>

namespace hemlockglade {

/// Hooks of a stream that this node opens.
struct PeerHooks {
  std::function<void(std::string_view message)> OnMessage;
  std::function<void(bool clean)> OnClosed;
};

/// A node's side of the network between nodes: accepts streams from its peers
/// and opens streams to them over one connection per peer. Safe to use from any
/// thread.
class PeerNet {
public:
  /// Listens on `address:port`; port 0 stands for any free port. Throws
  /// asio::system_error if the address can't be bound.
  PeerNet(asio::io_context &context, const std::string &address,
          std::uint16_t port, PeerLink::OnStream onStream);
  ~PeerNet();
  PeerNet(const PeerNet &) = delete;
  PeerNet &operator=(const PeerNet &) = delete;

  std::uint16_t port() const { return Port; }

  /// Opens a stream to `ip:port` and sends its first message. If this fails,
  /// OnClosed is called later, never from within the call.
  std::shared_ptr<PeerStream> open(const std::string &address, std::string path,
                                   std::string message, PeerHooks hooks);
  /// Breaks the connection to a peer that does not respond, so that the next
  /// stream uses a new one.
  void drop(const std::string &address);
  /// Stops listening and breaks all connections.
  void close();

private:
  struct Shared;

  std::uint16_t Port = 0;
  std::shared_ptr<Shared> State;
};

/// Parses `ip:port`. Throws asio::system_error if it is malformed.
asio::ip::tcp::endpoint parseEndpoint(const std::string &address);

} // namespace hemlockglade
