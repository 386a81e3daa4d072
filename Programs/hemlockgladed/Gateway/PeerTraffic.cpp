#include "Programs/hemlockgladed/Gateway/PeerTraffic.h"

namespace hemlockglade {

std::string_view peerMessageName(PeerMessage kind) {
  switch (kind) {
  case PeerMessage::NodeHeartbeat:
    return "node_beat";
  case PeerMessage::NodeNotice:
    return "node_notice";
  case PeerMessage::OwnerHeartbeat:
    return "owner_beat";
  case PeerMessage::OwnerNotice:
    return "owner_notice";
  case PeerMessage::QuotaRequest:
    return "quota_ask";
  case PeerMessage::QuotaGrant:
    return "quota_grant";
  case PeerMessage::StreamNotice:
    return "stream_notice";
  }
  return "unknown";
}

void PeerTraffic::add(PeerMessage kind, bool near, std::size_t bytes) {
  auto &sum = Sums[near ? 1 : 0][static_cast<std::size_t>(kind)];
  ++sum.Messages;
  sum.Bytes += bytes;
}

} // namespace hemlockglade
