#pragma once

#include "Bench/Core/Trace.h"

#include <functional>
#include <span>
#include <string_view>

namespace hemlockglade::bench {

/// A policy under test: takes events and gives actions.
using Policy =
    std::function<void(const Event &, Instant, std::vector<Action> &)>;

/// A policy that can be asked for by name.
struct PolicyEntry {
  std::string_view Name;
  std::string_view About;
  /// Makes one for a run. What it is given outlives the policy; the trace is
  /// for policies that know more than a real one can.
  Policy (*Make)(const Workload &, const Trace &);
};

/// All policies.
std::span<const PolicyEntry> policies();

/// The policy of that name, or nothing.
const PolicyEntry *findPolicy(std::string_view name);

} // namespace hemlockglade::bench
