#include "Hemlockglade/Coordination/Decision/LoadLimiter.h"

#include <algorithm>
#include <cassert>

namespace hemlockglade {

namespace {

constexpr double MicrosecondsPerSecond = 1e6;
constexpr std::uint32_t MaxShift = 10;
// Window of the running mean of the load time, in loads.
constexpr int AveragingWindow = 8;

} // namespace

LoadLimiter::LoadLimiter(const LoadLimiterSettings &settings)
    : Settings(settings), Tokens(settings.Burst),
      Expected(settings.InitialEstimate) {}

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

void LoadLimiter::onSucceeded(Span duration, Instant now) {
  Failures = 0;
  PausedUntil = now;
  Expected += (duration - Expected) / AveragingWindow;
}

void LoadLimiter::onFailed(Instant now) {
  ++Failures;
  if (!isStoreFailing())
    return;
  auto shift = std::min(Failures - Settings.StoreFailures, MaxShift);
  PausedUntil =
      now + std::min(Settings.InitialPause * (1 << shift), Settings.MaxPause);
}

void LoadLimiter::onEnded() {
  assert(Running > 0);
  --Running;
}

double LoadLimiter::rate() const {
  if (Parallel == 0 || LoadsPerSecond <= 0)
    return 0;
  auto duration = std::max<double>(1, static_cast<double>(Expected.count()));
  return std::min(LoadsPerSecond, Parallel * MicrosecondsPerSecond / duration);
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
