#pragma once

#include "UnitTests/Platform/Soak/SoakReplica.h"

namespace hemlockglade::soak {

/// A request at a replica.
struct SoakReplica::Run {
  CallerRequest Request;
  std::shared_ptr<CallerReply> Reply;
  Instant ArrivedAt = TimerService::now();
  std::string Tag;
  std::string Adapter;
  std::uint64_t Version = 0;
  /// Number of the run; 0 until the request begins to run.
  std::uint64_t Number = 0;
  bool Stream = false;
  /// Number of the event in which the stream is cut off; 0 if it isn't.
  int TruncatedAt = 0;
  int NextEvent = 1;
  bool HeadSent = false;
  bool Ended = false;
};

} // namespace hemlockglade::soak
