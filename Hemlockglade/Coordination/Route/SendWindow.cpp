#include "Hemlockglade/Coordination/Route/SendWindow.h"

#include <algorithm>

namespace hemlockglade {

bool SendWindow::hasRoom(std::uint32_t running, Instant now) const {
  if (Size >= 1)
    return static_cast<double>(running) + 1 <= Size;
  return running == 0 && now >= SentAt + scaled(TypicalTime, 1 / Size);
}

void SendWindow::shrink(double factor, double minSize, Instant now) {
  if (now - ShrunkAt < Options.MinShrinkInterval)
    return;
  ShrunkAt = now;
  Size = std::min(Size, std::max(minSize, Size * factor));
}

void SendWindow::onShed(Instant now) {
  shrink(Options.ShedFactor, Options.MinSize, now);
}

void SendWindow::recordTime(Span took, Instant now) {
  if (TypicalTime == Span(0)) {
    TypicalTime = IdleTime = took;
  } else {
    TypicalTime += scaled(took - TypicalTime, Options.SmoothingFactor);
    auto growth = 1 + Options.IdleGrowthPerSecond * inSeconds(now - RecordedAt);
    IdleTime = std::min(TypicalTime, scaled(IdleTime, growth));
  }
  RecordedAt = now;
}

void SendWindow::onAnswered(Span took, Span target, std::uint32_t running,
                            double minSize, Instant now) {
  recordTime(took, now);
  auto lateTime = std::clamp(scaled(IdleTime, Options.LateIdleFactor),
                             scaled(target, Options.LateShare),
                             scaled(target, Options.MaxLateShare));
  if (TypicalTime > lateTime) {
    // Further late answers are required before the next reduction.
    TypicalTime = lateTime;
    return shrink(Options.LateFactor, std::max(Options.MinSize, minSize), now);
  }
  // Grows only if the window was fully used.
  if (static_cast<double>(running) + 1 >= Size)
    Size = std::min(Options.MaxSize,
                    Size + Options.GrowthShare * std::min(1.0, Size));
}

} // namespace hemlockglade
