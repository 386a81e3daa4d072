#pragma once

#include "Hemlockglade/Coordination/Decision/CoreTypes.h"

#include <vector>

namespace hemlockglade::bench {

/// Keeps for each adapter how long it was loaded on no engine at all. A
/// request's load stall is the part of its wait that this time covers,
/// whatever the policy under test says of it.
class ResidencyClock {
public:
  explicit ResidencyClock(std::uint32_t adapters) : Adapters(adapters + 1) {}

  /// An engine has loaded the adapter, or lost it.
  void change(AdapterKey adapter, bool loaded, Instant now);

  /// Time up to `now` in which no engine had the adapter.
  Span absent(AdapterKey adapter, Instant now) const;

private:
  struct State {
    std::uint32_t Holders = 0;
    Instant Since{};
    Span Absent{};
  };
  std::vector<State> Adapters;
};

} // namespace hemlockglade::bench
