#pragma once

#include "Hemlockglade/State/Ids.h"

#include <map>
#include <optional>
#include <string>

namespace hemlockglade {

/// Pauses that overloaded replicas have asked this node for, by incarnation.
///
/// A pause stands until its own end: neither a success meanwhile nor a shorter
/// pause ends it, nor does the replica's absence from the registry.
/// Deterministic: time is passed in.
class ReplicaPauses {
public:
  struct Settings {
    /// Longer pauses count as this long, so that a wrong answer doesn't take a
    /// replica out of use for good.
    Span MaxPause = std::chrono::hours(1);
  };

  ReplicaPauses() : ReplicaPauses(Settings{}) {}
  explicit ReplicaPauses(Settings settings) : Options(settings) {}

  /// Called when a replica asks this node to send it nothing for a time.
  /// Returns whether the pause ends later now.
  bool onAsked(const std::string &replica, Span span, Instant now);
  /// Whether the replica has asked for a pause that has not ended.
  bool isPaused(const std::string &replica, Instant now) const;
  /// Returns how long ago a replica that is paused has first asked for it.
  std::optional<Span> askedAgo(const std::string &replica, Instant now) const;
  /// Returns the number of replicas that are paused.
  std::size_t count(Instant now) const;
  void removeExpired(Instant now);

private:
  struct Pause {
    Instant AskedAt{};
    Instant Until{};
  };

  Settings Options;
  std::map<std::string, Pause> Pauses;
};

} // namespace hemlockglade
