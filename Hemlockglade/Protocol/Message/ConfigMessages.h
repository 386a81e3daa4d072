#pragma once

#include "Hemlockglade/Protocol/Message/PeerMessages.h"

namespace hemlockglade {

namespace peer_path {
/// A node asks another for configuration: one question, one answer.
inline constexpr std::string_view Config = "/config";
} // namespace peer_path

/// `ConfigFetch` on the wire.
struct ConfigFetchMessage {
  Revision From = 0;
  std::int32_t Piece = -1;
  MSGPACK_DEFINE(From, Piece)
};

/// `ConfigAnswer` on the wire.
struct ConfigAnswerMessage {
  Revision Number = 0;
  bool TooOld = false;
  std::vector<std::string> Deltas;
  std::string Piece;
  MSGPACK_DEFINE(Number, TooOld, Deltas, Piece)
};

} // namespace hemlockglade
