#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace hemlockglade {

/// Memory that the process may use, as far as the system tells.
struct MemoryLimit {
  /// The least limit that is set for the process; 0 if none is.
  std::uint64_t Bytes = 0;
  /// Physical memory of the host; 0 if unknown.
  std::uint64_t Physical = 0;

  /// Returns the lesser of both that is known; 0 if neither is.
  std::uint64_t usable() const {
    return Bytes && (!Physical || Bytes < Physical) ? Bytes : Physical;
  }

  /// Reads the resource limits and the limits of the control groups.
  static MemoryLimit ofProcess();
  /// Returns the limit lowered to this many bytes; the same if 0.
  MemoryLimit atMost(std::uint64_t bytes) const;
};

/// Returns the limit in a control group's file; 0 if it sets none, as with the
/// text `max` or a number beyond any memory.
std::uint64_t readGroupLimit(std::string_view text);

/// Returns the path of the unified control group in the text of
/// `/proc/self/cgroup`; empty if there is none.
std::string readGroupPath(std::string_view text);

} // namespace hemlockglade
