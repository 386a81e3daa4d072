#pragma once

#include "UnitTests/History/HistoryEvent.h"

#include <string>
#include <vector>

namespace hemlockglade::soak {

/// What a run shows of requests to draining replicas.
struct DrainingFindings {
  /// Number of replicas that reported that they drain.
  std::size_t Drained = 0;
  /// Requests that arrived too late, as texts for a reader.
  std::vector<std::string> Late;
};

/// Finds requests that arrived at a replica later than the bound after the
/// store had its report, unless the store or a link was disturbed within the
/// bound before. Unlike the check of the history, it also judges gateways that
/// were paused meanwhile: they can poll the store before they send.
DrainingFindings checkDraining(const std::vector<HistoryEvent> &events,
                               Span bound);

} // namespace hemlockglade::soak
