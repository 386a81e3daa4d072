#pragma once

#include <string>
#include <string_view>

namespace hemlockglade {

/// Splits a stream of server-sent events into complete events, so that an
/// incomplete one is never forwarded, and detects the regular end of the
/// stream.
class EventSplitter {
public:
  /// Maximum size of one event, in bytes.
  static constexpr std::size_t MaxEventBytes = std::size_t{1024} * 1024;

  /// Adds the next part of the stream and returns the events that it completes;
  /// empty if there are none. The view is valid until the next call and no
  /// longer than the memory of `part`.
  std::string_view take(std::string_view part);

  /// Returns whether the last complete event was `data: [DONE]` and nothing
  /// followed it.
  bool finished() const { return Done && Partial.empty(); }
  /// Returns whether an event has begun and is not complete yet.
  bool torn() const { return !Partial.empty(); }
  /// Returns the bytes that are held for an incomplete event.
  std::size_t heldBytes() const { return Partial.size(); }
  /// Returns whether an incomplete event has exceeded `MaxEventBytes`.
  bool overflowed() const { return Overflowed; }

private:
  /// Updates `Done` from complete events and returns them.
  std::string_view trackEnd(std::string_view events);

  std::string CompleteEvents;
  std::string Partial;
  bool Done = false;
  bool Overflowed = false;
};

} // namespace hemlockglade
