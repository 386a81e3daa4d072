#pragma once

#include "Hemlockglade/Coordination/Decision/CoreTypes.h"

namespace hemlockglade {

/// How demand is estimated from past requests.
struct DemandSettings {
  /// Time in which past demand loses half of its weight.
  Span HalfLife = std::chrono::seconds(500);
  /// The same for the short-term part, which follows bursts and sessions.
  Span ShortHalfLife = std::chrono::seconds(15);
  /// Largest weight of the short-term part; 0 leaves it out. How much of that
  /// it gets is learnt from the gaps between requests.
  double ShortShare = 1.5;
  /// What is assumed of an adapter before anything is known: so many requests
  /// within so much time.
  double PriorCount = 0.15;
  Span PriorTime = std::chrono::seconds(250);
  /// Odds that the demand for an adapter has just ended.
  double EndOdds = 0.1;
};

/// Estimates how often each adapter is asked for, by two exponentially decayed
/// counts: a slow one, and a fast one that follows bursts and sessions.
class DemandEstimate {
public:
  explicit DemandEstimate(const DemandSettings &settings);

  /// Counts one request.
  void record(AdapterKey adapter, Instant now);
  /// The slowly decayed count at `now`.
  double count(AdapterKey adapter, Instant now) const;
  /// Requests a second that are expected at `now`. It only falls until the
  /// next request.
  double rate(AdapterKey adapter, Instant now) const;

private:
  struct Entry {
    float Slow = 0;
    float Fast = 0;
    Instant At{};
    Instant First{};
  };

  void learnShare(const Entry &entry, double slow, double age);

  DemandSettings Settings;
  /// Part of the requests that are soon followed by one for the same adapter,
  /// beyond what its rate explains.
  double Followed = 0;
  double SlowS;
  double FastS;
  std::vector<Entry> Entries;
};

} // namespace hemlockglade
