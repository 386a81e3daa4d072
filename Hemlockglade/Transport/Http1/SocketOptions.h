#pragma once

#include <asio/ip/tcp.hpp>
#include <chrono>
#include <optional>
#include <string>

namespace hemlockglade {

/// Timeouts after which a connection to an unresponsive host is ended.
struct SilenceTimeouts {
  /// Time for which sent bytes may remain unacknowledged. It also ends an idle
  /// connection whose probes are not answered, whatever their count. Longer
  /// than a healthy replica may be silent.
  std::chrono::milliseconds Unacknowledged{3500};
  /// Idle time before the kernel sends the first keep-alive probe, in whole
  /// seconds.
  std::chrono::seconds ProbeAfter{2};
};

/// Sets the options of every connection of the product: no delay of small
/// writes, timeouts for unresponsive hosts, and non-blocking.
void setUpSocket(asio::ip::tcp::socket &socket,
                 const SilenceTimeouts &timeouts);

/// Binds an open socket to a local address, with a port that the kernel chooses
/// as it connects. Returns whether the host has the address.
bool bindLocal(asio::ip::tcp::socket &socket, const asio::ip::address &address);

/// Parses the text of a local address; nothing if it is empty. Throws
/// asio::system_error if it is no address.
std::optional<asio::ip::address> parseLocalAddress(const std::string &text);

/// Resets a connection. Unsent bytes are dropped, so that a request that timed
/// out can't arrive later.
void resetSocket(asio::ip::tcp::socket &socket);

} // namespace hemlockglade
