#pragma once

#include "Hemlockglade/State/Ids.h"

#include <cstddef>

namespace hemlockglade {

/// Bounds of one exchange that are not the route's.
struct ExchangeSettings {
  /// Share of the time that a caller has for which a request is held before
  /// it has been sent anywhere; then it is refused with a time to come back.
  double MaxHoldShare = 0.45;
  /// Callers of a stream leave when nothing comes for the longest of these: a
  /// time, and multiples of the target latency and of the longest pause.
  Span MinCallerPatience = std::chrono::seconds(2);
  double CallerPatienceInTargets = 4;
  double CallerPatienceInGaps = 8;
  /// Share of that patience for which a stream's request is held.
  double StreamHoldShare = 0.65;
  /// A request that has waited this long for an engine's turn asks for another
  /// copy of its weights.
  Span CongestedAfter = std::chrono::milliseconds(300);
  /// Time between two reminders that weights are waited for.
  Span DemandReminderInterval = std::chrono::milliseconds(200);
  /// Time between looks while a request waits, when nothing wakes it.
  Span WaitPollInterval = std::chrono::milliseconds(25);
  /// Share of a route's target latency after which a request that has not been
  /// sent is taken to be late: an engine needs the rest to read its prompt.
  double OnTimeShare = 0.75;
  /// How long a plain replica that turned a request away is left alone by it: a
  /// full queue moves on by some places in the time that one run takes.
  /// Twice as long after each further time: where a whole service is full,
  /// asking again helps nobody.
  Span ShedBackoff = std::chrono::milliseconds(50);
  /// Time in which something has to come from a replica that has started anew
  /// since a request was sent to it: it may have been sent to the new start
  /// already.
  Span RestartGrace = std::chrono::milliseconds(400);
  /// Time that has to be left for an attempt to be worth it.
  Span MinAttemptTime = std::chrono::milliseconds(20);
  /// A kept connection that rested longer is not used for what must not run
  /// twice: if it broke just now the request's fate would be unknown.
  Span MaxIdleForRunOnce = std::chrono::milliseconds(2000);
  /// A repeatable request is sent elsewhere when its replica takes this many
  /// times the usual time, and at least the least.
  double SlowFactor = 6;
  Span MinSlowTime = std::chrono::milliseconds(300);
  /// A stream that may resume is carried on elsewhere after a pause of this
  /// many times the route's longest pause.
  double StallFactor = 4;
  Span MinStallTime = std::chrono::milliseconds(1200);
  /// Bytes of a plain answer that are held until it is complete.
  std::size_t MaxAnswerBytes = std::size_t{8} * 1024 * 1024;
  /// Bytes that may wait for a slow caller before its replica is not read.
  std::size_t MaxQueuedBytes = std::size_t{256} * 1024;
};

} // namespace hemlockglade
