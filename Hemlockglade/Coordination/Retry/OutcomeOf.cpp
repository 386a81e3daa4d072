#include "Hemlockglade/Coordination/Retry/OutcomeOf.h"

namespace hemlockglade {

Outcome outcomeOf(const AttemptObservation &observation) {
  if (!observation.MayHaveSent)
    return Outcome::NotRun;
  // A truncated refusal may be the beginning of any answer.
  if (observation.RefusedBeforeRunning && observation.AnswerComplete)
    return Outcome::NotRun;
  if (observation.AnswerComplete && observation.AnswerDelivered)
    return Outcome::Complete;
  return Outcome::Unknown;
}

Outcome outcomeAfter(Outcome earlier, Outcome last) {
  if (last == Outcome::NotRun && earlier != Outcome::NotRun)
    return Outcome::Unknown;
  return last;
}

} // namespace hemlockglade
