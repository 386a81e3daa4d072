#include "Hemlockglade/Transport/Http1/CallerServer.h"

#include <limits>

namespace hemlockglade {

namespace {

/// Delay before accepting again after a failure, such as when no descriptor is
/// free.
constexpr auto AcceptRetryDelay = std::chrono::milliseconds(50);

} // namespace

CallerServer::CallerServer(asio::io_context &context,
                           const asio::ip::tcp::endpoint &address,
                           std::size_t maxConnections, CallerHooks hooks)
    : Context(context), Acceptor(context, address), RetryTimer(context),
      MaxConnections(maxConnections),
      Hooks(std::make_shared<const CallerHooks>(std::move(hooks))) {
  accept();
}

CallerServer::~CallerServer() {
  *IsAlive = false;
  asio::error_code ec;
  Acceptor.close(ec);
  auto open = std::move(Connections);
  for (const auto &it : open) {
    it->OnClosed = nullptr;
    it->abort();
  }
}

void CallerServer::accept() {
  Acceptor.async_accept([this, alive = IsAlive](asio::error_code ec,
                                                asio::ip::tcp::socket socket) {
    if (!*alive)
      return;
    if (ec) {
      RetryTimer.expires_after(AcceptRetryDelay);
      RetryTimer.async_wait([this, alive](asio::error_code) {
        if (*alive)
          accept();
      });
      return;
    }
    if (Connections.size() >= MaxConnections && !makeRoom()) {
      ++TurnedAway;
    } else {
      auto it =
          std::make_shared<CallerConnection>(Context, std::move(socket), Hooks);
      Connections.insert(it);
      it->OnClosed = [this, alive, weak = std::weak_ptr(it)] {
        if (*alive)
          Connections.erase(weak.lock());
      };
      it->start();
    }
    accept();
  });
}

bool CallerServer::makeRoom() {
  std::shared_ptr<CallerConnection> idle;
  std::shared_ptr<CallerConnection> slowest;
  double leastRate = std::numeric_limits<double>::max();
  for (const auto &it : Connections) {
    if (it->idle()) {
      if (!idle || it->idleSince() < idle->idleSince())
        idle = it;
    } else if (auto rate = it->requestRate(); rate && *rate < leastRate) {
      slowest = it;
      leastRate = *rate;
    }
  }
  if (!idle && !slowest)
    return false;
  ++(idle ? ClosedIdle : ClosedIncomplete);
  (idle ? idle : slowest)->abort();
  return true;
}

void CallerServer::closeIdle() {
  auto open = Connections;
  for (const auto &it : open)
    if (it->idle())
      it->abort();
}

} // namespace hemlockglade
