#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <string>

namespace hemlockglade::soak {

/// A network of loopback addresses that no other test process uses, so that
/// several can run in parallel. A listener at its first address marks it as
/// used.
class LoopbackNetwork {
public:
  /// Last octet of the first gateway's address, and the first of its ports.
  static constexpr int FirstHost = 11;
  static constexpr std::uint16_t FirstPort = 7100;

  explicit LoopbackNetwork(asio::io_context &context);

  /// Returns the address of a gateway, from 0.
  std::string address(int gateway) const {
    return Prefix + std::to_string(FirstHost + gateway);
  }

private:
  /// Whether nothing listens at the first gateway's address.
  bool isFree() const;

  asio::io_context &Context;
  asio::ip::tcp::acceptor Lock;
  std::string Prefix;
};

} // namespace hemlockglade::soak
