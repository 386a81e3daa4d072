#pragma once

#include "Hemlockglade/State/Ids.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <optional>

namespace hemlockglade {

/// Result of connecting to an address.
enum class Listening : std::uint8_t {
  /// A process listens at the address.
  Yes,
  /// The host refused the connection: no process listens.
  No,
  /// There was no answer within the timeout, or another error.
  Unknown,
};

/// Probes whether a process listens at an address. Connects only and sends no
/// bytes. `local` is the address that it connects from, if set.
void probeListener(asio::io_context &context,
                   const asio::ip::tcp::endpoint &address, Span timeout,
                   std::function<void(Listening)> done,
                   const std::optional<asio::ip::address> &local = {});

/// The same for a process that may be ending just now. Its listener may outlive
/// its connections for a moment, and a connection that is made while the
/// listener closes may be dropped without a reset. The probe ends its side of
/// the connection: a process that listens ends the other side, and a host
/// without one resets the connection. One that still stands after `settleTime`
/// counts as accepted; after a reset a second connection decides.
void probeEnding(asio::io_context &context,
                 const asio::ip::tcp::endpoint &address, Span timeout,
                 Span settleTime, std::function<void(Listening)> done,
                 const std::optional<asio::ip::address> &local = {});

} // namespace hemlockglade
