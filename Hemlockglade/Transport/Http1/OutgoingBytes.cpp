#include "Hemlockglade/Transport/Http1/OutgoingBytes.h"

#include <array>
#include <asio/buffer.hpp>

namespace hemlockglade {

namespace {

/// Segments beyond this size get no more bytes, so that a queue that never
/// becomes empty frees what is written.
constexpr std::size_t SegmentBytes = std::size_t{64} << 10U;
/// Shared bytes below this are copied: one write then sends them with the head.
constexpr std::size_t MinSharedBytes = std::size_t{16} << 10U;
/// Size up to which an empty queue keeps its memory.
constexpr std::size_t KeptBytes = 4096;

} // namespace

void OutgoingBytes::append(std::string_view bytes) {
  if (bytes.empty())
    return;
  if (Segments.empty() || Segments.back().Shared ||
      Segments.back().Own.size() >= SegmentBytes)
    Segments.emplace_back();
  Segments.back().Own.append(bytes);
  Size += bytes.size();
}

void OutgoingBytes::append(const std::shared_ptr<const std::string> &bytes) {
  if (bytes->size() < MinSharedBytes)
    return append(std::string_view(*bytes));
  Segments.push_back({{}, bytes});
  Size += bytes->size();
}

OutgoingBytes::Result OutgoingBytes::writeTo(asio::ip::tcp::socket &socket) {
  asio::error_code ec;
  while (Size > 0 && !ec) {
    auto first = Segments.front().view().substr(Written);
    std::size_t n = 0;
    if (Segments.size() == 1) {
      n = socket.write_some(asio::buffer(first), ec);
    } else {
      auto second = Segments[1].view();
      n = socket.write_some(
          std::array{asio::buffer(first), asio::buffer(second)}, ec);
    }
    onWritten(ec ? 0 : n);
  }
  if (!ec)
    return Result::Done;
  bool wouldBlock = ec == asio::error::would_block ||
                    ec == asio::error::try_again ||
                    ec == asio::error::interrupted;
  return wouldBlock ? Result::Waits : Result::Broken;
}

void OutgoingBytes::onWritten(std::size_t n) {
  Size -= n;
  Written += n;
  if (Size == 0 && Segments.size() == 1 &&
      Segments.front().Own.capacity() <= KeptBytes &&
      !Segments.front().Shared) {
    Segments.front().Own.clear();
    Written = 0;
    return;
  }
  while (!Segments.empty() && Written >= Segments.front().view().size()) {
    Written -= Segments.front().view().size();
    Segments.erase(Segments.begin());
  }
}

} // namespace hemlockglade
