#include "Hemlockglade/Transport/Peer/PeerStream.h"

#include "Hemlockglade/Transport/Peer/PeerLink.h"

namespace hemlockglade {

PeerStream::PeerStream(std::weak_ptr<PeerLink> link, std::string path)
    : Link(std::move(link)), Path(std::move(path)) {}

void PeerStream::send(std::string message) {
  if (auto link = Link.lock())
    link->send(*this, std::move(message));
}

void PeerStream::close() {
  if (auto link = Link.lock())
    link->close(*this);
}

} // namespace hemlockglade
