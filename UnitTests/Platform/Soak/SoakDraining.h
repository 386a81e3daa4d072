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

/// What a run shows of replicas that say in their answers that they leave.
struct LeavingFindings {
  /// Number of gateways that a replica has told so, over all replicas.
  std::size_t Told = 0;
  /// Requests that arrived too late, as texts for a reader.
  std::vector<std::string> Late;
};

/// Finds requests that callers sent to a gateway later than the bound after a
/// replica had told it so (event `told_leaving`, with the answered request),
/// and that this gateway sent there. Disturbances of the store and of links
/// excuse nothing; a restart or a pause of the gateway since then does.
LeavingFindings checkLeaving(const std::vector<HistoryEvent> &events,
                             Span bound);

} // namespace hemlockglade::soak
