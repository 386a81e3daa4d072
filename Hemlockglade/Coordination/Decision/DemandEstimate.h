#pragma once

#include "Hemlockglade/Coordination/Decision/CoreTypes.h"

namespace hemlockglade {

/// How demand is estimated from past requests.
struct DemandSettings {
  /// Half-life of the long-term request count.
  Span HalfLife = std::chrono::seconds(500);
  /// Half-life of the short-term request count, which follows bursts and
  /// sessions.
  Span ShortHalfLife = std::chrono::seconds(15);
  /// Maximum weight of the short-term part; 0 disables it. The part of it that
  /// is applied is learnt from the gaps between requests.
  double MaxShortWeight = 1.5;
  /// Prior for an adapter without a history: this many requests within this
  /// time.
  double PriorCount = 0.15;
  Span PriorTime = std::chrono::seconds(250);
  /// Prior odds that the demand for an adapter has just ended.
  double EndOdds = 0.1;
};

/// Estimates the request rate of each adapter from two exponentially decayed
/// counts: a slow one, and a fast one that follows bursts and sessions.
class DemandEstimate {
public:
  explicit DemandEstimate(const DemandSettings &settings);

  /// Counts one request.
  void record(AdapterKey adapter, Instant now);
  /// Returns the slowly decayed count at `now`.
  double count(AdapterKey adapter, Instant now) const;
  /// Returns the expected requests per second at `now`. It only falls until the
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
  /// Fraction of requests that are soon followed by one for the same adapter,
  /// beyond what its rate explains.
  double Followed = 0;
  double SlowS;
  double FastS;
  std::vector<Entry> Entries;
};

} // namespace hemlockglade
