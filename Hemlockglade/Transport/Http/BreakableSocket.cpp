#include "Hemlockglade/Transport/Http/BreakableSocket.h"

#include <sys/socket.h>
#include <tuple>
#include <utility>

namespace hemlockglade {

namespace {

/// What a request holds of what it has received: its buffer doubles as it
/// grows, and a whole body is handed on as a copy.
constexpr std::size_t HeldPerReceived = 2;

} // namespace

void BreakableSockets::add(const ConnectionEnds &ends, int descriptor) {
  std::lock_guard lock(Mutex);
  auto &it = Connections[ends];
  it = {};
  it.Descriptor = descriptor;
  it.IdleSince = std::chrono::steady_clock::now();
  it.Number = ++LastNumber;
}

void BreakableSockets::remove(const ConnectionEnds &ends, int descriptor) {
  std::lock_guard lock(Mutex);
  auto it = Connections.find(ends);
  if (it == Connections.end() || it->second.Descriptor != descriptor)
    return;
  if (!it->second.Broken) {
    Incomplete -= it->second.Incomplete;
    Unread -= it->second.Unread;
  }
  Connections.erase(it);
}

void BreakableSockets::breakConnection(const ConnectionEnds &ends) {
  // Under the lock, so that the descriptor can't be closed and reused for
  // another connection meanwhile.
  std::lock_guard lock(Mutex);
  auto it = Connections.find(ends);
  if (it != Connections.end())
    breakOne(it->second);
}

void BreakableSockets::breakOne(Connection &connection) {
  ::shutdown(connection.Descriptor, SHUT_RDWR);
  if (std::exchange(connection.Broken, true))
    return;
  Incomplete -= connection.Incomplete;
  Unread -= connection.Unread;
}

void BreakableSockets::setMaxHeldBytes(std::size_t bytes) {
  std::lock_guard lock(Mutex);
  MaxHeldBytes = bytes;
}

void BreakableSockets::onReceived(const ConnectionEnds &ends,
                                  std::size_t bytes) {
  std::lock_guard lock(Mutex);
  auto found = Connections.find(ends);
  if (found == Connections.end() || found->second.Broken)
    return;
  found->second.Incomplete += bytes * HeldPerReceived;
  Incomplete += bytes * HeldPerReceived;
  if (Incomplete + Whole <= MaxHeldBytes)
    return;
  Connection *largest = &found->second;
  for (auto &[key, it] : Connections)
    if (!it.Broken && it.Incomplete > largest->Incomplete)
      largest = &it;
  ++Load.EndedRequests;
  breakOne(*largest);
}

std::shared_ptr<void> BreakableSockets::onRequest(const ConnectionEnds &ends,
                                                  std::size_t bodyBytes) {
  auto bytes = bodyBytes * HeldPerReceived;
  std::lock_guard lock(Mutex);
  auto it = Connections.find(ends);
  bool isKnown = it != Connections.end();
  if (isKnown) {
    if (!it->second.Broken)
      Incomplete -= it->second.Incomplete;
    it->second.Incomplete = 0;
  }
  if (bytes > 0 && Whole + bytes > MaxHeldBytes) {
    ++Load.EndedRequests;
    return nullptr;
  }
  Whole += bytes;
  if (isKnown)
    ++it->second.Running;
  return {this, [this, ends, bytes](void *) { onRequestEnd(ends, bytes); }};
}

void BreakableSockets::onRequestEnd(const ConnectionEnds &ends,
                                    std::size_t bytes) {
  std::lock_guard lock(Mutex);
  Whole -= bytes;
  auto it = Connections.find(ends);
  if (it == Connections.end() || it->second.Running == 0)
    return;
  --it->second.Running;
  it->second.IdleSince = std::chrono::steady_clock::now();
}

void BreakableSockets::setMaxUnreadBytes(std::size_t bytes) {
  std::lock_guard lock(Mutex);
  MaxUnreadBytes = bytes;
}

std::shared_ptr<void> BreakableSockets::onAnswer(const ConnectionEnds &ends,
                                                 std::size_t bytes) {
  std::lock_guard lock(Mutex);
  auto found = Connections.find(ends);
  if (bytes == 0 || found == Connections.end() || found->second.Broken)
    return nullptr;
  auto &it = found->second;
  if (it.Unread == 0)
    it.TakenAt = std::chrono::steady_clock::now();
  it.Unread += bytes;
  Unread += bytes;
  bool mayBreak = true;
  while (mayBreak && Unread > MaxUnreadBytes)
    mayBreak = breakUnread(it);
  return {this, [this, ends, number = it.Number, bytes](void *) {
            onAnswerEnd(ends, number, bytes);
          }};
}

bool BreakableSockets::breakUnread(const Connection &other) {
  Connection *chosen = nullptr;
  for (auto &[key, it] : Connections)
    if (&it != &other && !it.Broken && it.Unread > 0 &&
        (!chosen || it.TakenAt < chosen->TakenAt))
      chosen = &it;
  if (!chosen)
    return false;
  ++Load.EndedAnswers;
  breakOne(*chosen);
  return true;
}

void BreakableSockets::onAnswerEnd(const ConnectionEnds &ends,
                                   std::uint64_t number, std::size_t bytes) {
  std::lock_guard lock(Mutex);
  auto it = Connections.find(ends);
  if (it == Connections.end() || it->second.Number != number ||
      it->second.Broken)
    return;
  it->second.Unread -= bytes;
  Unread -= bytes;
}

void BreakableSockets::onTaken(const ConnectionEnds &ends) {
  std::lock_guard lock(Mutex);
  auto it = Connections.find(ends);
  if (it != Connections.end())
    it->second.TakenAt = std::chrono::steady_clock::now();
}

void BreakableSockets::makeRoom() {
  std::lock_guard lock(Mutex);
  Connection *chosen = nullptr;
  // Those without any byte first.
  auto rank = [](const Connection &it) {
    return std::tuple(it.Incomplete > 0, it.Incomplete, it.IdleSince);
  };
  for (auto &[key, it] : Connections)
    if (!it.Broken && it.Running == 0 && (!chosen || rank(it) < rank(*chosen)))
      chosen = &it;
  if (!chosen)
    return;
  ++(chosen->Incomplete > 0 ? Load.ClosedIncomplete : Load.ClosedIdle);
  breakOne(*chosen);
}

HttpServerLoad BreakableSockets::load() {
  std::lock_guard lock(Mutex);
  auto out = Load;
  out.RequestBytes = Incomplete + Whole;
  out.UnreadBytes = Unread;
  return out;
}

void BreakableSocket::onReceived(std::size_t bytes) {
  if (Ends && bytes > 0)
    BreakableSockets::of(get_executor().context()).onReceived(*Ends, bytes);
}

void BreakableSocket::onTaken(std::size_t bytes) {
  if (Ends && bytes > 0)
    BreakableSockets::of(get_executor().context()).onTaken(*Ends);
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
