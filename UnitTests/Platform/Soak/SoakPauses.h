#pragma once

#include "UnitTests/History/HistoryEvent.h"

#include <vector>

namespace hemlockglade::soak {

/// What a run shows of replicas that ask gateways for pauses.
struct PauseFindings {
  /// Number of pauses that gateways were asked for.
  std::size_t Asked = 0;
  /// Requests that arrived within a pause and later than `PauseSlack` after it
  /// was asked for, from undisturbed gateways.
  std::size_t Arrived = 0;
  /// One line of text for each pause with more than `AllowedInPause` of them.
  std::vector<std::string> Broken;
};

/// Time in which requests may arrive that were on their way.
constexpr Span PauseSlack = std::chrono::milliseconds(500);
constexpr std::size_t AllowedInPause = 2;

/// Counts the requests that replicas got from gateways which they had asked for
/// a pause: the event `asked_pause` of a replica, with the request that was
/// rejected as `tag`, and the pause in milliseconds as `running`. A gateway
/// that was killed, paused, or whose links were disturbed in the pause is
/// excused.
PauseFindings checkPauses(const std::vector<HistoryEvent> &events);

} // namespace hemlockglade::soak
