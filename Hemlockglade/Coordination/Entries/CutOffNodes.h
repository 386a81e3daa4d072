#pragma once

#include "Hemlockglade/Coordination/Entries/EntryLoad.h"

#include <set>
#include <span>
#include <string>

namespace hemlockglade {

/// A node that is ready for callers, with what it reports of its connectivity.
struct NodeReach {
  std::string Node;
  HostCapacity Host;
  EntryLoad Load;
  /// Services that it has received data from lately.
  std::set<std::string> Reached;
  /// Services whose replicas it can't reach.
  std::set<std::string> CutOff;
};

/// Returns the nodes that callers should not be sent to: those that are cut off
/// from a service which another node reaches. None if the other nodes could not
/// bear the load, or if there are none: a node that is cut off still serves
/// through others.
std::set<std::string> nodesToLeaveOut(std::span<const NodeReach> nodes);

} // namespace hemlockglade
