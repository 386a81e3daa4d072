#pragma once

#include "UnitTests/History/HistoryEvent.h"

#include <vector>

namespace hemlockglade::soak {

/// The arrivals at replicas that state limits, compared with these limits.
struct LimitFindings {
  /// Number of statements of a limit that lasted long enough to be checked.
  std::size_t Checked = 0;
  /// One line of text for each of them that was exceeded.
  std::vector<std::string> Exceeded;
};

/// Checks how many requests replicas get that state a limit. The event
/// `limited` holds the limit, `unlimited` ends it, `arrived` is a request at a
/// replica, and `told` an answer with the limit. From `contact` after the
/// statement on, no window may have more arrivals than the limit allows, of
/// gateways that had been told half a second before. A gateway that was
/// disturbed within the window is left out.
LimitFindings checkLimits(const std::vector<HistoryEvent> &events,
                          Span contact);

} // namespace hemlockglade::soak
