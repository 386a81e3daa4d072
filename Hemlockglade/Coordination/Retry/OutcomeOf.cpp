#include "Hemlockglade/Coordination/Retry/OutcomeOf.h"

namespace hemlockglade {

Outcome outcomeOf(const AttemptObservation &seen) {
  if (!seen.MayHaveSent)
    return Outcome::NotRun;
  // A refusal that is cut off may be the beginning of anything.
  if (seen.RefusedBeforeRunning && seen.AnswerWhole)
    return Outcome::NotRun;
  if (seen.AnswerWhole && seen.PassedWhole)
    return Outcome::Complete;
  return Outcome::Unknown;
}

Outcome outcomeAfter(Outcome earlier, Outcome last) {
  if (last == Outcome::NotRun && earlier != Outcome::NotRun)
    return Outcome::Unknown;
  return last;
}

} // namespace hemlockglade
