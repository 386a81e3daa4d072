#include "Hemlockglade/Transport/Http/BreakableSocket.h"

#include <sys/socket.h>

namespace hemlockglade {

void BreakableSockets::add(const ConnectionEnds &ends, int descriptor) {
  std::lock_guard lock(Mutex);
  Descriptors[ends] = descriptor;
}

void BreakableSockets::remove(const ConnectionEnds &ends, int descriptor) {
  std::lock_guard lock(Mutex);
  auto it = Descriptors.find(ends);
  if (it != Descriptors.end() && it->second == descriptor)
    Descriptors.erase(it);
}

void BreakableSockets::breakConnection(const ConnectionEnds &ends) {
  // Under the lock, so that the descriptor can't be closed and reused for
  // another connection meanwhile.
  std::lock_guard lock(Mutex);
  auto it = Descriptors.find(ends);
  if (it != Descriptors.end())
    ::shutdown(it->second, SHUT_RDWR);
}

void BreakableSocket::registerOnce() {
  if (Ends)
    return;
  asio::error_code ec;
  auto local = local_endpoint(ec);
  auto remote = ec ? asio::ip::tcp::endpoint() : remote_endpoint(ec);
  // A socket without a remote endpoint is disconnected already.
  if (ec)
    return;
  Ends = ConnectionEnds{local.port(), remote};
  BreakableSockets::of(get_executor().context()).add(*Ends, native_handle());
}

void BreakableSocket::unregister() {
  if (!Ends)
    return;
  BreakableSockets::of(get_executor().context()).remove(*Ends, native_handle());
  Ends.reset();
}

} // namespace hemlockglade
