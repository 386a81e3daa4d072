#pragma once

#include "Bench/Core/Trace.h"

#include <functional>
#include <span>
#include <string_view>

namespace hemlockglade::bench {

/// A policy under test: handles an event and appends the resulting actions.
using Policy =
    std::function<void(const Event &, Instant, std::vector<Action> &)>;

/// A policy that can be selected by name.
struct PolicyEntry {
  std::string_view Name;
  std::string_view About;
  /// Creates a policy for a run. Workload and trace outlive it; the trace is
  /// for policies that know the future requests.
  Policy (*Make)(const Workload &, const Trace &);
};

/// Returns all policies.
std::span<const PolicyEntry> policies();

/// Returns the policy of that name, or null.
const PolicyEntry *findPolicy(std::string_view name);

} // namespace hemlockglade::bench
