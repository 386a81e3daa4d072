#pragma once

#include <iosfwd>

namespace hemlockglade::bench {

/// Measures memory and processor time of the configuration at several numbers
/// of adapters, and prints a table.
void measureConfiguration(std::ostream &out);

} // namespace hemlockglade::bench
