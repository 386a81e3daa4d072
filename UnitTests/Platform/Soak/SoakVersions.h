#pragma once

#include "UnitTests/History/HistoryEvent.h"

#include <vector>

namespace hemlockglade::soak {

/// What the beginnings of runs showed of versions that operators had named.
struct VersionFindings {
  /// Runs that began on a version of which a newer one was acknowledged.
  std::size_t Replaced = 0;
  /// One line for each of them that began too late.
  std::vector<std::string> Late;
};

/// Looks at which version each run began on. `named` says which version was
/// acknowledged, `ran` which one began and when it was sent there, `sent` by
/// which gateway. A version's time counts from the acknowledgement of its first
/// newer one in one stretch with a well store and sound links: it starts anew
/// as a disturbance ends. Runs count that were sent by a gateway that had been
/// well for `contact`. The events are in the order of their times.
VersionFindings judgeVersions(const std::vector<HistoryEvent> &events,
                              Span bound, Span contact);

} // namespace hemlockglade::soak
