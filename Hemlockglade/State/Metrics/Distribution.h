#pragma once

#include <array>
#include <cstdint>
#include <memory>

namespace hemlockglade {

/// The quantiles that a distribution estimates.
inline constexpr std::array DistributionQuantiles = {0.5, 0.95, 0.99};

/// Count, sum, mean and quantiles of a distribution's samples.
struct DistributionSummary {
  /// Number and sum of all samples since the start.
  std::uint64_t Count = 0;
  double Sum = 0;
  /// Mean of the recent samples; 0 if there is no sample.
  double RecentMean = 0;
  /// Estimates over the recent samples, one for each of
  /// `DistributionQuantiles`; NaN if there is no sample.
  std::array<double, DistributionQuantiles.size()> RecentQuantiles{};
};

/// Summarizes samples of a quantity as count, sum and streaming estimates of
/// mean and quantiles. Each distribution has its own lock; recording a sample
/// allocates nothing. The recent samples are the last `Window` to twice as
/// many.
class Distribution {
public:
  static constexpr std::uint64_t Window = 2048;

  Distribution();
  ~Distribution();
  Distribution(const Distribution &) = delete;
  Distribution &operator=(const Distribution &) = delete;

  void record(double sample);
  DistributionSummary summary() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Inner;
};

} // namespace hemlockglade
