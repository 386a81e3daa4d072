#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace hemlockglade {

/// Kinds of messages that nodes send each other about cells and limits.
enum class PeerMessage : std::uint8_t {
  /// A node's regular message to an owner, and its brief one when it has sent
  /// requests to replicas.
  NodeHeartbeat,
  NodeNotice,
  /// An owner's regular message to a node, and its brief one about requests
  /// that others have sent and weights that replicas hold.
  OwnerHeartbeat,
  OwnerNotice,
  /// An entry's request to an owner for a part of workspaces' limits, and the
  /// owner's answer.
  QuotaRequest,
  QuotaGrant,
  /// Streams that a node begins, for the nodes that remember them.
  StreamNotice,
};

std::string_view peerMessageName(PeerMessage kind);

/// Counts the messages that a node has sent to others, by kind and by whether
/// they went to its own failure domain.
class PeerTraffic {
public:
  struct Sum {
    std::uint64_t Messages = 0;
    std::uint64_t Bytes = 0;
  };
  static constexpr std::size_t Kinds = 7;

  void add(PeerMessage kind, bool near, std::size_t bytes);
  const Sum &sum(PeerMessage kind, bool near) const {
    return Sums[near ? 1 : 0][static_cast<std::size_t>(kind)];
  }

private:
  std::array<std::array<Sum, Kinds>, 2> Sums;
};

} // namespace hemlockglade
