#pragma once

#include "Hemlockglade/Coordination/Orders/CellPlacement.h"

namespace hemlockglade {

/// What has changed of one replica's holdings.
struct HoldingsChange {
  std::string Replica;
  /// All that it holds, rather than what changed.
  bool Complete = false;
  Residency Held;
  /// Weights that it held before and no longer does.
  std::vector<WeightsRef> Dropped;
};

/// What the replicas of a cell hold, with a number for each change, so that
/// nodes are told only what they have not heard: told in full, the loads of a
/// busy cell would fill the link of a weak owner. No clock, no sockets.
class HoldingsLog {
public:
  struct Settings {
    /// Dropped weights of a replica that are remembered; beyond them it is told
    /// in full once.
    std::size_t MostDropped = 64;
  };

  HoldingsLog() : HoldingsLog(Settings{}) {}
  explicit HoldingsLog(Settings settings) : Setup(settings) {}

  /// Takes what a replica holds now; says whether that is news.
  bool update(const std::string &replica, const Residency &held);
  /// Has an entry told again: a node's view of it may be wrong.
  void markChanged(const std::string &replica, const WeightsRef &weights);
  /// Ends a round of notes: its changes get the next number.
  void commit();
  /// Forgets replicas that are not among these.
  void keepOnly(const std::set<std::string> &replicas);
  void clear();

  /// Number of the last closed round.
  std::uint64_t revision() const { return Number; }
  /// What has changed after a number; everything after 0.
  std::vector<HoldingsChange> since(std::uint64_t number) const;

private:
  struct Entry {
    Residency Held;
    /// When each of its weights changed last, dropped ones included.
    std::map<WeightsRef, std::uint64_t> ChangedAt;
    /// Who knows less is told in full.
    std::uint64_t WholeBefore = 0;
    std::uint64_t LastChange = 0;
  };

  void mark(Entry &entry, const WeightsRef &weights);

  Settings Setup;
  std::map<std::string, Entry> Replicas;
  std::uint64_t Number = 0;
  bool Open = false;
};

} // namespace hemlockglade
