#include "Hemlockglade/Transport/Http1/SocketOptions.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace hemlockglade {

namespace {

/// Unanswered probes after which a connection is ended, if the timeout of
/// unacknowledged bytes doesn't end it before.
constexpr int ProbeCount = 2;
constexpr int ProbeIntervalSeconds = 1;

void setTcp(asio::ip::tcp::socket &socket, int name, int value) {
  ::setsockopt(socket.native_handle(), IPPROTO_TCP, name, &value, sizeof value);
}

} // namespace

void setUpSocket(asio::ip::tcp::socket &socket,
                 const SilenceTimeouts &timeouts) {
  asio::error_code ec;
  socket.non_blocking(true, ec);
  socket.set_option(asio::ip::tcp::no_delay(true), ec);
  socket.set_option(asio::socket_base::keep_alive(true), ec);
  setTcp(socket, TCP_KEEPIDLE, static_cast<int>(timeouts.ProbeAfter.count()));
  setTcp(socket, TCP_KEEPINTVL, ProbeIntervalSeconds);
  setTcp(socket, TCP_KEEPCNT, ProbeCount);
  setTcp(socket, TCP_USER_TIMEOUT,
         static_cast<int>(timeouts.Unacknowledged.count()));
}

bool bindLocal(asio::ip::tcp::socket &socket,
               const asio::ip::address &address) {
  int on = 1;
  ::setsockopt(socket.native_handle(), IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on,
               sizeof on);
  asio::error_code ec;
  socket.bind({address, 0}, ec);
  return !ec;
}

std::optional<asio::ip::address> parseLocalAddress(const std::string &text) {
  if (text.empty())
    return std::nullopt;
  return asio::ip::make_address(text);
}

void resetSocket(asio::ip::tcp::socket &socket) {
  asio::error_code ec;
  socket.set_option(asio::socket_base::linger(true, 0), ec);
  socket.close(ec);
}

} // namespace hemlockglade
