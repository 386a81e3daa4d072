#pragma once

#include <asio/ip/tcp.hpp>
#include <chrono>

namespace hemlockglade {

/// How soon a connection that has gone silent is given up.
struct SilenceBounds {
  /// Sent bytes that are not acknowledged for this long end the connection.
  std::chrono::milliseconds Unacknowledged{1500};
  /// Idle time before the kernel asks for a sign of life, whole seconds.
  std::chrono::seconds ProbeAfter{2};
};

/// Sets what every connection of the product has: no delay of small writes,
/// bounds on silence, no blocking.
void setUpSocket(asio::ip::tcp::socket &socket, const SilenceBounds &bounds);

/// Ends a connection at once; what is on its way is dropped, so that a request
/// that was given up can't arrive later.
void resetSocket(asio::ip::tcp::socket &socket);

} // namespace hemlockglade
