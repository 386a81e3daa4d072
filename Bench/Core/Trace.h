#pragma once

#include "Bench/Core/Popularity.h"
#include "Bench/Core/Workload.h"

#include <vector>

namespace hemlockglade::bench {

/// A request as its caller sends it.
struct TraceRequest {
  Instant At{};
  AdapterKey Adapter = NoAdapter;
  std::uint32_t Class = 0;
  std::uint64_t PrefixHash = 0;
  std::uint32_t PromptTokens = 0;
  std::uint32_t Tokens = 1;
  CallerKey Caller = 0;
};

/// All requests of a run in the order of their arrival. Depends only on the
/// workload and the seed, so that every policy gets the same requests.
struct Trace {
  std::vector<TraceRequest> Requests;
  /// The initial shares of the adapters, and their changes.
  std::vector<PopularityChange> Shares;
};

/// Generates the requests of a run.
Trace makeTrace(const Workload &workload, std::uint64_t seed);

} // namespace hemlockglade::bench
