#pragma once

#include "Hemlockglade/State/Ids.h"

namespace hemlockglade {

/// What a node observed of one attempt at an endpoint.
struct AttemptObservation {
  /// A byte of the request may have reached the endpoint.
  bool MayHaveSent = false;
  /// The endpoint itself answered that it refused the request before running
  /// it.
  bool RefusedBeforeRunning = false;
  /// The endpoint's answer arrived completely.
  bool AnswerComplete = false;
  /// The whole answer was sent to the caller.
  bool AnswerDelivered = false;
};

/// Returns the outcome of an attempt: `NotRun` only if no byte reached the
/// endpoint or it refused before running; `Complete` only if the whole answer
/// was sent to the caller; otherwise `Unknown`, since the request may have run.
Outcome outcomeOf(const AttemptObservation &observation);

/// Returns the outcome of a request whose earlier attempts ended as `earlier`
/// and the last one as `last`: `NotRun` only if none of them ran.
Outcome outcomeAfter(Outcome earlier, Outcome last);

} // namespace hemlockglade
