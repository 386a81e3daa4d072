#pragma once

#include <cmath>
#include <cstddef>
#include <cstdint>

namespace hemlockglade::bench {

/// A small seeded generator whose numbers don't depend on the standard library.
class Random {
public:
  explicit Random(std::uint64_t seed) : State(seed) {}

  /// Returns the next 64 random bits (SplitMix64).
  std::uint64_t next() {
    State += 0x9e3779b97f4a7c15ULL;
    std::uint64_t n = State;
    n = (n ^ (n >> 30)) * 0xbf58476d1ce4e5b9ULL;
    n = (n ^ (n >> 27)) * 0x94d049bb133111ebULL;
    return n ^ (n >> 31);
  }

  /// Returns a number in [0, 1).
  double uniform() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }

  /// Returns an exponentially distributed number.
  double exponential(double mean) { return -mean * std::log1p(-uniform()); }

  /// Returns an index below `n`, which must not be 0.
  std::size_t below(std::size_t n) {
    return static_cast<std::size_t>(uniform() * static_cast<double>(n));
  }

private:
  std::uint64_t State;
};

} // namespace hemlockglade::bench
