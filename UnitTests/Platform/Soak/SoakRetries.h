#pragma once

#include "UnitTests/History/HistoryEvent.h"

#include <string>
#include <vector>

namespace hemlockglade::soak {

/// The retry budget of a service over all gateways.
struct RetryBounds {
  double RetriesPerRequest = 0;
  double FixedRetries = 0;
  Span Window{0};
};

struct RetryFindings {
  /// Arrivals at replicas beyond the first one of each request.
  int Retries = 0;
  /// Largest share of what is allowed in a window that was used in it.
  double MaxUsed = 0;
  /// Windows with more of them than allowed, one a service.
  std::vector<std::string> Exceeded;
};

/// Checks that in each window of time each service gets no more arrivals beyond
/// the first of each request than allowed: a share of the requests that callers
/// sent for it in that window, the one before or the one half a window before,
/// plus a fixed number.
RetryFindings checkRetries(const std::vector<HistoryEvent> &events,
                           const RetryBounds &bounds);

} // namespace hemlockglade::soak
