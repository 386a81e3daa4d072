#pragma once

#include "Hemlockglade/Transport/Time/TimerService.h"
#include "UnitTests/History/HistoryEvent.h"

#include <vector>

namespace hemlockglade::soak {

/// Events that the soak's callers and stand-ins record, in the format of the
/// history checker (StandIns/HISTORY.md).
class SoakHistory {
public:
  /// Appends an event with the current time. The caller fills in its fields;
  /// the reference is valid until the next event is recorded.
  HistoryEvent &record(std::string who, std::string event) {
    auto &out = Events.emplace_back();
    out.At = TimerService::now();
    out.Who = std::move(who);
    out.Event = std::move(event);
    return out;
  }

  /// Moves out all events, each with a line of text for printed excerpts.
  std::vector<HistoryEvent> take();

private:
  std::vector<HistoryEvent> Events;
};

} // namespace hemlockglade::soak
