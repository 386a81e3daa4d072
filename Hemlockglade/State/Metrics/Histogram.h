#pragma once

#include <array>
#include <atomic>
#include <cstdint>

namespace hemlockglade {

/// Counts samples of durations in buckets of fixed bounds, since the start.
/// Recording a sample takes no lock and allocates nothing.
class Histogram {
public:
  /// Inclusive upper bounds of the buckets in seconds. They range from the time
  /// that a request takes to pass through the node, about 1 ms, to the longest
  /// time that callers wait.
  static constexpr std::array Bounds{0.002, 0.005, 0.01, 0.025, 0.05,
                                     0.1,   0.15,  0.25, 0.5,   1.0,
                                     2.5,   5.0,   10.0, 30.0};

  void record(double seconds) {
    std::size_t it = 0;
    while (it < Bounds.size() && seconds > Bounds[it])
      ++it;
    Counts[it].fetch_add(1, std::memory_order_relaxed);
    Sum.fetch_add(seconds, std::memory_order_relaxed);
  }

  /// Number of samples in one bucket; the last bucket is for samples above all
  /// bounds.
  std::uint64_t count(std::size_t bucket) const {
    return Counts[bucket].load(std::memory_order_relaxed);
  }
  /// Sum of all samples in seconds.
  double sum() const { return Sum.load(std::memory_order_relaxed); }

private:
  std::array<std::atomic<std::uint64_t>, Bounds.size() + 1> Counts{};
  std::atomic<double> Sum = 0;
};

} // namespace hemlockglade
