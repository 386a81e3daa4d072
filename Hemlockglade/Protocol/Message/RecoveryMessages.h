#pragma once

#include "Hemlockglade/Coordination/Recovery/RunningRequests.h"
#include "Hemlockglade/Protocol/Message/PeerMessages.h"

namespace hemlockglade {

namespace peer_path {
/// A cell's new owner requests from a node which of the cell's requests it
/// runs. The stream stays open: the node reports on it when one of these
/// requests ends.
inline constexpr std::string_view Recover = "/recover";
} // namespace peer_path

/// New owner to node, first message on `/recover`.
struct RecoverRequest {
  std::string Cell;
  Epoch Fence = 0;
  MSGPACK_DEFINE(Cell, Fence)
};

/// One running request in a RecoverReply.
struct RunningRequestNotice {
  std::string Id;
  std::string Replica;
  std::string Adapter;
  Epoch Admitted = 0;
  MSGPACK_DEFINE(Id, Replica, Adapter, Admitted)
};

/// Node to new owner: the requests that run there.
struct RecoverReply {
  bool Refused = false;
  Epoch Promised = 0;
  std::vector<RunningRequestNotice> Requests;
  MSGPACK_DEFINE(Refused, Promised, Requests)
};

/// Node to new owner: a request has ended.
struct RequestEndedNotice {
  std::string Id;
  MSGPACK_DEFINE(Id)
};

/// Converts an answer of RunningRequests to a reply.
RecoverReply toReply(const RunningAnswer &answer);
/// Converts a reply to an answer of RunningRequests, for requests of `cell`.
RunningAnswer toAnswer(const RecoverReply &reply, const std::string &cell);

} // namespace hemlockglade
