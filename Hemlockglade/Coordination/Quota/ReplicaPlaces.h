#pragma once

#include "Hemlockglade/State/Routing/Workspace.h"

#include "Hemlockglade/State/Ids.h"

#include <map>
#include <span>
#include <string>

namespace hemlockglade {

/// Returns the holder under which the places of a replica are counted that has
/// `places` of them and fails if it rejects more than `rejectionsPerSecond`
/// requests for want of room. No workspace has its name.
Workspace replicaPlaceHolder(std::string_view incarnation, double places,
                             double rejectionsPerSecond);

/// Returns how many of a replica's places are a node's while no owner grants
/// them: all nodes together have no more than the replica.
double placesWithoutOwner(const std::string &node,
                          std::span<const std::string> nodes,
                          std::string_view holder, double places);

/// Grants the places of one replica that fails if it has to reject too many
/// requests. A request takes a place from before it is sent until it has ended,
/// so that all nodes together never have more requests there than the replica
/// runs at a time.
///
/// Each node reports how many places it uses, in absolute numbers, so that an
/// owner that takes over learns them, and lost messages cost nothing. What was
/// granted counts besides until the node has acknowledged it. Time is passed
/// in.
class ReplicaPlaces {
public:
  struct Settings {
    /// The places of a node that has not reported for this long are free again:
    /// its requests have ended with its connections.
    Span HolderTimeout = std::chrono::seconds(3);
    /// The same for a node whose connection to the owner has ended.
    Span GoneTimeout = std::chrono::milliseconds(500);
    /// Share of the rejections that the replica bears that may happen.
    double UsedRejections = 0.5;
    /// Longest pause after a rejection: a replica that recovers is used again.
    Span MaxPause = std::chrono::milliseconds(2000);
    /// Time after which a node that found no place may ask again, and how many
    /// such requests a second all nodes together may make.
    Span MinRetry = std::chrono::milliseconds(8);
    double MaxRetriesPerSecond = 800;
    /// A node that found no place counts as asking for this long.
    Span AskerTimeout = std::chrono::milliseconds(500);
  };
  /// Number of a node among those that ask an owner.
  using NodeId = std::uint64_t;

  /// Grants nothing before `from`.
  ReplicaPlaces(const Settings &settings, Instant from)
      : Options(settings), PausedUntil(from) {}

  void setBounds(double places, double rejectionsPerSecond, Instant now);
  /// What a node reports of its requests at the replica.
  struct Report {
    /// Places that they use.
    double Used = 0;
    /// The last message whose answer it has received.
    std::uint64_t Acknowledged = 0;
    /// Requests that the replica has rejected since the last report.
    std::uint32_t Rejected = 0;
  };
  /// `message` is the number of the node's message; the places in an older one
  /// than the last are out of date.
  void onReport(NodeId node, const Report &report, std::uint64_t message,
                Instant now);
  /// Called when the connection of a node has ended.
  void onGone(NodeId node, Instant now);
  /// `message` is the number of the node's message that requests the places.
  bool tryTake(NodeId node, double places, std::uint64_t message, Instant now);
  /// Returns the time until a node that found no place should ask again.
  Span timeUntilNext(Instant now) const;
  /// Places in use.
  double used(Instant now) const;
  double places() const { return Places; }
  std::uint64_t rejected() const { return Rejected; }
  /// When it was last used.
  Instant usedAt() const { return UsedAt; }

private:
  struct Holder {
    double Used = 0;
    /// Granted places by message, until their grants are acknowledged.
    std::map<std::uint64_t, double> Granted;
    std::uint64_t LastMessage = 0;
    Instant ReportedAt{};
    /// When it last found no place.
    Instant DeniedAt = LongAgo;

    double places() const;
  };

  Settings Options;
  double Places = 0;
  double RejectionsPerSecond = 0;
  std::map<NodeId, Holder> Holders;
  Instant PausedUntil;
  std::uint64_t Rejected = 0;
  Instant UsedAt{};
};

} // namespace hemlockglade
