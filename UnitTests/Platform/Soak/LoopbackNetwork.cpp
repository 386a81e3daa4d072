#include "UnitTests/Platform/Soak/LoopbackNetwork.h"

#include <stdexcept>
#include <unistd.h>

namespace hemlockglade::soak {

LoopbackNetwork::LoopbackNetwork(asio::io_context &context)
    : Context(context), Lock(context) {
  constexpr int Networks = 200;
  constexpr std::uint16_t LockPort = 7099;
  for (int it = 0; it < Networks; ++it) {
    Prefix = "127." + std::to_string(2 + (::getpid() + it) % Networks) + ".0.";
    asio::error_code ec;
    Lock.open(asio::ip::tcp::v4(), ec);
    Lock.bind({asio::ip::make_address(Prefix + "1"), LockPort}, ec);
    if (!ec)
      Lock.listen(1, ec);
    if (!ec && isFree())
      return;
    Lock.close();
  }
  throw std::runtime_error("no loopback network is free");
}

bool LoopbackNetwork::isFree() const {
  // Gateways of a soak that was killed may still run there.
  asio::ip::tcp::socket socket(Context);
  asio::error_code ec;
  socket.connect({asio::ip::make_address(address(0)), FirstPort}, ec);
  return bool(ec);
}

} // namespace hemlockglade::soak
