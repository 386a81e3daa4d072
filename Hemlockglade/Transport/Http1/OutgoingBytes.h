#pragma once

#include <asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockglade {

/// Queue of bytes to write to a non-blocking socket.
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

  void append(std::string_view bytes);
  /// Shares the bytes with their owner instead of copying them, if they are
  /// many.
  void append(const std::shared_ptr<const std::string> &bytes);
  bool empty() const { return Size == 0; }
  /// Returns the number of bytes that are not written yet.
  std::size_t size() const { return Size; }
  /// Writes as many bytes as the kernel accepts. What is written is freed.
  Result writeTo(asio::ip::tcp::socket &socket);

private:
  /// Bytes of its own, or shared ones.
  struct Segment {
    std::string Own;
    std::shared_ptr<const std::string> Shared;

    std::string_view view() const { return Shared ? *Shared : Own; }
  };

  void onWritten(std::size_t n);

  std::vector<Segment> Segments;
  std::size_t Size = 0;
  /// Bytes of the first segment that are written.
  std::size_t Written = 0;
};

} // namespace hemlockglade
