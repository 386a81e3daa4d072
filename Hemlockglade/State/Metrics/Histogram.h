#pragma once

#include <array>
#include <atomic>
#include <cstdint>

namespace hemlockglade {

/// Counts of samples in seconds below fixed bounds, since the start. Adding a
/// sample takes no lock and allocates nothing.
class Histogram {
public:
  /// Upper bounds in seconds: from a pass through the node, some 1 ms, to the
  /// longest time that callers wait.
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

  /// Samples of one bucket; the last one is beyond all bounds.
  std::uint64_t count(std::size_t bucket) const {
    return Counts[bucket].load(std::memory_order_relaxed);
  }
  double sum() const { return Sum.load(std::memory_order_relaxed); }

private:
  std::array<std::atomic<std::uint64_t>, Bounds.size() + 1> Counts{};
  std::atomic<double> Sum = 0;
};

} // namespace hemlockglade
