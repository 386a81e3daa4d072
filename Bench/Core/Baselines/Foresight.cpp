#include "Bench/Core/Baselines/Foresight.h"

#include <algorithm>
#include <limits>
#include <memory>
#include <unordered_map>

namespace hemlockglade::bench {

LruCoreSettings::Valuation trueShares(const Trace &trace) {
  struct State {
    std::size_t Next = 0;
    std::unordered_map<AdapterKey, double> Shares;
  };
  return [state = std::make_shared<State>(), &trace](AdapterKey adapter,
                                                     Instant now) {
    const auto &changes = trace.Shares;
    for (; state->Next < changes.size(); ++state->Next) {
      const auto &change = changes[state->Next];
      if (change.At > now)
        break;
      state->Shares[change.Adapter] = change.Share;
    }
    auto it = state->Shares.find(adapter);
    return it == state->Shares.end() ? 0.0 : it->second;
  };
}

LruCoreSettings::Valuation nextUses(const Trace &trace) {
  using Uses = std::unordered_map<AdapterKey, std::vector<Instant>>;
  auto uses = std::make_shared<Uses>();
  for (const auto &request : trace.Requests)
    (*uses)[request.Adapter].push_back(request.At);
  return [uses](AdapterKey adapter, Instant now) {
    auto it = uses->find(adapter);
    constexpr double Never = std::numeric_limits<double>::lowest();
    if (it == uses->end())
      return Never;
    const auto &times = it->second;
    auto next = std::upper_bound(times.begin(), times.end(), now);
    if (next == times.end())
      return Never;
    return -static_cast<double>(next->count());
  };
}

} // namespace hemlockglade::bench
