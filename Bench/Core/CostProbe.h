#pragma once

#include <nlohmann/json.hpp>

namespace hemlockglade::bench {

/// Measures what the decision core costs by itself: the memory that one more
/// replica, adapter or request takes, and the time of a decision by the number
/// of adapters. These are figures of this machine and are not bounded.
nlohmann::json measureCosts();

} // namespace hemlockglade::bench
