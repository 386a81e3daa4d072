#include "Hemlockglade/Protocol/Endpoint/EventSplitter.h"

#include <algorithm>

namespace hemlockglade {

namespace {

constexpr std::string_view EventEnd = "\n\n";
constexpr std::string_view CrLfEventEnd = "\r\n\r\n";
constexpr std::string_view DoneLine = "data: [DONE]";

/// Returns the length of the complete events at the start of a text.
std::size_t completeLength(std::string_view text) {
  auto end = text.rfind(EventEnd);
  auto crEnd = text.rfind(CrLfEventEnd);
  std::size_t n = end == text.npos ? 0 : end + EventEnd.size();
  std::size_t nCrLf = crEnd == text.npos ? 0 : crEnd + CrLfEventEnd.size();
  return std::max(n, nCrLf);
}

/// Returns whether the last event of a text ends the stream.
bool hasStreamEnd(std::string_view events) {
  auto at = events.rfind(DoneLine);
  if (at == events.npos || (at > 0 && events[at - 1] != '\n'))
    return false;
  auto rest = events.substr(at + DoneLine.size());
  return rest.find_first_not_of("\r\n") == rest.npos;
}

} // namespace

std::string_view EventSplitter::take(std::string_view part) {
  if (Partial.empty() && completeLength(part) == part.size())
    return trackEnd(part);
  Partial.append(part);
  auto n = completeLength(Partial);
  CompleteEvents.assign(Partial, 0, n);
  Partial.erase(0, n);
  Overflowed = Overflowed || Partial.size() > MaxEventBytes;
  return trackEnd(CompleteEvents);
}

std::string_view EventSplitter::trackEnd(std::string_view events) {
  if (!events.empty())
    Done = hasStreamEnd(events);
  return events;
}

} // namespace hemlockglade
