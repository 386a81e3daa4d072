#include "Hemlockglade/Protocol/Endpoint/EventSplitter.h"

#include <algorithm>

namespace hemlockglade {

namespace {

constexpr std::string_view EventEnd = "\n\n";
constexpr std::string_view CrLfEventEnd = "\r\n\r\n";
constexpr std::string_view DoneLine = "data: [DONE]";
/// Capacity of buffers that is kept from one event to the next.
constexpr std::size_t MaxKeptBytes = std::size_t{64} * 1024;

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
  // What is held ends no event but with bytes of `part`; a search of all of it
  // with each part would take quadratic time over an event of many parts.
  auto from =
      Partial.size() - std::min(Partial.size(), CrLfEventEnd.size() - 1);
  Partial.append(part);
  auto n = completeLength(std::string_view(Partial).substr(from));
  n += n == 0 ? 0 : from;
  // What one large event took is not kept for the rest of the stream.
  if (CompleteEvents.capacity() > MaxKeptBytes)
    CompleteEvents = {};
  CompleteEvents.assign(Partial, 0, n);
  Partial.erase(0, n);
  if (Partial.capacity() > MaxKeptBytes && Partial.size() < MaxKeptBytes / 2)
    Partial.shrink_to_fit();
  Overflowed = Overflowed || Partial.size() > MaxEventBytes;
  return trackEnd(CompleteEvents);
}

std::string_view EventSplitter::trackEnd(std::string_view events) {
  if (!events.empty())
    Done = hasStreamEnd(events);
  return events;
}

} // namespace hemlockglade
