#include "Hemlockglade/Transport/Http1/OutgoingBytes.h"

#include <asio/buffer.hpp>

namespace hemlockglade {

OutgoingBytes::Result OutgoingBytes::writeTo(asio::ip::tcp::socket &socket) {
  asio::error_code ec;
  while (Written < Bytes.size() && !ec) {
    auto rest = asio::buffer(Bytes.data() + Written, Bytes.size() - Written);
    auto n = socket.write_some(rest, ec);
    Written += ec ? 0 : n;
  }
  bool wouldBlock = ec == asio::error::would_block ||
                    ec == asio::error::try_again ||
                    ec == asio::error::interrupted;
  if (ec && !wouldBlock)
    return Result::Broken;
  if (Written < Bytes.size())
    return Result::Waits;
  Bytes.clear();
  Written = 0;
  return Result::Done;
}

} // namespace hemlockglade
