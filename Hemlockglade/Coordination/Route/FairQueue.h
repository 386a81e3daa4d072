#pragma once

#include "Hemlockglade/State/Ids.h"

#include <functional>
#include <map>
#include <vector>

namespace hemlockglade {

/// Orders the requests that wait for room at a service's replicas.
///
/// Handles a workspace that sends many times its usual load while the replicas
/// are full: fair queueing spaces the requests of each workspace, so that a
/// workspace with few requests waits behind few of any other one. Requests that
/// can still be in time precede those that can't, then more urgent ranks
/// precede others. Deterministic: time is passed in, and it does no I/O.
class FairQueue {
public:
  using Ticket = std::uint64_t;
  struct Request {
    std::string Workspace;
    std::uint32_t Rank = 0;
    /// From then on the request can't be answered in time any more.
    Instant OnTimeUntil{};
    /// Called when the request is next in the queue: it should try to find a
    /// replica.
    std::function<void()> Wake;
  };

  /// Adds a request that waits for room.
  Ticket join(const std::string &service, Request request);
  /// Removes a request that is sent to a replica.
  void onServed(const std::string &service, Ticket ticket);
  /// Removes a request that no longer waits.
  void leave(const std::string &service, Ticket ticket);
  /// Defers a request that found no room where others may: until then the
  /// others precede it.
  void deferUntil(const std::string &service, Ticket ticket, Instant until);

  /// Returns whether no waiting request precedes it.
  bool isNext(const std::string &service, Ticket ticket, Instant now) const;
  bool hasWaiting(const std::string &service) const;
  /// Wakes the request that is next in the queue.
  void wakeNext(const std::string &service, Instant now) const;

private:
  struct WaitingRequest {
    Ticket Number = 0;
    Request Details;
    /// Virtual finish time of fair queueing, in requests.
    double VirtualFinish = 0;
    Instant DeferredUntil{};
  };
  struct ServiceQueue {
    std::vector<WaitingRequest> Requests;
    /// Virtual finish time of the last request that was served.
    double VirtualTime = 0;
    /// Virtual finish time of the last request of each workspace.
    std::map<std::string, double> LastFinishes;
  };

  static bool isBefore(const WaitingRequest &a, const WaitingRequest &b,
                       Instant now);
  const WaitingRequest *nextRequest(const std::string &service,
                                    Instant now) const;
  WaitingRequest *find(const std::string &service, Ticket ticket);

  Ticket LastTicket = 0;
  std::map<std::string, ServiceQueue> Queues;
};

} // namespace hemlockglade
