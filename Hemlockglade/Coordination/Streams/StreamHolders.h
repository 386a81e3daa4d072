#pragma once

#include "Hemlockglade/Coordination/Entries/ServingEntries.h"
#include "Hemlockglade/Coordination/Streams/StreamOrigins.h"

#include <span>
#include <vector>

namespace hemlockglade {

/// A node that may know the origin of a stream.
struct StreamHolder {
  const EntryCandidate *Node = nullptr;
  std::string_view FailureDomain;
};

/// Returns all nodes by rendezvous hashing of the stream: the first ones are
/// told of it, and asked for it. Few places change when nodes come or go. The
/// result refers to `entries`.
std::vector<StreamHolder> rankHolders(StreamKey key,
                                      std::span<const DomainEntries> entries);

/// Returns the nodes that `ownNode` tells of a stream: the first `count` of the
/// others, of which one is in another failure domain than the first if there is
/// any.
std::vector<StreamHolder> holdersToTell(std::span<const StreamHolder> ranked,
                                        std::string_view ownNode,
                                        std::size_t count);

} // namespace hemlockglade
