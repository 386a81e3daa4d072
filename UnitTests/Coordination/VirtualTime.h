#pragma once

#include "Hemlockglade/State/Ids.h"

#include <functional>
#include <map>

namespace hemlockglade::test {

/// A clock and a queue of calls in virtual time. Calls that are due at the same
/// instant run in the order in which they were added.
class VirtualTime {
public:
  Instant now() const { return Now; }

  /// Adds a call that is due after `delay`.
  void after(Span delay, std::function<void()> call) {
    Calls.emplace(Now + delay, std::move(call));
  }

  /// Runs all calls that are due within `span` and advances the clock by it.
  void advance(Span span) {
    Instant end = Now + span;
    while (!Calls.empty() && Calls.begin()->first <= end) {
      auto first = Calls.begin();
      Now = first->first;
      auto call = std::move(first->second);
      Calls.erase(first);
      call();
    }
    Now = end;
  }

private:
  Instant Now = std::chrono::seconds(1000);
  std::multimap<Instant, std::function<void()>> Calls;
};

} // namespace hemlockglade::test
