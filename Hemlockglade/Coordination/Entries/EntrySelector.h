#pragma once

#include "Hemlockglade/Coordination/Entries/EntryLoad.h"

#include <set>
#include <span>
#include <string>
#include <vector>

namespace hemlockglade {

/// A node that can serve callers of its failure domain.
struct EntryCandidate {
  std::string Node;
  std::string CallerAddress;
  HostCapacity Host;
  /// `ip:port` where it forwards requests for other nodes; empty if it does
  /// not.
  std::string RelayAddress;
  /// Services whose replicas it can't reach.
  std::set<std::string> CutOff;

  bool operator==(const EntryCandidate &other) const {
    return Node == other.Node && CallerAddress == other.CallerAddress &&
           RelayAddress == other.RelayAddress && CutOff == other.CutOff;
  }
};

/// Chooses which nodes of one failure domain are in service; the others are on
/// standby. Only as many as needed serve: each node in service must at once
/// receive every request that others send and all that engines hold, which
/// grows with the square of their number. A node that receives it late
/// sends further prompts to engines that are busy.
///
/// Takes the strongest nodes first, and as many as the load needs: callers
/// spread evenly over the nodes, so each must bear an even share. The same
/// candidates and load give the same choice at every owner, except for the
/// delay before it shrinks.
class EntrySelector {
public:
  struct Settings {
    /// Maximum share of a node's processor or link that the load may take, so
    /// that the node can bear jumps in demand and the share of failed nodes.
    double MaxShare = 0.25;
    /// Minimum number of nodes in service, however small the load, so that the
    /// failure of one affects few callers.
    std::size_t MinEntries = 3;
    /// How long fewer nodes must suffice before one goes to standby again.
    Span ShrinkDelay = std::chrono::seconds(10);
    EntryCost Cost;
  };

  explicit EntrySelector(Settings settings) : Options(settings) {}

  /// Returns the nodes in service out of all that are ready; `load` is that of
  /// the failure domain.
  std::vector<EntryCandidate> choose(std::span<const EntryCandidate> ready,
                                     const EntryLoad &load, Instant now);

private:
  std::size_t neededCount(std::span<const EntryCandidate> strongest,
                          const EntryLoad &load) const;

  Settings Options;
  std::size_t Count = 0;
  /// When `Count` nodes were needed last.
  Instant NeededAt{};
};

} // namespace hemlockglade
