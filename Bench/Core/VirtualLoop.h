#pragma once

#include "Hemlockglade/State/Ids.h"

#include <functional>
#include <queue>
#include <vector>

namespace hemlockglade::bench {

/// Converts seconds to a span of virtual time.
inline Span seconds(double n) {
  return Span(static_cast<std::int64_t>(n * 1e6));
}

/// Converts a span of virtual time to seconds.
inline double toSeconds(Span span) {
  return static_cast<double>(span.count()) * 1e-6;
}

/// Runs calls in the order of their virtual time; calls of the same time run
/// in the order in which they were added.
class VirtualLoop {
public:
  using Call = std::function<void()>;

  /// Returns the current virtual time.
  Instant now() const { return Now; }

  /// Schedules `call` at `when`, or at the current time if `when` is in the
  /// past.
  void at(Instant when, Call call);

  /// Schedules `call` after `delay`.
  void after(Span delay, Call call) { at(Now + delay, std::move(call)); }

  /// Runs all calls scheduled up to `end`, in order.
  void run(Instant end);

private:
  struct Entry {
    Instant When{};
    std::uint64_t Number = 0;
    Call Run;
    bool operator<(const Entry &other) const {
      return When != other.When ? When > other.When : Number > other.Number;
    }
  };

  Instant Now{};
  std::uint64_t Added = 0;
  std::priority_queue<Entry> Entries;
};

} // namespace hemlockglade::bench
