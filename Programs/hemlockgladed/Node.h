#pragma once

#include "CallerFront.h"
#include "OwnedCells.h"

#include <asio/post.hpp>
#include <asio/signal_set.hpp>

namespace hemlockglade {

/// One node: an entry for callers, perhaps the owner of cells, and a member
/// of the system.
class Node {
public:
  Node(asio::io_context &context, NodeSettings settings);
  ~Node();

  /// Listens and takes part. Throws std::exception if it can't.
  void start();
  /// Leaves gracefully: finishes what runs, gives up its leases, then calls
  /// `done`.
  void stop(std::function<void()> done);

  std::uint16_t callerPort() const { return Http->port(); }
  std::uint16_t peerPort() const { return Peers->port(); }

private:
  void onHttp(HttpIncoming incoming, std::shared_ptr<HttpReply> reply);
  void onShow(const HttpIncoming &incoming, HttpReply &reply);
  void onApply(HttpIncoming incoming, std::shared_ptr<HttpReply> reply);
  void commitCatalog(std::string text, std::uint64_t expected,
                     std::shared_ptr<HttpReply> reply);
  OwnedCellsHooks cellHooks();
  CallerFrontHooks callerHooks();
  std::shared_ptr<const ExchangeHooks> exchangeHooks();
  std::vector<std::string> addressesFor(const std::string &cell) const;
  void onExchangeEnd(const ExchangeEnd &end);

  void lookAtConfig();
  void takeConfig(const TableRow &row);
  void lookAtHosts();
  void cleanUpClaims();
  std::vector<std::string> cellNames() const;
  std::shared_ptr<const Catalog> catalog() const;
  void waitUntilIdle(Instant until, std::function<void()> done);

  asio::io_context &Context;
  NodeSettings Settings;
  TimerService Timers;
  HttpClient Client;
  HttpClient ControlClient;
  EngineClient Engines;
  PlatformClient Platform;
  OwnedCells Cells;
  Admission Asker;
  std::string Incarnation;
  CallerFront Callers;
  std::shared_ptr<const ExchangeHooks> Exchanges;
  std::shared_ptr<ClaimBook> Claims;
  RetryPolicy Retries;
  std::unique_ptr<HttpServer> Http;
  std::unique_ptr<PeerNet> Peers;
  std::shared_ptr<LeaseKeeper> Leases;
  std::vector<TimerService::Subscription> Subscriptions;
  std::atomic<std::uint64_t> Commands{0};
  std::atomic<bool> Leaving{false};

  mutable std::mutex Mutex;
  std::shared_ptr<const Catalog> InForce;
  std::uint64_t ConfigVersion = 0;
};

} // namespace hemlockglade
