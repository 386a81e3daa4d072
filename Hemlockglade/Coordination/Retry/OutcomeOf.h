#pragma once

#include "Hemlockglade/State/Ids.h"

namespace hemlockglade {

/// What was seen of one attempt at an endpoint.
struct AttemptObservation {
  /// A byte of the request may have reached the endpoint.
  bool MayHaveSent = false;
  /// The endpoint itself said that it refused before running.
  bool RefusedBeforeRunning = false;
  /// The endpoint's answer came with its end.
  bool AnswerWhole = false;
  /// All of the answer went to the caller.
  bool PassedWhole = false;
};

/// The outcome of an attempt: `NotRun` only if no byte reached the endpoint or
/// it refused before running; `Complete` only if the caller has all of the
/// answer; everything else may have run.
Outcome outcomeOf(const AttemptObservation &seen);

/// The outcome of a request whose earlier attempts ended as `earlier` and the
/// last one as `last`: not run only if none of them ran.
Outcome outcomeAfter(Outcome earlier, Outcome last);

} // namespace hemlockglade
