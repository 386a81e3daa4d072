#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace hemlockglade {

/// What nodes tell each other about cells and limits.
enum class PeerMessage : std::uint8_t {
  /// A node's regular message to an owner, and its brief one as it sends
  /// requests.
  NodeBeat,
  NodeNotice,
  /// An owner's regular message to a node, and its brief one of what others
  /// send and engines hold.
  OwnerBeat,
  OwnerNotice,
  /// What an entry asks of an owner of workspaces' limits, and its answer.
  QuotaAsk,
  QuotaGrant,
};

std::string_view peerMessageName(PeerMessage kind);

/// Counts what a node has sent to others, by kind and by whether it went to
/// its own failure domain.
class PeerTraffic {
public:
  struct Sum {
    std::uint64_t Messages = 0;
    std::uint64_t Bytes = 0;
  };
  static constexpr std::size_t Kinds = 6;

  void add(PeerMessage kind, bool near, std::size_t bytes);
  const Sum &sum(PeerMessage kind, bool near) const {
    return Sums[near ? 1 : 0][static_cast<std::size_t>(kind)];
  }

private:
  std::array<std::array<Sum, Kinds>, 2> Sums;
};

} // namespace hemlockglade
