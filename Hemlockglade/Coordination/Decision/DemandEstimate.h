#pragma once

#include "Hemlockglade/Coordination/Decision/CoreTypes.h"

namespace hemlockglade {

/// How fast demand is forgotten.
struct DemandSettings {
  /// Time in which past demand loses half of its weight.
  Span HalfLife = std::chrono::seconds(300);
};

/// Estimates how often each adapter is asked for, by an exponentially decayed
/// count. All counts decay alike, so the order of two adapters never changes
/// by time alone; `order` gives that order as one number.
class DemandEstimate {
public:
  explicit DemandEstimate(const DemandSettings &settings);

  /// Counts one request.
  void record(AdapterKey adapter, Instant now);
  /// The decayed count at `now`.
  double count(AdapterKey adapter, Instant now) const;
  /// The binary logarithm of the count, moved so that it can be compared
  /// whenever it was taken; `Never` for an adapter that was not asked for.
  double order(AdapterKey adapter) const;

  /// The order of an adapter without demand.
  static constexpr double Never = -1e12;

private:
  struct Entry {
    double Count = 0;
    Instant At{};
  };

  double decayed(const Entry &entry, Instant now) const;

  double HalfLifeUs;
  std::vector<Entry> Entries;
};

} // namespace hemlockglade
