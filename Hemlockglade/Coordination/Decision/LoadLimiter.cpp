#include "Hemlockglade/Coordination/Decision/LoadLimiter.h"

#include <algorithm>
#include <cassert>

namespace hemlockglade {

namespace {

constexpr double MicrosecondsPerSecond = 1e6;
constexpr std::uint32_t LargestShift = 10;
// Weight of the newest load in the mean: one in this many.
constexpr int MeanOver = 8;

} // namespace

LoadLimiter::LoadLimiter(const LoadLimiterSettings &settings)
    : Settings(settings), Tokens(settings.Burst),
      Expected(settings.FirstEstimate) {}

void LoadLimiter::setShare(std::uint32_t parallel, double loadsPerSecond) {
  Parallel = parallel;
  LoadsPerSecond = loadsPerSecond;
}

bool LoadLimiter::canStart(Instant now) {
  refill(now);
  return Running < Parallel && Tokens >= 1 && now >= PausedUntil;
}

void LoadLimiter::onStarted() {
  ++Running;
  Tokens -= 1;
}

void LoadLimiter::onSucceeded(Span took, Instant now) {
  Failures = 0;
  PausedUntil = now;
  Expected += (took - Expected) / MeanOver;
}

void LoadLimiter::onFailed(Instant now) {
  ++Failures;
  if (!isStoreFailing())
    return;
  auto shift = std::min(Failures - Settings.StoreFailures, LargestShift);
  PausedUntil =
      now + std::min(Settings.FirstPause * (1 << shift), Settings.LongestPause);
}

void LoadLimiter::onEnded() {
  assert(Running > 0);
  --Running;
}

double LoadLimiter::rate() const {
  if (Parallel == 0 || LoadsPerSecond <= 0)
    return 0;
  auto took = std::max<double>(1, static_cast<double>(Expected.count()));
  return std::min(LoadsPerSecond, Parallel * MicrosecondsPerSecond / took);
}

void LoadLimiter::refill(Instant now) {
  if (now > RefilledAt) {
    auto us = static_cast<double>((now - RefilledAt).count());
    Tokens += us * LoadsPerSecond / MicrosecondsPerSecond;
    RefilledAt = now;
  }
  Tokens = std::min(Tokens, std::max(Settings.Burst, 1.0));
}

} // namespace hemlockglade
