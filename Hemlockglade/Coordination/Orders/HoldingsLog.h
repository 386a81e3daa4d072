#pragma once

#include "Hemlockglade/Coordination/Orders/CellPlacement.h"

namespace hemlockglade {

/// Changes of one replica's holdings.
struct HoldingsChange {
  std::string Replica;
  /// `Held` is all that the replica holds, rather than only what changed.
  bool Complete = false;
  Residency Held;
  /// Weights that the replica held before and no longer does.
  std::vector<WeightsRef> Dropped;
};

/// Holdings of a cell's replicas, with a revision for each change, so that
/// nodes are sent only what they have not received: sent in full, the loads of
/// a busy cell would fill the link of a weak owner. Deterministic: it has no
/// clock and does no I/O.
class HoldingsLog {
public:
  struct Settings {
    /// Maximum number of a replica's dropped weights that are remembered;
    /// beyond it the replica is sent in full once.
    std::size_t MaxDropped = 64;
  };

  HoldingsLog() : HoldingsLog(Settings{}) {}
  explicit HoldingsLog(Settings settings) : Options(settings) {}

  /// Sets what a replica holds now; returns whether that changes anything.
  bool update(const std::string &replica, const Residency &held);
  /// Has an entry sent again, for a node whose view of it may be wrong.
  void markChanged(const std::string &replica, const WeightsRef &weights);
  /// Ends a round of updates: its changes get the next revision.
  void commit();
  /// Removes the replicas that are not among these.
  void keepOnly(const std::set<std::string> &replicas);
  void clear();

  /// Revision of the last round that was committed.
  std::uint64_t revision() const { return Revision; }
  /// Returns what has changed after a revision; all holdings for revision 0.
  std::vector<HoldingsChange> since(std::uint64_t revision) const;

private:
  struct Entry {
    Residency Held;
    /// Revision in which each weight changed last, dropped weights included.
    std::map<WeightsRef, std::uint64_t> ChangedAt;
    /// Nodes that have a lower revision are sent the replica in full.
    std::uint64_t CompleteBefore = 0;
    std::uint64_t LastChange = 0;
  };

  void recordChange(Entry &entry, const WeightsRef &weights);

  Settings Options;
  std::map<std::string, Entry> Replicas;
  std::uint64_t Revision = 0;
  bool HasChanges = false;
};

} // namespace hemlockglade
