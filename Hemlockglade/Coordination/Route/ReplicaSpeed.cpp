#include "Hemlockglade/Coordination/Route/ReplicaSpeed.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hemlockglade {

namespace {

/// Bounds what one node reports, and the weight of all samples.
constexpr std::uint32_t MaxReportedSamples = 10'000;
constexpr double MaxWeight = 64;
/// Weight of a factor that the owner has merged, right after its last sample.
constexpr double MergedWeight = 10;
constexpr Span MaxAge = std::chrono::hours(24);

double bounded(double logFactor) {
  return std::clamp(logFactor, std::log(ReplicaSpeed::MinFactor),
                    std::log(ReplicaSpeed::MaxFactor));
}

} // namespace

bool ReplicaSpeed::isValid(double factor) {
  // A node bounds its samples before it reports them; the margin is for
  // rounding.
  constexpr double Margin = 1.001;
  return std::isfinite(factor) && factor >= MinFactor / Margin &&
         factor <= MaxFactor * Margin;
}

bool ReplicaSpeed::add(double ratio, Instant now) {
  if (!std::isfinite(ratio) || ratio <= 0)
    return false;
  double sample = bounded(std::log(ratio));
  if (PendingCount < MaxReportedSamples) {
    PendingLogs += sample;
    ++PendingCount;
  }
  // The owner merges it with the other nodes' samples.
  if (!FromOwner)
    merge(sample, 1, now);
  return true;
}

bool ReplicaSpeed::add(const Samples &samples, Instant now) {
  if (!samples.Count || samples.Count > MaxReportedSamples ||
      !isValid(samples.Factor))
    return false;
  merge(bounded(std::log(samples.Factor)), samples.Count, now);
  return true;
}

bool ReplicaSpeed::onMerged(double factor, Span age, Instant now) {
  if (!isValid(factor) || age < Span(0) || age > MaxAge)
    return false;
  Log = bounded(std::log(factor));
  At = now;
  Weight = MergedWeight;
  SampledAt = now - age;
  FromOwner = true;
  return true;
}

void ReplicaSpeed::release(Instant now) {
  if (std::exchange(FromOwner, false))
    At = std::max(At, now);
}

void ReplicaSpeed::merge(double logFactor, double count, Instant now) {
  double current = logAt(now);
  double memory = inSeconds(std::max(Span(0), now - SampledAt)) /
                  inSeconds(Options.SampleMemory);
  double weight = std::max(Options.MinWeight, Weight * std::exp(-memory));
  double step = std::log(Options.MaxStep);
  double sample = std::clamp(logFactor, current - step, current + step);
  double added = std::min(count, MaxWeight) *
                 (sample > current ? Options.SlowerWeight : 1);
  Log = bounded((weight * current + added * sample) / (weight + added));
  Weight = std::min(MaxWeight, weight + added);
  At = now;
  SampledAt = now;
}

double ReplicaSpeed::logAt(Instant now) const {
  // While samples arrive, it follows only these.
  auto idle = now - At - Options.SampleMemory;
  if (FromOwner || idle <= Span(0))
    return Log;
  return Log * std::exp2(-inSeconds(idle) / inSeconds(Options.HalfLife));
}

double ReplicaSpeed::factor(Instant now) const { return std::exp(logAt(now)); }

std::optional<ReplicaSpeed::Samples> ReplicaSpeed::takeSamples() {
  if (!PendingCount)
    return std::nullopt;
  auto count = std::exchange(PendingCount, 0);
  return Samples{count, std::exp(std::exchange(PendingLogs, 0) / count)};
}

Span ReplicaSpeed::age(Instant now) const {
  return std::clamp(now - SampledAt, Span(0), MaxAge);
}

void ReplicaSpeed::updateSteady(Instant now) {
  double elapsed =
      inSeconds(std::max(Span(0), now - std::exchange(SteadyAt, now)));
  // The first call has nothing to measure from.
  elapsed = std::min(elapsed, 1.0);
  SteadyLog += (1 - std::exp(-elapsed / inSeconds(Options.SteadyMemory))) *
               (logAt(now) - SteadyLog);
}

double ReplicaSpeed::steadyFactor() const { return std::exp(SteadyLog); }

} // namespace hemlockglade
