#pragma once

#include "Hemlockglade/Coordination/Decision/CoreTypes.h"

#include <vector>

namespace hemlockglade::bench {

/// Measures for each adapter how long it was resident on no engine. A request's
/// load stall is the part of its wait within this time, independently of what
/// the policy under test reports.
class ResidencyClock {
public:
  explicit ResidencyClock(std::uint32_t adapters) : Adapters(adapters + 1) {}

  /// Called when an engine has loaded the adapter, or no longer has it.
  void change(AdapterKey adapter, bool loaded, Instant now);

  /// Returns the total time up to `now` in which no engine had the adapter.
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
