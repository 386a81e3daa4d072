#pragma once

#include "UnitTests/History/HistoryEvent.h"

#include <string>
#include <vector>

namespace hemlockglade::soak {

struct CutOffFindings {
  /// Number of cuts in which requests came to gateways that were cut off, with
  /// the requests there and those of them that were served.
  int Checked = 0;
  int Sent = 0;
  int Served = 0;
  /// Cuts in which gateways that were cut off served too few requests.
  std::vector<std::string> Poor;
};

/// Checks that gateways that are cut off from all replicas serve their callers:
/// from `contact` after a cut began they must not serve less than two thirds as
/// often as the others with more than 10 + 1 in 50 unserved. Requests to
/// gateways that were disturbed otherwise within `contact` don't count, nor
/// those whose callers left.
CutOffFindings checkCutOffs(const std::vector<HistoryEvent> &events,
                            Span contact);

} // namespace hemlockglade::soak
