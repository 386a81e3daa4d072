#pragma once

#include "UnitTests/History/HistoryEvent.h"

#include <optional>
#include <string_view>
#include <vector>

namespace hemlockglade::soak {

/// Intervals in which something was disturbed; the causes may overlap.
class Disturbances {
public:
  void begin(Instant at);
  void end(Instant at);
  void addInstant(Instant at) {
    begin(at);
    end(at);
  }
  bool overlaps(Instant from, Instant to) const;
  /// Returns the end of the last interval that began by `at`; nullopt if it
  /// still lasts then.
  std::optional<Instant> undisturbedSince(Instant at) const;

private:
  struct Interval {
    Instant From{};
    Instant To = Instant::max();
  };

  std::vector<Interval> All;
  int Open = 0;
};

/// Disturbances of nodes, store and links, and the gateway of each request, as
/// the events of a run report them.
class DisturbanceLog {
public:
  explicit DisturbanceLog(const std::vector<HistoryEvent> &events);

  /// Whether the gateway that sent the request, and the links to replicas, were
  /// undisturbed from `from` to `to`.
  bool wasConnected(const std::string &tag, Instant from, Instant to) const;
  /// Whether the gateway that the request was sent to ran without a break from
  /// `from` to `to`.
  bool wasRunning(const std::string &tag, Instant from, Instant to) const;
  /// Whether a gateway ran without a break from `from` to `to`.
  bool wasNodeRunning(const std::string &name, Instant from, Instant to) const;
  /// Returns since when the store and all links have been undisturbed; nullopt
  /// if they are disturbed.
  std::optional<Instant> undisturbedSince(Instant at) const {
    return StoreAndLinks.undisturbedSince(at);
  }
  /// Returns the gateway that a request was sent to; empty if it is not known.
  std::string_view gatewayOf(const std::string &tag) const;

private:
  void add(const HistoryEvent &event);

  std::map<std::string, std::string> Gateways;
  std::map<std::string, Disturbances> Nodes;
  Disturbances ReplicaLinks;
  Disturbances StoreAndLinks;
};

} // namespace hemlockglade::soak
