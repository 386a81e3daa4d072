#pragma once

#include <string>
#include <string_view>

namespace hemlockglade {

/// Cuts a stream of server-sent events into whole events, so that a torn one
/// is never passed on, and knows whether the stream came to its proper end.
class EventSplitter {
public:
  /// Bytes that one event may have.
  static constexpr std::size_t MaxEventBytes = std::size_t{1024} * 1024;

  /// Takes the next part and gives the whole events that it completes; the
  /// view holds until the next call. Empty if there are none.
  std::string_view take(std::string_view part);

  /// Whether the last whole event was `data: [DONE]` and nothing came after.
  bool finished() const { return Done && Rest.empty(); }
  /// Whether an event has begun and not ended.
  bool torn() const { return !Rest.empty(); }
  /// Whether an event was longer than is allowed.
  bool overflowed() const { return Overflowed; }

private:
  std::string_view note(std::string_view events);

  std::string Whole;
  std::string Rest;
  bool Done = false;
  bool Overflowed = false;
};

} // namespace hemlockglade
