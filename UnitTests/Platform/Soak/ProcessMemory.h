#pragma once

#include <cstdint>
#include <sys/types.h>

namespace hemlockglade::soak {

/// Memory of the smallest machine that nodes run on.
inline constexpr std::uint64_t MachineBytes = std::uint64_t{120} << 20U;

/// Returns the most memory that a process has used at a time, in bytes; 0 if
/// there is no such process.
std::uint64_t peakMemoryOf(pid_t pid);

} // namespace hemlockglade::soak
