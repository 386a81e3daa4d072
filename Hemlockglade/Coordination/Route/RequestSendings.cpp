#include "Hemlockglade/Coordination/Route/RequestSendings.h"

namespace hemlockglade {

std::string_view sendingStateName(SendingState state) {
  switch (state) {
  case SendingState::Chosen:
    return "chosen";
  case SendingState::Withdrawn:
    return "withdrawn";
  case SendingState::Written:
    return "written";
  case SendingState::Answering:
    return "answering";
  case SendingState::Answered:
    return "answered";
  case SendingState::Broken:
    return "broken";
  case SendingState::Abandoned:
    return "abandoned";
  case SendingState::NotRun:
    return "not-run";
  }
  return "unknown";
}

bool RequestSendings::mayHaveRun(SendingState state) {
  switch (state) {
  case SendingState::Chosen:
  case SendingState::Withdrawn:
  case SendingState::NotRun:
    return false;
  case SendingState::Written:
  case SendingState::Answering:
  case SendingState::Answered:
  case SendingState::Broken:
  case SendingState::Abandoned:
    break;
  }
  return true;
}

bool RequestSendings::advance(SendingState from, SendingState to) {
  if (Last != from)
    return false;
  Last = to;
  return true;
}

bool RequestSendings::begin() {
  if (Last == SendingState::Chosen || isUnderWay())
    return false;
  EarlierMayHaveRun = mayHaveRun();
  Last = SendingState::Chosen;
  ++Count;
  return true;
}

bool RequestSendings::onWritten() {
  return advance(SendingState::Chosen, SendingState::Written);
}

bool RequestSendings::onAnswering() {
  return advance(SendingState::Written, SendingState::Answering);
}

bool RequestSendings::onAnswered() {
  return advance(SendingState::Answering, SendingState::Answered);
}

bool RequestSendings::onBroken() {
  return advance(SendingState::Written, SendingState::Broken) ||
         advance(SendingState::Answering, SendingState::Broken);
}

bool RequestSendings::onNotRun() {
  if (!advance(SendingState::Written, SendingState::NotRun))
    return false;
  ++NotRunCount;
  return true;
}

void RequestSendings::end() {
  if (Last == SendingState::Chosen)
    Last = SendingState::Withdrawn;
  else if (isUnderWay())
    Last = SendingState::Abandoned;
}

} // namespace hemlockglade
