#pragma once

#include "Hemlockglade/State/Ids.h"

namespace hemlockglade {

/// Limits the number of requests that one entry has at one replica of a plain
/// service.
///
/// Handles several entries that share replicas which queue more than they can
/// answer in time: no entry knows the others' requests, so each adapts to the
/// replica's responses. The window shrinks when the replica sheds a request or
/// queueing makes its answers late, and grows while it is fully used. Requests
/// that find no room wait at the entry, where the most urgent ones are sent
/// first. Deterministic: time is passed in.
class SendWindow {
public:
  struct Settings {
    double InitialSize = 6;
    /// A size below 1 is the share of the time in which one request may be at
    /// the replica, so that many entries can share a replica with few slots.
    double MinSize = 0.05;
    double MaxSize = 512;
    /// Factors by which the window shrinks after the replica shed a request,
    /// and after its answers were late.
    double ShedFactor = 0.7;
    double LateFactor = 0.8;
    /// Answers are late because of queueing if their typical time exceeds this
    /// share of the target latency and this many times the typical time of an
    /// idle replica.
    double LateShare = 0.35;
    double LateIdleFactor = 1.4;
    /// Above this share of the target latency they are late in any case: if
    /// only a busy replica has been observed, the idle time is not known.
    double MaxLateShare = 0.6;
    /// Share by which a fully used window grows over as many answers as its
    /// size.
    double GrowthShare = 0.1;
    /// Weight of the newest answer in the typical time.
    double SmoothingFactor = 0.2;
    /// Share by which the estimated idle time may rise in a second.
    double IdleGrowthPerSecond = 0.02;
    /// Minimum time between two reductions: requests that were running at the
    /// first one carry no new information.
    Span MinShrinkInterval = std::chrono::milliseconds(100);
  };

  explicit SendWindow(const Settings &settings)
      : Options(settings), Size(settings.InitialSize) {}

  bool hasRoom(std::uint32_t running, Instant now) const;
  void onSent(Instant now) { SentAt = now; }
  double size() const { return Size; }
  /// Called when the replica has answered a request; `running` requests of this
  /// entry were there. Late answers don't shrink the window below `minSize`,
  /// this entry's share of the replica's slots: a replica whose work takes long
  /// has to be kept busy.
  void onAnswered(Span took, Span target, std::uint32_t running, double minSize,
                  Instant now);
  void onShed(Instant now);

private:
  void shrink(double factor, double minSize, Instant now);
  void recordTime(Span took, Instant now);

  Settings Options;
  double Size;
  /// Typical time of an answer, and its estimate for an idle replica.
  Span TypicalTime{0};
  Span IdleTime{0};
  Instant RecordedAt{};
  Instant SentAt{-3'600'000'000};
  Instant ShrunkAt{-3'600'000'000};
};

} // namespace hemlockglade
