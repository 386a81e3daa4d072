#pragma once

#include <cstdint>
#include <sys/resource.h>

namespace hemlockglade::soak {

/// Limits the data of this process, and of those that it starts, while it
/// exists.
class DataLimit {
public:
  /// No limit if `bytes` is 0.
  explicit DataLimit(std::uint64_t bytes) {
    ::getrlimit(RLIMIT_DATA, &Before);
    auto limit = Before;
    if (bytes)
      limit.rlim_cur = bytes;
    ::setrlimit(RLIMIT_DATA, &limit);
  }
  ~DataLimit() { ::setrlimit(RLIMIT_DATA, &Before); }
  DataLimit(const DataLimit &) = delete;
  DataLimit &operator=(const DataLimit &) = delete;

private:
  rlimit Before{};
};

} // namespace hemlockglade::soak
