#include "Hemlockglade/Coordination/Decision/CoreTypes.h"

namespace hemlockglade {

std::string_view reasonName(Reason reason) {
  switch (reason) {
  case Reason::Resident:
    return "resident";
  case Reason::PrefixAffinity:
    return "prefix-affinity";
  case Reason::AfterLoad:
    return "after-load";
  case Reason::PlainLeastLoaded:
    return "plain-least-loaded";
  case Reason::Demand:
    return "demand";
  case Reason::Prefetch:
    return "prefetch";
  case Reason::Operator:
    return "operator";
  case Reason::Pin:
    return "pin";
  case Reason::MakeRoom:
    return "make-room";
  case Reason::NobodyWaits:
    return "nobody-waits";
  case Reason::QueueFull:
    return "queue-full";
  case Reason::DeadlineInfeasible:
    return "deadline-infeasible";
  case Reason::DeadlinePassed:
    return "deadline-passed";
  case Reason::CallerLimit:
    return "caller-limit";
  case Reason::NoReplica:
    return "no-replica";
  case Reason::LoadFailing:
    return "load-failing";
  case Reason::NotOwner:
    return "not-owner";
  case Reason::Draining:
    return "draining";
  case Reason::RetryBudget:
    return "retry-budget";
  case Reason::Shed:
    return "shed";
  }
  return "unknown";
}

} // namespace hemlockglade
