#pragma once

#include "Bench/Core/Random.h"
#include "Hemlockglade/Coordination/Decision/CoreTypes.h"

#include <vector>

namespace hemlockglade::bench {

/// An adapter's share of the requests from a time on.
struct PopularityChange {
  Instant At{};
  AdapterKey Adapter = NoAdapter;
  double Share = 0;
};

/// Which adapter has which rank, and how often each rank is asked for.
class Popularity {
public:
  /// Adapters 1 to `adapters`, of which the last `idle` are not asked for.
  Popularity(std::uint32_t adapters, std::uint32_t idle, double zipf,
             Random &random);

  /// Draws an adapter.
  AdapterKey draw(Random &random) const;

  /// Exchanges the adapters of two ranks and notes it.
  void exchange(std::size_t one, std::size_t other, Instant now);

  /// Ranks that are asked for.
  std::size_t ranks() const { return Cumulated.size(); }
  /// All ranks, with those that are not asked for.
  std::size_t allRanks() const { return Adapters.size(); }

  /// All shares at the start and every change since.
  const std::vector<PopularityChange> &changes() const { return Changes; }

private:
  double share(std::size_t rank) const;

  std::vector<AdapterKey> Adapters;
  std::vector<double> Cumulated;
  std::vector<PopularityChange> Changes;
};

} // namespace hemlockglade::bench
