#pragma once

#include <atomic>
#include <cstdint>

namespace hemlockglade {

/// A number that only increases. Safe to use from any thread.
class Counter {
public:
  void add(std::uint64_t n = 1) {
    Value.fetch_add(n, std::memory_order_relaxed);
  }
  std::uint64_t value() const { return Value.load(std::memory_order_relaxed); }

private:
  std::atomic<std::uint64_t> Value = 0;
};

} // namespace hemlockglade
