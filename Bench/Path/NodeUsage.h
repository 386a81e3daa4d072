#pragma once

#include <cstddef>
#include <sys/types.h>

namespace hemlockglade::bench {

/// What a process has used, as the kernel counts it.
struct NodeUsage {
  /// User and system time, in seconds.
  double Processor = 0;
  /// Resident set, in bytes.
  std::size_t Resident = 0;
};

/// Reads a process's usage; zeros if it is gone.
NodeUsage readUsage(pid_t pid);

} // namespace hemlockglade::bench
