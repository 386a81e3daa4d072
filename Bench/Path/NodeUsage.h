#pragma once

#include <cstddef>
#include <sys/types.h>

namespace hemlockglade::bench {

/// Processor time and memory of a process, as the kernel accounts for them.
struct NodeUsage {
  /// User and system time, in seconds.
  double Processor = 0;
  /// Resident set size, in bytes.
  std::size_t Resident = 0;
};

/// Returns the usage of a process; zeros if it has ended.
NodeUsage readUsage(pid_t pid);

} // namespace hemlockglade::bench
