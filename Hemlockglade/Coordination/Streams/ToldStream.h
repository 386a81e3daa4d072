#pragma once

#include "Hemlockglade/Coordination/Streams/StreamOrigins.h"

#include <optional>
#include <string>
#include <vector>

namespace hemlockglade {

/// What the node that a caller's request arrived at has told other nodes of the
/// stream that it is about to begin.
///
/// No node may hold an origin that is no longer true: a node that was told of
/// an earlier attempt answers with it when the stream is taken up. So the
/// origin changes only after all holders have confirmed that they dropped it.
struct ToldStream {
  struct Holder {
    /// `ip:port`.
    std::string Address;
    /// Whether it is in this node's failure domain.
    bool IsNear = false;
  };

  /// All nodes that were told by any statement.
  std::vector<Holder> Holders;
  /// What holders may have been told; nothing before the first statement and
  /// after a withdrawal.
  std::optional<StreamOrigin> Origin;
  /// Number of the last statement; a holder ignores those with a lower one.
  std::uint32_t Sequence = 0;
};

} // namespace hemlockglade
