#pragma once

#include "UnitTests/History/HistoryEvent.h"

#include <vector>

namespace hemlockglade::soak {

/// The versions of weights that runs began on, compared with those that
/// operators had declared.
struct VersionFindings {
  /// Number of runs that began on a version whose newer one had been
  /// acknowledged.
  std::size_t Replaced = 0;
  /// One line of text for each of them that began too late.
  std::vector<std::string> Late;
};

/// Checks which version each run began on. The event `named` holds the version
/// that was acknowledged, `ran` the version a run began on and when it was sent
/// there, and `sent` the gateway. A run is late if it begins more than `bound`
/// after the acknowledgement of the first newer version. The store and all
/// links must be undisturbed throughout that time: it starts again when a
/// disturbance ends. Only runs can be late whose gateway, and its links to
/// replicas, had been undisturbed for `contact` before the request was sent.
/// The events are in the order of their times.
VersionFindings checkVersions(const std::vector<HistoryEvent> &events,
                              Span bound, Span contact);

} // namespace hemlockglade::soak
