#pragma once

#include "Hemlockglade/State/Ids.h"

#include <cstddef>

namespace hemlockglade {

/// Limits of one exchange with a caller that a route does not set.
struct ExchangeSettings {
  /// Share of the caller's timeout for which a request is held before its first
  /// attempt; after that it is refused with a time after which to retry.
  double MaxHoldShare = 0.45;
  /// A stream's caller is expected to disconnect when it receives nothing for
  /// the maximum of these: a fixed time, and multiples of the target latency
  /// and of the route's longest pause between events.
  Span MinCallerTimeout = std::chrono::seconds(2);
  double CallerTimeoutInTargets = 4;
  double CallerTimeoutInGaps = 8;
  /// Share of that time for which a stream's request is held.
  double StreamHoldShare = 0.65;
  /// A request that has waited this long for an engine requests another copy of
  /// its weights.
  Span CongestedAfter = std::chrono::milliseconds(300);
  /// Interval between messages that repeat the demand for weights.
  Span DemandReminderInterval = std::chrono::milliseconds(200);
  /// Interval at which a waiting request checks for a replica when nothing
  /// wakes it.
  Span WaitPollInterval = std::chrono::milliseconds(25);
  /// Share of a route's target latency after which a request that has not been
  /// sent counts as late: the engine needs the rest for prefill.
  double OnTimeShare = 0.75;
  /// Initial backoff of a request for a plain replica that shed it: a full
  /// queue advances by some places in the time that one run takes. It doubles
  /// with each further shedding, because retries don't help where a whole
  /// service is full.
  Span ShedBackoff = std::chrono::milliseconds(50);
  /// Time within which something has to be received from a replica that has
  /// restarted since a request was sent to it: the request may have reached the
  /// new incarnation already.
  Span RestartGrace = std::chrono::milliseconds(400);
  /// Time that must remain for an attempt to be made.
  Span MinAttemptTime = std::chrono::milliseconds(20);
  /// A pooled connection that was idle for longer is not used for requests that
  /// must not run twice: if it is found broken, it is unknown whether the
  /// request ran.
  Span MaxIdleForRunOnce = std::chrono::milliseconds(2000);
  /// A repeatable request is sent to another replica when its replica takes
  /// this many times its typical time, and at least the minimum.
  double SlowFactor = 6;
  Span MinSlowTime = std::chrono::milliseconds(300);
  /// A resumable stream is continued at another replica after a pause of this
  /// many times the route's longest pause, and at least the minimum.
  double StallFactor = 4;
  Span MinStallTime = std::chrono::milliseconds(1200);
  /// Whether requests that are held for engines wait in one queue for each
  /// service and weights; else each polls on its own.
  bool QueueHeld = false;
  /// Whether requests that can't be sent before their hold time ends, by the
  /// estimate of that queue, are refused at once.
  bool RejectHopeless = false;
  /// Interval at which a request in that queue checks whether it has been held
  /// too long while others are sent first.
  Span HeldPollInterval = std::chrono::milliseconds(100);
  /// Bytes of a plain answer that are buffered until it is complete.
  std::size_t MaxAnswerBytes = std::size_t{8} * 1024 * 1024;
  /// Bytes that may be queued for a slow caller before reading from its replica
  /// stops.
  std::size_t MaxQueuedBytes = std::size_t{256} * 1024;
};

} // namespace hemlockglade
