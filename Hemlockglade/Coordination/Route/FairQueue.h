#pragma once

#include "Hemlockglade/State/Ids.h"

#include <functional>
#include <map>
#include <vector>

namespace hemlockglade {

/// Whose turn it is among requests that wait for room at a service's replicas.
///
/// Answers the load of a workspace that sends many times its usual while the
/// replicas are full: each workspace's requests are spaced by fair queueing, so
/// that a workspace with few requests waits behind few of any other one. What
/// can still be in time goes before what can't, and more urgent ranks before
/// others. No clock, no sockets.
class FairQueue {
public:
  using Ticket = std::uint64_t;
  struct Request {
    std::string Workspace;
    std::uint32_t Rank = 0;
    /// From then on it can't be in time any more.
    Instant OnTimeUntil{};
    /// It is its turn: it should look for room.
    std::function<void()> Wake;
  };

  /// A request waits for room from now on.
  Ticket join(const std::string &service, Request request);
  /// It goes to a replica.
  void onServed(const std::string &service, Ticket ticket);
  /// It waits no more.
  void leave(const std::string &service, Ticket ticket);
  /// It found no room where others may, and is passed over until then.
  void deferUntil(const std::string &service, Ticket ticket, Instant until);

  /// Whether none that waits goes before it.
  bool isNext(const std::string &service, Ticket ticket, Instant now) const;
  bool hasWaiting(const std::string &service) const;
  /// Wakes the one whose turn it is.
  void wakeNext(const std::string &service, Instant now) const;

private:
  struct Waiting {
    Ticket Number = 0;
    Request Of;
    /// Turn by fair queueing.
    double Turn = 0;
    Instant PassedOverUntil{};
  };
  struct Line {
    std::vector<Waiting> All;
    /// Turn of the one that was served last.
    double Reached = 0;
    /// Turn of the last request of each workspace.
    std::map<std::string, double> LastTurns;
  };

  static bool goesBefore(const Waiting &a, const Waiting &b, Instant now);
  const Waiting *nextOf(const std::string &service, Instant now) const;
  Waiting *find(const std::string &service, Ticket ticket);

  Ticket LastTicket = 0;
  std::map<std::string, Line> Lines;
};

} // namespace hemlockglade
