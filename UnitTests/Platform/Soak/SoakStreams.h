#pragma once

#include "UnitTests/History/HistoryEvent.h"

#include <string>
#include <vector>

namespace hemlockglade::soak {

struct StreamFindings {
  int Streams = 0;
  /// Streams with events of several software versions.
  std::vector<std::string> Mixed;
  /// Requests that begin a stream at gateways that were not disturbed, and
  /// those of them that brought events; requests that take one up there while
  /// two replicas of its version serve, and those of them.
  int Sent = 0;
  int Begun = 0;
  int TakenUp = 0;
  int GoneOn = 0;

  /// Whether streams that are taken up go on at least half as often as new ones
  /// begin, if there are enough of them.
  bool goOn() const;
};

/// Checks what callers received of streams that may be taken up. Requests to
/// gateways that were disturbed within `contact` before don't count among those
/// that go on.
StreamFindings checkStreams(const std::vector<HistoryEvent> &events,
                            Span contact);

} // namespace hemlockglade::soak
