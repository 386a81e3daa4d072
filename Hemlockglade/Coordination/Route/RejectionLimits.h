#pragma once

#include "Hemlockglade/State/Ids.h"

#include <map>
#include <optional>
#include <string>

namespace hemlockglade {

/// Services whose replicas fail if they have to reject too many requests for
/// want of room. A node keeps to its share of the replicas' slots there and
/// sends nothing for a while to a replica that has rejected a request, so that
/// all nodes together stay below the limit. Deterministic: time is passed in.
class RejectionLimits {
public:
  struct Settings {
    /// A statement counts for this long, unless it is repeated.
    Span Memory = std::chrono::seconds(10);
    /// Shortest pause after a rejection.
    Span MinPause = std::chrono::milliseconds(100);
    /// Longest one: a replica that recovers is used again soon.
    Span MaxPause = std::chrono::milliseconds(2000);
    /// Part of the limit that is used.
    double UsedShare = 0.5;
  };

  RejectionLimits() : RejectionLimits(Settings{}) {}
  explicit RejectionLimits(Settings settings) : Options(settings) {}

  /// Called when an answer of a service's replica states how many rejections a
  /// second a replica bears, or that it states none.
  void onStated(const std::string &service, std::optional<double> perSecond,
                Instant statedAt);
  /// Called when a replica has rejected a request for want of room.
  /// `trafficShare` is this node's share of the traffic of all nodes.
  void onRejected(const std::string &service, const std::string &replica,
                  double trafficShare, Instant now);

  bool applies(const std::string &service, Instant now) const;
  /// Whether a replica must get no requests at present.
  bool isPaused(const std::string &replica, Instant now) const;

private:
  struct Statement {
    std::optional<double> PerSecond;
    Instant StatedAt{};
  };

  Settings Options;
  std::map<std::string, Statement> Statements;
  std::map<std::string, Instant> PausedUntil;
};

} // namespace hemlockglade
