#pragma once

#include "Hemlockglade/State/Ids.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace hemlockglade {

/// Phases in the life of one incarnation of a replica, as one node sees it.
enum class ReplicaPhase : std::uint8_t {
  /// Its entry is registered.
  Listed,
  /// Its entry disappeared during an outage of the registry, and may only have
  /// expired. It is used until the grace ends.
  Missing,
  /// Its entry is gone. Ends with an entry that is newer than the removal.
  Removed,
  /// Another incarnation answers at its address. Ends like `Removed`, once the
  /// entry has been removed.
  Replaced,
  /// It has said that it leaves, in its entry or in an answer. Final.
  Leaving,
};

inline constexpr std::array AllReplicaPhases{
    ReplicaPhase::Listed, ReplicaPhase::Missing, ReplicaPhase::Removed,
    ReplicaPhase::Replaced, ReplicaPhase::Leaving};

std::string_view replicaPhaseName(ReplicaPhase phase);

/// The life of one incarnation of a replica: which phase it is in, changed by
/// events alone. What the replica has said itself is final; what was concluded
/// from its silence ends with the next entry that is newer.
class ReplicaLife {
public:
  ReplicaPhase phase() const { return Phase; }

  /// Called with the entry as it was registered at a position of the registry.
  /// Returns false if the entry is older than its removal, and tells nothing.
  bool onEntry(std::uint64_t position, bool isLeaving);
  /// Called when the replica has said in an answer that it leaves.
  void onLeaving() { Phase = ReplicaPhase::Leaving; }
  /// Called when the entry is gone at a position of the registry. `usedUntil`
  /// is the end of the replica's use if the entry may only have expired.
  void onEntryGone(std::uint64_t position, std::optional<Instant> usedUntil,
                   Instant now);
  /// Called when another incarnation has answered at the replica's address.
  void onReplaced();
  /// Called when a later incarnation has been registered under the same id.
  void onSucceeded(Instant now);
  /// Ends the grace of an entry that has not returned by then.
  void onTime(Instant now);

  /// Returns whether the replica may get requests; `now` also heeds a grace
  /// that has ended since the last event.
  bool isUsable() const {
    return Phase == ReplicaPhase::Listed || Phase == ReplicaPhase::Missing;
  }
  bool isUsable(Instant now) const { return isUsable() && !isGone(now); }
  /// Returns whether the replica leaves or its entry was removed.
  bool isDraining() const {
    return Phase == ReplicaPhase::Leaving || Phase == ReplicaPhase::Removed;
  }
  /// Returns whether the entry has been gone, and is not in its grace, for that
  /// long.
  bool isGone(Instant now, Span howLong = Span(0)) const {
    return GoneAt && now >= *GoneAt + howLong;
  }
  /// Returns whether the entry has disappeared and the replica is still used.
  bool isInGrace() const { return isUsable() && GoneAt; }

private:
  ReplicaPhase Phase = ReplicaPhase::Listed;
  /// From when on the replica counts as gone, unless its entry returns; unset
  /// while it has one.
  std::optional<Instant> GoneAt;
  /// Position of the registry at which the entry was gone.
  std::uint64_t GonePosition = 0;
};

} // namespace hemlockglade
