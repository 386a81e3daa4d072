#pragma once

#include "Hemlockglade/State/Ids.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace hemlockglade {

/// Pauses that overloaded replicas have asked this node for, by incarnation.
///
/// A pause stands until its own end: neither a success meanwhile nor a shorter
/// pause ends it, nor does the replica's absence from the registry. Afterwards
/// the node sends one request, and more as the replica accepts them.
/// Deterministic: time is passed in.
class ReplicaPauses {
public:
  struct Settings {
    /// Longer pauses count as this long, so that a wrong answer doesn't take a
    /// replica out of use for good.
    Span MaxPause = std::chrono::hours(1);
    /// A node returns later than it may by up to this share of the pause, and
    /// at most the time below: nodes that were asked together don't return
    /// together.
    double ReturnSpreadShare = 0.1;
    Span MaxReturnSpread = std::chrono::milliseconds(300);
    /// Requests that may be without an answer after a pause: one, and one more
    /// with each that the replica accepts. From this number on there is no
    /// bound.
    std::uint32_t FullWindow = 16;
    /// Replicas whose pauses are kept; more are not.
    std::size_t MaxReplicas = 16384;
    /// Differs between nodes.
    std::uint64_t Seed = 0;
  };

  ReplicaPauses() : ReplicaPauses(Settings{}) {}
  explicit ReplicaPauses(Settings settings)
      : Options(settings), Random(settings.Seed) {}

  /// Called when a replica asks this node to send it nothing for a time.
  /// Returns whether the pause ends later now.
  bool onAsked(const std::string &replica, Span span, Instant now);
  /// Whether the replica must be sent nothing.
  bool isPaused(const std::string &replica, Instant now) const {
    return returnsAt(replica, now).has_value();
  }
  /// Returns when this node may send to a replica that is paused.
  std::optional<Instant> returnsAt(const std::string &replica,
                                   Instant now) const;
  /// Returns how long ago a replica that is paused has first asked for it.
  std::optional<Span> askedAgo(const std::string &replica, Instant now) const;
  /// Whether a request may be sent: the replica isn't paused, and has accepted
  /// enough requests since its pause.
  bool hasRoom(const std::string &replica, Instant now) const;
  void onSent(const std::string &replica, std::uint64_t attempt, Instant now);
  /// Called when the replica has answered; `accepted` if it runs the request.
  void onAnswered(const std::string &replica, std::uint64_t attempt,
                  bool accepted, Instant now);
  /// Called when the attempt has ended.
  void onEnd(const std::string &replica, std::uint64_t attempt);
  /// Returns the replicas that are paused, with when this node may return.
  std::map<std::string, Instant> paused(Instant now) const;
  void removeExpired(Instant now);

private:
  struct Pause {
    Instant AskedAt{};
    Instant Until{};
    /// End of the pause at this node.
    Instant ReturnsAt{};
    std::uint32_t Window = 1;
    /// Attempts since the pause that have no answer yet.
    std::set<std::uint64_t> Unanswered;
  };

  Settings Options;
  std::mt19937_64 Random;
  std::map<std::string, Pause> Pauses;
};

} // namespace hemlockglade
