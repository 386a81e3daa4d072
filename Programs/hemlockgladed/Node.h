#pragma once

#include "AdminFront.h"
#include "CallerFront.h"
#include "MembershipLink.h"
#include "NodeMetrics.h"

#include <asio/post.hpp>
#include <asio/signal_set.hpp>

namespace hemlockglade {

/// One node: an entry for callers, possibly an owner of cells, and a member of
/// the cluster. It only connects its parts.
class Node {
public:
  Node(asio::io_context &context, NodeSettings settings);
  ~Node();
  Node(const Node &) = delete;
  Node &operator=(const Node &) = delete;

  /// Listens, and joins the cluster. Throws std::exception if it can't listen.
  void start();
  /// Stops gracefully: releases its leases, waits until the running requests
  /// have ended, at most StopBound, then calls the hook of onStopped(). A
  /// second call does nothing.
  void stop();
  /// Sets the hook that is called once the node has stopped.
  void onStopped(std::function<void()> hook) { Stopped = std::move(hook); }

  std::uint16_t callerPort() const { return Http->port(); }
  std::uint16_t peerPort() const { return Peers->port(); }

private:
  void onHttp(HttpIncoming incoming, const std::shared_ptr<HttpReply> &reply);
  void onPeer(const std::shared_ptr<PeerStream> &stream);
  void onReady(HttpReply &reply);
  void listen();
  /// Connections of callers for which the process has descriptors and memory.
  static std::size_t maxConnections();
  void subscribe();
  void every(Span period, std::function<void()> call);

  OwnedCellsHooks cellHooks();
  ConfigLinkHooks configHooks();
  MembershipLinkHooks memberHooks();
  CallerFrontHooks callerHooks();
  AdminFrontHooks adminHooks();
  std::shared_ptr<const ExchangeHooks> exchangeHooks();
  LeaseHooks leaseHooks();
  std::shared_ptr<ClaimStore> newClaimStore();
  std::function<void(Span, std::function<void()>)> after();

  std::vector<std::string> addressesFor(const DirectoryQuery &query) const;
  MemberRecord memberRecord() const;
  std::vector<std::string> cellNames() const;
  void onExchangeEnd(const ExchangeEnd &end);
  void configRound();
  void leaseRound();
  void pollHosts();
  void cleanUpClaims();
  void refreshMetrics();
  void announceReleased();
  void waitUntilIdle(Instant until);

  asio::io_context &Context;
  const NodeSettings Settings;
  const std::string Incarnation;
  TimerService Timers;
  MetricRegistry Registry;
  NodeMetrics Metrics;
  HttpClient Client;
  HttpClient ControlClient;
  EngineClient Engines;
  PlatformClient Platform;
  std::shared_ptr<LeaseManager> Leases;
  ConfigLink Config;
  MembershipLink Members;
  OwnedCells Cells;
  Admission Admissions;
  CallerFront Callers;
  AdminFront Admin;
  std::shared_ptr<const ExchangeHooks> SharedExchangeHooks;
  std::shared_ptr<ClaimStore> Claims;
  RetryPolicy Retries;
  std::unique_ptr<HttpServer> Http;
  std::unique_ptr<PeerNet> Peers;
  std::vector<TimerService::Subscription> Subscriptions;
  std::atomic<bool> Leaving{false};
  std::function<void()> Stopped;
};

} // namespace hemlockglade
