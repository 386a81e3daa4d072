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
HttpPool::take(const asio::ip::tcp::endpoint &address, Span maxIdleTime,
               std::optional<std::uint64_t> key) {
  auto &idle = Idle[address];
  auto now = TimerService::now();
  // The most recently used one first: it is the least likely to be closed.
  for (auto at = idle.size(); at-- > 0;) {
    if (key && idle[at]->isExcluded(*key))
      continue;
    auto connection = std::move(idle[at]);
    idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(at));
    connection->OnIdleEnd = nullptr;
    auto timeout = std::min(maxIdleTime, idleTimeoutOf(*connection));
    // Bytes that came before the call are no answer to it, and may not have
    // been read yet if this process was starved.
    if (connection->reusable() && now - connection->idleSince() < timeout &&
        connection->quiet())
      return connection;
    connection->abort();
  }
  return open(address);
}

std::shared_ptr<HttpConnection>
HttpPool::open(const asio::ip::tcp::endpoint &address) {
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
