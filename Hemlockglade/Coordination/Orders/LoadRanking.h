#pragma once

#include "Hemlockglade/State/Ids.h"

#include <cstddef>
#include <span>
#include <vector>

namespace hemlockglade {

/// Adapter that may be loaded on one more engine of a cell.
struct LoadCandidate {
  /// Requests a second for the adapter.
  double Rate = 0;
  /// Requests that wait for it, at all nodes.
  double Waiting = 0;
  /// Copies that requests may use, with those that are being loaded.
  std::size_t Copies = 0;
  /// Those of them that are being loaded.
  std::size_t Loading = 0;
  /// How long requests have waited without a copy that they may use; 0 if there
  /// is one.
  Span WaitedFor{0};
};

/// Ranks adapter loads while fewer are possible than are asked for. A load is
/// worth the requests that it lets begin: a further copy of an adapter in high
/// demand may be worth more than the first copy of one that is asked for once.
/// Answers load that moves to other adapters within seconds while the weight
/// store is saturated.
class LoadRanking {
public:
  struct Settings {
    /// Time for which the requests that a load lets begin are counted.
    Span Horizon = std::chrono::milliseconds(2000);
    /// Requests a second that an engine begins for one adapter beside others.
    double StartsPerCopy = 3;
    /// Share of the loads that go to the adapters with the oldest waiting
    /// requests, so that rare adapters are served too.
    double OldestShare = 0.25;
  };

  LoadRanking() : LoadRanking(Settings{}) {}
  explicit LoadRanking(Settings settings) : Options(settings) {}

  /// Number of requests that one more copy lets begin within the horizon.
  double valueOf(const LoadCandidate &candidate) const;

  /// One load in the order in which they are to be made.
  struct Entry {
    /// Index of the candidate.
    std::size_t Index = 0;
    double Value = 0;
    /// It stands here for the age of its requests.
    bool IsOldest = false;
  };

  /// Returns the candidates of any value in the order in which they are to be
  /// loaded, each once.
  std::vector<Entry> order(std::span<const LoadCandidate> candidates);

  /// Called when a load of `order` has been ordered.
  void onLoad(const Entry &entry);

private:
  Settings Options;
  /// Loads that are due to the oldest waiting requests; below 1 none is.
  double OldestCredit = 0;
};

} // namespace hemlockglade
