#pragma once

#include "Exchange.h"

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
  void onCompletion(const HttpIncoming &incoming,
                    std::shared_ptr<HttpReply> reply);
  void onService(const HttpIncoming &incoming,
                 std::shared_ptr<HttpReply> reply);
  void onDirectory(const HttpIncoming &incoming, HttpReply &reply);
  void onShow(const HttpIncoming &incoming, HttpReply &reply);
  void onApply(HttpIncoming incoming, const std::shared_ptr<HttpReply> &reply);
  void commitCatalog(std::string text, std::uint64_t expected,
                     const std::shared_ptr<HttpReply> &reply);
  ExchangeRequest newExchange(const HttpIncoming &incoming);
  void begin(ExchangeRequest request, std::shared_ptr<HttpReply> reply);

  void lookAtConfig();
  void takeConfig(const TableRow &row);
  void lookAtHosts();
  void onOwned(const std::string &cell, Epoch fence);
  void onLost(const std::string &cell);
  std::shared_ptr<CellRunner> runnerOf(const std::string &cell) const;
  std::vector<std::shared_ptr<CellRunner>> runners() const;
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
  Admission Asker;
  ExchangeCounts Counts;
  std::unique_ptr<HttpServer> Http;
  std::unique_ptr<PeerNet> Peers;
  std::shared_ptr<LeaseKeeper> Leases;
  std::vector<TimerService::Subscription> Subscriptions;
  std::atomic<std::uint64_t> LastRequest{0};
  std::string Incarnation;
  std::atomic<bool> Leaving{false};

  mutable std::mutex Mutex;
  std::shared_ptr<const Catalog> InForce;
  std::uint64_t ConfigVersion = 0;
  std::map<std::string, std::shared_ptr<CellRunner>> Runners;
};

} // namespace hemlockglade
