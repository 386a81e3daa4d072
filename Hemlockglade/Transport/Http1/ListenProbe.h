#pragma once

#include "Hemlockglade/State/Ids.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>

namespace hemlockglade {

/// What a try to connect to an address shows.
enum class Listening : std::uint8_t {
  /// A process listens there.
  Yes,
  /// The host refuses: no process does.
  No,
  /// No answer in time.
  Unknown,
};

/// Finds out whether a process listens at an address; sends it nothing.
void probeListener(asio::io_context &context,
                   const asio::ip::tcp::endpoint &address, Span timeout,
                   std::function<void(Listening)> done);

} // namespace hemlockglade
