#include "Hemlockglade/Transport/Http/BreakableSocket.h"

#include <sys/socket.h>

namespace hemlockglade {

void BreakableSockets::enter(const ConnectionEnds &ends, int descriptor) {
  std::lock_guard lock(Mutex);
  Open[ends] = descriptor;
}

void BreakableSockets::leave(const ConnectionEnds &ends, int descriptor) {
  std::lock_guard lock(Mutex);
  auto it = Open.find(ends);
  if (it != Open.end() && it->second == descriptor)
    Open.erase(it);
}

void BreakableSockets::shut(const ConnectionEnds &ends) {
  // Under the lock, so that the descriptor can't have become another's.
  std::lock_guard lock(Mutex);
  auto it = Open.find(ends);
  if (it != Open.end())
    ::shutdown(it->second, SHUT_RDWR);
}

void BreakableSocket::enter() {
  if (Ends)
    return;
  asio::error_code ec;
  auto local = local_endpoint(ec);
  auto remote = ec ? asio::ip::tcp::endpoint() : remote_endpoint(ec);
  // One that has no other side any more is broken already.
  if (ec)
    return;
  Ends = ConnectionEnds{local.port(), remote};
  BreakableSockets::of(get_executor().context()).enter(*Ends, native_handle());
}

void BreakableSocket::leave() {
  if (!Ends)
    return;
  BreakableSockets::of(get_executor().context()).leave(*Ends, native_handle());
  Ends.reset();
}

} // namespace hemlockglade
