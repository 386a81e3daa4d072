#pragma once

#include "UnitTests/History/HistoryEvent.h"

#include <vector>

namespace hemlockglade::soak {

/// What a run shows of replicas that answer by bytes without end.
struct EndlessFindings {
  /// Number of such answers to gateways that ran throughout.
  std::size_t Checked = 0;
  /// Longest time until a gateway closed the connection, and the bytes that a
  /// replica had sent by then at most.
  Span MaxOpen{0};
  std::int64_t MaxBytes = 0;
  /// One line of text for each that was open for longer than `EndlessBound`.
  std::vector<std::string> Open;
  /// One line of text for each caller that got bytes of one.
  std::vector<std::string> Delivered;
};

/// Time within which a gateway must close a connection: the timeout of the
/// soak's requests, and a second.
constexpr Span EndlessBound = std::chrono::milliseconds(4000);

/// Checks that gateways close connections on which a replica answers without
/// end, and that callers get none of these bytes: the events `endless_began`
/// and `endless_ended` of a replica, with the number of the answer as `run` and
/// the gateway as `to`; an answer that the replica itself ended is not `whole`.
/// Gateways that were killed or paused in that time are excused.
EndlessFindings checkEndless(const std::vector<HistoryEvent> &events);

} // namespace hemlockglade::soak
