#include "Hemlockglade/Protocol/Endpoint/EventSplitter.h"

#include <algorithm>

namespace hemlockglade {

namespace {

constexpr std::string_view LineEnd = "\n\n";
constexpr std::string_view CrLineEnd = "\r\n\r\n";
constexpr std::string_view DoneLine = "data: [DONE]";

/// Length of the whole events at the start of a text.
std::size_t wholeLength(std::string_view text) {
  auto end = text.rfind(LineEnd);
  auto crEnd = text.rfind(CrLineEnd);
  std::size_t n = end == text.npos ? 0 : end + LineEnd.size();
  std::size_t cr = crEnd == text.npos ? 0 : crEnd + CrLineEnd.size();
  return std::max(n, cr);
}

/// Whether the last event of a text ends the stream.
bool endsStream(std::string_view events) {
  auto at = events.rfind(DoneLine);
  if (at == events.npos || (at > 0 && events[at - 1] != '\n'))
    return false;
  auto rest = events.substr(at + DoneLine.size());
  return rest.find_first_not_of("\r\n") == rest.npos;
}

} // namespace

std::string_view EventSplitter::take(std::string_view part) {
  if (Rest.empty() && wholeLength(part) == part.size())
    return note(part);
  Rest.append(part);
  auto n = wholeLength(Rest);
  Whole.assign(Rest, 0, n);
  Rest.erase(0, n);
  Overflowed = Overflowed || Rest.size() > MaxEventBytes;
  return note(Whole);
}

std::string_view EventSplitter::note(std::string_view events) {
  if (!events.empty())
    Done = endsStream(events);
  return events;
}

} // namespace hemlockglade
