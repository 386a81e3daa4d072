#pragma once

#include "Hemlockglade/Protocol/Message/PeerMessages.h"

#include <vector>

namespace hemlockglade {

namespace peer_path {
/// A node tells another of streams that it begins.
inline constexpr std::string_view StreamsBegun = "/streams/begun";
/// A node requests from another what began a stream.
inline constexpr std::string_view StreamOrigin = "/streams/origin";
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
  /// Number of the attempt at its request; 0 if it goes on with the stream.
  std::uint32_t Attempt = 0;
  MSGPACK_DEFINE(Key, Origin, Attempt)
};

/// Sent repeatedly on `/streams/begun`.
struct BegunStreamsMessage {
  std::vector<StreamOriginNotice> Origins;
  std::vector<BegunStreamNotice> Streams;
  MSGPACK_DEFINE(Origins, Streams)
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
