#include "Hemlockglade/Coordination/Orders/EngineOrder.h"

namespace hemlockglade {

std::string_view orderAnswerName(OrderAnswer answer) {
  switch (answer) {
  case OrderAnswer::Accepted:
    return "accepted";
  case OrderAnswer::Holds:
    return "holds";
  case OrderAnswer::Conflict:
    return "conflict";
  case OrderAnswer::Fenced:
    return "fenced";
  case OrderAnswer::OtherIncarnation:
    return "other-incarnation";
  case OrderAnswer::Rejected:
    return "rejected";
  case OrderAnswer::Withheld:
    return "withheld";
  case OrderAnswer::Unknown:
    return "unknown";
  }
  return "unknown";
}

} // namespace hemlockglade
