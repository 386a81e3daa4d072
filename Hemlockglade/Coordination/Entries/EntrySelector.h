#pragma once

#include "Hemlockglade/Coordination/Entries/EntryLoad.h"

#include <span>
#include <string>
#include <vector>

namespace hemlockglade {

/// A node that could serve callers of its failure domain.
struct EntryCandidate {
  std::string Node;
  std::string CallerAddress;
  HostCapacity Host;

  bool operator==(const EntryCandidate &other) const {
    return Node == other.Node && CallerAddress == other.CallerAddress;
  }
};

/// Chooses which nodes of one failure domain serve its callers; the others
/// stand by. Answers a load that is small beside all nodes together: each that
/// serves has to be told at once of every request that others send and of all
/// that engines hold, which grows with the square of their number, and one that
/// is told late piles prompts on engines that are busy.
///
/// Strongest first, and as many as the load needs: callers share themselves out
/// evenly, so each has to bear an even share. The same candidates and load give
/// the same choice at every owner, but for how long it takes to shrink.
class EntrySelector {
public:
  struct Settings {
    /// Part of its processor or link that the load may take of a node, so that
    /// it bears jumps of demand and the share of others that are lost.
    double Fill = 0.25;
    /// Nodes that serve however small the load, so that a loss hits few.
    std::size_t Least = 3;
    /// How long fewer must do before one stands by again.
    Span ShrinkAfter = std::chrono::seconds(10);
    EntryCost Cost;
  };

  explicit EntrySelector(Settings settings) : Setup(settings) {}

  /// Chooses among all that are ready; `load` is that of the failure domain.
  std::vector<EntryCandidate> choose(std::span<const EntryCandidate> ready,
                                     const EntryLoad &load, Instant now);

private:
  std::size_t needed(std::span<const EntryCandidate> strongest,
                     const EntryLoad &load) const;

  Settings Setup;
  std::size_t Number = 0;
  /// When as many as now were needed last.
  Instant NeededAt{};
};

} // namespace hemlockglade
