#pragma once

#include "UnitTests/History/HistoryEvent.h"

#include <vector>

namespace hemlockglade::soak {

/// How often replicas failed because they had to reject too many requests.
struct BrittleFindings {
  /// Number of times in which a service's replicas stated a limit on
  /// rejections.
  std::size_t Checked = 0;
  /// Requests rejected for want of room in these times, and failures.
  std::size_t Rejected = 0;
  std::size_t Fallen = 0;
  /// Requests that reached the service's replicas in these times.
  std::size_t Arrived = 0;
  /// One line of text for each time with too many failures.
  std::vector<std::string> Exceeded;
};

/// Checks how often replicas fail while they state a limit on rejections. The
/// event `brittle` begins such a time of a service, whose number of replicas is
/// in `running`, and `sound` ends it; `no_room` is a rejection, `fell` a
/// failure. A failure counts if most of the rejections of the second before it
/// were of requests from gateways that had been undisturbed for `contact`.
BrittleFindings checkBrittle(const std::vector<HistoryEvent> &events,
                             Span contact);

} // namespace hemlockglade::soak
