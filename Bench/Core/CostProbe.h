#pragma once

#include <nlohmann/json.hpp>

namespace hemlockglade::bench {

/// Measures the cost of the decision core alone: the memory per replica,
/// adapter and request, and the time of a decision by the number of adapters.
/// The figures depend on the machine and have no bounds.
nlohmann::json measureCosts();

} // namespace hemlockglade::bench
