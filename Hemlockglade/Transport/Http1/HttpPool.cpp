#include "Hemlockglade/Transport/Http1/HttpPool.h"

#include "Hemlockglade/Transport/Time/TimerService.h"

#include <algorithm>

namespace hemlockglade {

Span HttpPool::idleTimeoutOf(const HttpConnection &connection) const {
  auto announced = connection.keepAlive();
  if (!announced)
    return Options.IdleTimeout;
  return std::min(Options.IdleTimeout,
                  std::max(Span(0), *announced - Options.IdleMargin));
}

std::shared_ptr<HttpConnection>
HttpPool::take(const asio::ip::tcp::endpoint &address, Span maxIdleTime) {
  auto &idle = Idle[address];
  auto now = TimerService::now();
  // The most recently used one first: it is the least likely to be closed.
  while (!idle.empty()) {
    auto connection = std::move(idle.back());
    idle.pop_back();
    connection->OnIdleEnd = nullptr;
    auto timeout = std::min(maxIdleTime, idleTimeoutOf(*connection));
    if (connection->reusable() && now - connection->idleSince() < timeout)
      return connection;
    connection->abort();
  }
  return std::make_shared<HttpConnection>(Context, address, Options.Connection);
}

void HttpPool::give(const std::shared_ptr<HttpConnection> &connection) {
  auto &idle = Idle[connection->address()];
  if (!connection->reusable() || idle.size() >= Options.MaxIdlePerAddress) {
    connection->abort();
    return;
  }
  connection->OnIdleEnd = [this, address = connection->address(),
                           weak = connection->weak_from_this()] {
    auto closed = weak.lock();
    auto it = Idle.find(address);
    if (closed && it != Idle.end())
      std::erase(it->second, closed);
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
      bool isExpired =
          !connection->reusable() ||
          now - connection->idleSince() >= idleTimeoutOf(*connection);
      if (isExpired)
        connection->abort();
      return isExpired;
    });
    it = it->second.empty() ? Idle.erase(it) : std::next(it);
  }
}

} // namespace hemlockglade
