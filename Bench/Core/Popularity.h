#pragma once

#include "Bench/Core/Random.h"
#include "Hemlockglade/Coordination/Decision/CoreTypes.h"

#include <vector>

namespace hemlockglade::bench {

/// An adapter's share of the requests from a point in time on.
struct PopularityChange {
  Instant At{};
  AdapterKey Adapter = NoAdapter;
  double Share = 0;
};

/// Assigns adapters to popularity ranks, and a share of the requests to each
/// rank by a Zipf distribution.
class Popularity {
public:
  /// Uses adapters 1 to `adapters`; the `idle` last ranks get no requests.
  Popularity(std::uint32_t adapters, std::uint32_t idle, double zipf,
             Random &random);

  /// Draws an adapter according to the shares.
  AdapterKey draw(Random &random) const;

  /// Exchanges the adapters of two ranks and records the change.
  void exchange(std::size_t one, std::size_t other, Instant now);

  /// Number of ranks that get requests.
  std::size_t ranks() const { return Cumulated.size(); }
  /// Number of all ranks, including the idle ones.
  std::size_t allRanks() const { return Adapters.size(); }

  /// The initial shares and every change since.
  const std::vector<PopularityChange> &changes() const { return Changes; }

private:
  double share(std::size_t rank) const;

  std::vector<AdapterKey> Adapters;
  std::vector<double> Cumulated;
  std::vector<PopularityChange> Changes;
};

} // namespace hemlockglade::bench
