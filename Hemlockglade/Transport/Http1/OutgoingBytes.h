#pragma once

#include <asio/ip/tcp.hpp>
#include <string>
#include <string_view>

namespace hemlockglade {

/// Buffer of bytes to write to a non-blocking socket.
class OutgoingBytes {
public:
  enum class Result : std::uint8_t {
    /// The kernel has accepted all bytes.
    Done,
    /// The kernel accepts no more bytes for now.
    Waits,
    /// The connection is broken.
    Broken,
  };

  void append(std::string_view bytes) { Bytes.append(bytes); }
  bool empty() const { return Bytes.empty(); }
  std::size_t size() const { return Bytes.size() - Written; }
  /// Writes as many bytes as the kernel accepts.
  Result writeTo(asio::ip::tcp::socket &socket);

private:
  std::string Bytes;
  std::size_t Written = 0;
};

} // namespace hemlockglade
