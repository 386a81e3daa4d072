#pragma once

#include <asio/ip/tcp.hpp>
#include <string>
#include <string_view>

namespace hemlockglade {

/// Bytes that wait to be written to a socket that does not block.
class OutgoingBytes {
public:
  enum class Result : std::uint8_t {
    /// All are with the kernel.
    Done,
    /// The kernel takes no more for now.
    Waits,
    /// The connection takes nothing any more.
    Broken,
  };

  void append(std::string_view bytes) { Bytes.append(bytes); }
  bool empty() const { return Bytes.empty(); }
  std::size_t size() const { return Bytes.size() - Written; }
  /// Writes as much as the kernel takes.
  Result writeTo(asio::ip::tcp::socket &socket);

private:
  std::string Bytes;
  std::size_t Written = 0;
};

} // namespace hemlockglade
