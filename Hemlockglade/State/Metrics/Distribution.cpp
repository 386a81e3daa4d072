#include "Hemlockglade/State/Metrics/Distribution.h"

#include <algorithm>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics.hpp>
#include <cmath>
#include <limits>
#include <mutex>

namespace hemlockglade {

namespace {

namespace acc = boost::accumulators;

using Accumulator =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::mean,
                                            acc::tag::extended_p_square>>;

/// Quantiles of up to this many samples are exact. The estimator places its
/// markers on the first few samples, and its estimates are inaccurate until it
/// has seen many more.
constexpr std::size_t ExactSamples = 256;

Accumulator newAccumulator() {
  return Accumulator(acc::tag::extended_p_square::probabilities =
                         DistributionQuantiles);
}

/// Estimates mean and quantiles of a run of samples. Quantiles are exact for up
/// to `ExactSamples`.
class SampleRun {
public:
  SampleRun() : Estimator(newAccumulator()) {}

  void record(double sample) {
    auto n = acc::count(Estimator);
    if (n < FirstSamples.size())
      FirstSamples[n] = sample;
    Estimator(sample);
  }

  std::uint64_t count() const { return acc::count(Estimator); }
  double mean() const { return count() == 0 ? 0 : acc::mean(Estimator); }

  double quantile(std::size_t index) const {
    if (count() > ExactSamples)
      return acc::extended_p_square(
          Estimator)[static_cast<std::ptrdiff_t>(index)];
    return exactQuantile(DistributionQuantiles[index]);
  }

private:
  double exactQuantile(double fraction) const {
    auto n = count();
    if (n == 0)
      return std::numeric_limits<double>::quiet_NaN();
    auto sorted = FirstSamples;
    std::sort(sorted.begin(), sorted.begin() + n);
    auto rank =
        static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(n)));
    return sorted[std::max<std::size_t>(rank, 1) - 1];
  }

  Accumulator Estimator;
  std::array<double, ExactSamples> FirstSamples{};
};

} // namespace

struct Distribution::Impl {
  mutable std::mutex Mutex;
  std::uint64_t Count = 0;
  double Sum = 0;
  /// Two runs that both record each sample; the older one is `Window` samples
  /// ahead. At twice `Window` samples the older one is emptied and becomes the
  /// younger, so that a summary always covers at least `Window` samples, once
  /// there have been as many.
  std::array<SampleRun, 2> Runs;
  /// Index of the older run.
  std::size_t OlderIndex = 0;
  /// Copied over a run to empty it without allocating.
  inline static const SampleRun Empty;

  SampleRun &older() { return Runs[OlderIndex]; }
  SampleRun &younger() { return Runs[1 - OlderIndex]; }
};

Distribution::Distribution() : Inner(std::make_unique<Impl>()) {}

Distribution::~Distribution() = default;

void Distribution::record(double sample) {
  std::lock_guard lock(Inner->Mutex);
  ++Inner->Count;
  Inner->Sum += sample;
  Inner->older().record(sample);
  if (Inner->Count > Window)
    Inner->younger().record(sample);
  if (Inner->older().count() < 2 * Window)
    return;
  Inner->older() = Inner->Empty;
  Inner->OlderIndex = 1 - Inner->OlderIndex;
}

DistributionSummary Distribution::summary() const {
  std::lock_guard lock(Inner->Mutex);
  DistributionSummary out{Inner->Count, Inner->Sum, Inner->older().mean(), {}};
  for (std::size_t it = 0; it < out.RecentQuantiles.size(); ++it)
    out.RecentQuantiles[it] = Inner->older().quantile(it);
  return out;
}

} // namespace hemlockglade
