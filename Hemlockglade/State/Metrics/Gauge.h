#pragma once

#include <atomic>
#include <limits>

namespace hemlockglade {

/// A number that can increase and decrease. Safe to use from any thread.
class Gauge {
public:
  void set(double value) { Value.store(value, std::memory_order_relaxed); }
  /// Adds to the value; an unset gauge is taken as 0.
  void add(double change) {
    auto old = value();
    while (!Value.compare_exchange_weak(old, (old == old ? old : 0) + change,
                                        std::memory_order_relaxed))
      ;
  }
  /// Removes the value: the gauge is not exposed until it is set again.
  void unset() { set(std::numeric_limits<double>::quiet_NaN()); }

  /// Returns the value; NaN if it is not set.
  double value() const { return Value.load(std::memory_order_relaxed); }

private:
  std::atomic<double> Value = std::numeric_limits<double>::quiet_NaN();
};

} // namespace hemlockglade
