#pragma once

#include "Hemlockglade/Protocol/Message/PeerMessages.h"

#include <vector>

namespace hemlockglade {

namespace peer_path {
/// A node tells another of streams that it begins.
inline constexpr std::string_view StreamsBegun = "/streams/begun";
/// A node requests from another what began a stream.
inline constexpr std::string_view StreamOrigin = "/streams/origin";
/// A node tells another that a stream's origin is not what it said before.
inline constexpr std::string_view StreamWithdrawn = "/streams/withdrawn";
} // namespace peer_path

/// A `StreamOrigin` as it is sent between nodes.
struct StreamOriginNotice {
  std::string Service;
  std::string SoftwareVersion;
  MSGPACK_DEFINE(Service, SoftwareVersion)
};

/// A stream that an attempt is about to begin or go on with.
struct BegunStreamNotice {
  std::uint64_t Key = 0;
  /// Index of its origin in the message.
  std::uint32_t Origin = 0;
  /// Number of this statement about the stream's origin; 0 if the attempt goes
  /// on with the stream.
  std::uint32_t Sequence = 0;
  MSGPACK_DEFINE(Key, Origin, Sequence)
};

/// Sent repeatedly on `/streams/begun`.
struct BegunStreamsMessage {
  std::vector<StreamOriginNotice> Origins;
  std::vector<BegunStreamNotice> Streams;
  MSGPACK_DEFINE(Origins, Streams)
};

/// First message on `/streams/withdrawn`: what was said of the stream by
/// statements of a lower number doesn't hold.
struct StreamWithdrawal {
  std::uint64_t Key = 0;
  std::uint32_t Sequence = 0;
  MSGPACK_DEFINE(Key, Sequence)
};

/// The answer, once the node has dropped them.
struct StreamWithdrawalReply {
  std::uint64_t Key = 0;
  MSGPACK_DEFINE(Key)
};

/// First message on `/streams/origin`.
struct StreamOriginRequest {
  std::uint64_t Key = 0;
  MSGPACK_DEFINE(Key)
};

/// The answer: the stream's origin, or none if the node does not know it.
struct StreamOriginReply {
  std::vector<StreamOriginNotice> Origin;
  /// Position of the registry at which the last replica joined that the node
  /// knows; none from a node of an earlier release.
  std::vector<std::uint64_t> JoinedPosition;
  MSGPACK_DEFINE(Origin, JoinedPosition)
};

} // namespace hemlockglade
