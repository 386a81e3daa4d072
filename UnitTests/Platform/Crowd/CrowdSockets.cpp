#include "UnitTests/Platform/Crowd/CrowdSockets.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace hemlockglade::crowd {

namespace {

/// Ends a test that hangs; no test waits for it.
constexpr int GuardMs = 60'000;
/// After this long without progress the other side doesn't read any more.
constexpr int StallMs = 2000;

int connectTo(std::string_view address, bool reads = true) {
  auto colon = address.rfind(':');
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(static_cast<std::uint16_t>(
      std::stoi(std::string(address.substr(colon + 1)))));
  ::inet_pton(AF_INET, std::string(address.substr(0, colon)).c_str(),
              &to.sin_addr);
  int out = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  constexpr int SmallBuffer = 4096;
  if (!reads)
    ::setsockopt(out, SOL_SOCKET, SO_RCVBUF, &SmallBuffer, sizeof SmallBuffer);
  if (out >= 0 &&
      ::connect(out, reinterpret_cast<const sockaddr *>(&to), sizeof to) != 0) {
    ::close(out);
    return -1;
  }
  return out;
}

bool wouldBlock() { return errno == EAGAIN || errno == EWOULDBLOCK; }

} // namespace

CrowdSockets::CrowdSockets(std::string_view address, int count, Script script)
    : Told(std::move(script)) {
  for (int it = 0; it < count; ++it) {
    Clients.push_back({connectTo(address, Told.Reads), 0});
    if (Clients.back().Descriptor >= 0)
      ::fcntl(Clients.back().Descriptor, F_SETFL, O_NONBLOCK);
  }
}

std::size_t CrowdSockets::scriptBytes() const {
  return Told.Prefix.size() + Told.Pieces * Told.Piece.size() +
         Told.Suffix.size();
}

std::string_view CrowdSockets::partAt(std::size_t position) const {
  if (position < Told.Prefix.size())
    return std::string_view(Told.Prefix).substr(position);
  position -= Told.Prefix.size();
  if (position < Told.Pieces * Told.Piece.size())
    return std::string_view(Told.Piece).substr(position % Told.Piece.size());
  position -= Told.Pieces * Told.Piece.size();
  return std::string_view(Told.Suffix).substr(position);
}

void CrowdSockets::closeClient(Client &client) {
  if (client.Descriptor >= 0)
    ::close(client.Descriptor);
  client.Descriptor = -1;
}

bool CrowdSockets::advance(Client &client) {
  std::array<char, 65536> buf{};
  bool progress = false;
  while (Told.Reads && client.Descriptor >= 0) {
    auto n = ::recv(client.Descriptor, buf.data(), buf.size(), 0);
    if (n < 0 && wouldBlock())
      break;
    progress = true;
    if (n <= 0)
      closeClient(client);
  }
  // Small pieces are joined, so that the crowd is quicker than the server.
  std::size_t n = 0;
  while (n < buf.size() && client.Sent + n < scriptBytes()) {
    auto part = partAt(client.Sent + n).substr(0, buf.size() - n);
    std::copy(part.begin(), part.end(), buf.data() + n);
    n += part.size();
  }
  if (client.Descriptor < 0 || n == 0)
    return progress;
  auto sent = ::send(client.Descriptor, buf.data(), n, MSG_NOSIGNAL);
  if (sent < 0 && wouldBlock())
    return progress;
  if (sent < 0) {
    closeClient(client);
    return true;
  }
  client.Sent += static_cast<std::size_t>(sent);
  SentBytes += static_cast<std::size_t>(sent);
  return true;
}

void CrowdSockets::send() {
  for (;;) {
    bool progress = false;
    std::vector<pollfd> waiting;
    for (auto &it : Clients) {
      progress = advance(it) || progress;
      if (it.Descriptor >= 0 && it.Sent < scriptBytes())
        waiting.push_back({it.Descriptor, POLLOUT, 0});
    }
    if (waiting.empty())
      return;
    if (!progress && ::poll(waiting.data(), waiting.size(), StallMs) == 0)
      return;
  }
}

int CrowdSockets::openCount() {
  int out = 0;
  for (auto &it : Clients) {
    char first = 0;
    auto n = it.Descriptor < 0
                 ? 0
                 : ::recv(it.Descriptor, &first, 1, MSG_PEEK | MSG_DONTWAIT);
    out += n > 0 || (n < 0 && wouldBlock()) ? 1 : 0;
  }
  return out;
}

void CrowdSockets::close() {
  for (auto &it : Clients)
    closeClient(it);
}

std::string callOnce(std::string_view address, std::string_view request) {
  int descriptor = connectTo(address);
  if (descriptor < 0)
    return {};
  timeval guard{GuardMs / 1000, 0};
  ::setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &guard, sizeof guard);
  std::string out;
  std::array<char, 4096> buf{};
  auto n = ::send(descriptor, request.data(), request.size(), MSG_NOSIGNAL);
  while (n > 0) {
    n = ::recv(descriptor, buf.data(), buf.size(), 0);
    if (n > 0)
      out.append(buf.data(), static_cast<std::size_t>(n));
  }
  ::close(descriptor);
  return out;
}

} // namespace hemlockglade::crowd
