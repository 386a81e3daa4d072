#pragma once

#include "Hemlockglade/State/Ids.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hemlockglade {

/// A statement of a service's replicas.
struct StatedRejectionLimit {
  /// Digest of the service's name.
  std::uint64_t Service = 0;
  /// Rejections a second that a replica bears; none if it bears any number.
  std::optional<double> PerSecond;
  Instant StatedAt{};
};

/// Services whose replicas fail if they have to reject too many requests for
/// want of room. Requests to them need a place (`ReplicaPlaces`). A replica
/// that has rejected a request gets none from this node for a while.
///
/// A statement counts until a later one. Nodes tell each other, and the notes
/// that owners keep in their lease rows carry it over to processes that start
/// while no other is left. Deterministic: time is passed in.
class RejectionLimits {
public:
  struct Settings {
    /// Shortest pause after a rejection.
    Span MinPause = std::chrono::milliseconds(100);
    /// Longest one: a replica that recovers is used again soon.
    Span MaxPause = std::chrono::milliseconds(2000);
    /// Part of the limit that is used.
    double UsedShare = 0.5;
  };

  RejectionLimits() : RejectionLimits(Settings{}) {}
  explicit RejectionLimits(Settings settings) : Options(settings) {}

  /// Called when a service's replica states how many rejections a second a
  /// replica bears, or that it states none. Returns whether the limit is
  /// another one now.
  bool onStated(const StatedRejectionLimit &stated);
  /// Called when a replica has rejected a request for want of room.
  /// `trafficShare` is this node's share of the traffic of all nodes.
  void onRejected(const std::string &service, const std::string &replica,
                  double trafficShare, Instant now);

  /// Returns the limit of a service's replicas, if they have one.
  std::optional<double> limitOf(std::string_view service) const;
  /// Whether a replica must get no requests from this node at present.
  bool isPaused(const std::string &replica, Instant now) const;
  /// Number of services that have a limit.
  std::size_t size() const;

  /// Rises with each change of a limit.
  std::uint64_t revision() const { return Revision; }
  /// Returns the limits that have changed since a revision.
  std::vector<StatedRejectionLimit> since(std::uint64_t revision) const;

  /// Encodes the limits in force as records that end with `;`, for a row of the
  /// table. Times are encoded as ages at `now`.
  std::string notes(Instant now) const;
  /// Returns the limits that the notes of a row hold, which may hold other
  /// records as well; malformed ones are skipped.
  static std::vector<StatedRejectionLimit> parseNotes(std::string_view notes,
                                                      Instant now);

private:
  struct Statement {
    std::optional<double> PerSecond;
    Instant StatedAt{};
    std::uint64_t ChangedAt = 0;
  };

  Settings Options;
  std::map<std::uint64_t, Statement> Statements;
  std::map<std::string, Instant> PausedUntil;
  std::uint64_t Revision = 0;
};

} // namespace hemlockglade
