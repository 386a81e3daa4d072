#include "Hemlockglade/Transport/Http1/HttpPool.h"

#include "Hemlockglade/Transport/Time/TimerService.h"

#include <algorithm>

namespace hemlockglade {

Span HttpPool::idleBound(const HttpConnection &connection) const {
  auto told = connection.keepAlive();
  if (!told)
    return Setup.IdleBound;
  return std::min(Setup.IdleBound, std::max(Span(0), *told - Setup.IdleMargin));
}

std::shared_ptr<HttpConnection>
HttpPool::take(const asio::ip::tcp::endpoint &address, Span mostIdle) {
  auto &idle = Idle[address];
  auto now = TimerService::now();
  // The most recently used one first: it is the least likely to be gone.
  while (!idle.empty()) {
    auto connection = std::move(idle.back());
    idle.pop_back();
    connection->OnIdleEnd = nullptr;
    auto bound = std::min(mostIdle, idleBound(*connection));
    if (connection->reusable() && now - connection->idleSince() < bound)
      return connection;
    connection->abort();
  }
  return std::make_shared<HttpConnection>(Context, address, Setup.Connection);
}

void HttpPool::give(const std::shared_ptr<HttpConnection> &connection) {
  auto &idle = Idle[connection->address()];
  if (!connection->reusable() || idle.size() >= Setup.MaxIdle) {
    connection->abort();
    return;
  }
  connection->OnIdleEnd = [this, address = connection->address(),
                           weak = connection->weak_from_this()] {
    auto gone = weak.lock();
    auto it = Idle.find(address);
    if (gone && it != Idle.end())
      std::erase(it->second, gone);
  };
  idle.push_back(connection);
}

void HttpPool::drop(const asio::ip::tcp::endpoint &address) {
  auto it = Idle.find(address);
  if (it == Idle.end())
    return;
  auto connections = std::move(it->second);
  Idle.erase(it);
  for (const auto &connection : connections) {
    connection->OnIdleEnd = nullptr;
    connection->abort();
  }
}

void HttpPool::tidy() {
  auto now = TimerService::now();
  for (auto it = Idle.begin(); it != Idle.end();) {
    std::erase_if(it->second, [this, now](const auto &connection) {
      bool old = !connection->reusable() ||
                 now - connection->idleSince() >= idleBound(*connection);
      if (old)
        connection->abort();
      return old;
    });
    it = it->second.empty() ? Idle.erase(it) : std::next(it);
  }
}

} // namespace hemlockglade
