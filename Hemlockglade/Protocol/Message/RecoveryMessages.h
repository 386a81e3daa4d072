#pragma once

#include "Hemlockglade/Coordination/Recovery/RunningRequests.h"
#include "Hemlockglade/Protocol/Message/PeerMessages.h"

namespace hemlockglade {

namespace peer_path {
/// A cell's new owner asks a node for what it runs of the cell. The stream
/// stays open: the node tells on it which of these requests end.
inline constexpr std::string_view Recover = "/recover";
} // namespace peer_path

/// New owner to node, first message on `/recover`.
struct RecoverAsk {
  std::string Cell;
  Epoch Fence = 0;
  MSGPACK_DEFINE(Cell, Fence)
};

/// One running request in a RecoverReply.
struct RecoverItem {
  std::string Id;
  std::string Replica;
  std::string Adapter;
  Epoch Admitted = 0;
  MSGPACK_DEFINE(Id, Replica, Adapter, Admitted)
};

/// Node to new owner: what runs.
struct RecoverReply {
  bool Refused = false;
  Epoch Promised = 0;
  std::vector<RecoverItem> Requests;
  MSGPACK_DEFINE(Refused, Promised, Requests)
};

/// Node to new owner: a request has ended.
struct RecoverEnded {
  std::string Id;
  MSGPACK_DEFINE(Id)
};

/// The reply that tells a register's answer.
RecoverReply toReply(const RunningAnswer &answer);
/// The register's answer that a reply tells.
RunningAnswer toAnswer(const RecoverReply &reply, const std::string &cell);

} // namespace hemlockglade
