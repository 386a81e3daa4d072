#include "Hemlockglade/Coordination/Route/ReplicaLife.h"

#include <algorithm>

namespace hemlockglade {

std::string_view replicaPhaseName(ReplicaPhase phase) {
  switch (phase) {
  case ReplicaPhase::Listed:
    return "listed";
  case ReplicaPhase::Missing:
    return "missing";
  case ReplicaPhase::Removed:
    return "removed";
  case ReplicaPhase::Replaced:
    return "replaced";
  case ReplicaPhase::Leaving:
    return "leaving";
  }
  return "unknown";
}

bool ReplicaLife::onEntry(std::uint64_t position, bool isLeaving) {
  // At one position an entry is either there or not, so one that was read at
  // the position of its removal was read later.
  bool isOld = GoneAt && position < GonePosition;
  if (isLeaving)
    Phase = ReplicaPhase::Leaving;
  if (isOld)
    return false;
  bool returns = GoneAt && Phase != ReplicaPhase::Leaving;
  if (returns)
    Phase = ReplicaPhase::Listed;
  GoneAt.reset();
  return true;
}

void ReplicaLife::onEntryGone(std::uint64_t position,
                              std::optional<Instant> usedUntil, Instant now) {
  GonePosition = std::max(GonePosition, position);
  if (isUsable()) {
    // A grace that has begun is not extended.
    bool isRemoved = !usedUntil || isGone(now);
    Phase = isRemoved ? ReplicaPhase::Removed : ReplicaPhase::Missing;
  }
  if (!GoneAt)
    GoneAt = usedUntil.value_or(now);
}

void ReplicaLife::onReplaced() {
  if (Phase != ReplicaPhase::Leaving)
    Phase = ReplicaPhase::Replaced;
}

void ReplicaLife::onSucceeded(Instant now) {
  onReplaced();
  GoneAt = now;
}

void ReplicaLife::onTime(Instant now) {
  if (isUsable() && isGone(now))
    Phase = ReplicaPhase::Removed;
}

} // namespace hemlockglade
