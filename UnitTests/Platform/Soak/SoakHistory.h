#pragma once

#include "Hemlockglade/Transport/Time/TimerService.h"
#include "UnitTests/History/HistoryEvent.h"

#include <vector>

namespace hemlockglade::soak {

/// What the soak's callers and stand-ins saw, in the words of the history
/// checker (StandIns/HISTORY.md).
class SoakHistory {
public:
  /// Notes an event of now; gives it to be filled in before the next one.
  HistoryEvent &note(std::string who, std::string event) {
    auto &out = Events.emplace_back();
    out.At = TimerService::now();
    out.Who = std::move(who);
    out.Event = std::move(event);
    return out;
  }

  /// Everything so far, each with a line for excerpts.
  std::vector<HistoryEvent> take();

private:
  std::vector<HistoryEvent> Events;
};

} // namespace hemlockglade::soak
