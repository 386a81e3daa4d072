#include "Bench/Core/Baselines/Foresight.h"

#include "Bench/Core/VirtualLoop.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <memory>
#include <unordered_map>

namespace hemlockglade::bench {

namespace {

/// Sessions without a request for this many mean gaps are assumed to have
/// ended.
constexpr double GapsToEnd = 6;

/// The expected demand by the random process that generates the trace.
class TrueDemand {
public:
  TrueDemand(const Workload &workload, const Trace &trace)
      : Work(workload), Requests(trace), Shares(workload.Adapters + 1),
        Uses(workload.Adapters + 1) {
    std::unordered_map<CallerKey, Use *> last;
    // Reserved in advance, so that the pointers in `last` stay valid.
    std::vector<std::size_t> counts(Uses.size());
    for (const auto &it : trace.Requests)
      ++counts[it.Adapter];
    for (std::size_t it = 0; it < Uses.size(); ++it)
      Uses[it].reserve(counts[it]);
    for (const auto &it : trace.Requests) {
      auto &before = last[it.Caller];
      if (before)
        before->Next = it.At;
      before = &Uses[it.Adapter].emplace_back(Use{it.At, Instant::max()});
    }
  }

  /// Returns the expected requests per second.
  double operator()(AdapterKey adapter, Instant now) {
    applyChanges(now);
    double rate = 0;
    for (const auto &point : Work.Rates) {
      if (seconds(point.AtS) <= now)
        rate = point.Rate;
    }
    double begun = Shares[adapter] * rate / Work.SessionRequests;
    return begun + running(adapter, now);
  }

private:
  struct Use {
    Instant At{};
    /// The session's next request.
    Instant Next{};
  };

  void applyChanges(Instant now) {
    const auto &changes = Requests.Shares;
    for (; Applied < changes.size() && changes[Applied].At <= now; ++Applied)
      Shares[changes[Applied].Adapter] = changes[Applied].Share;
  }

  double running(AdapterKey adapter, Instant now) const {
    double continueProbability = 1 - 1 / Work.SessionRequests;
    if (continueProbability <= 0)
      return 0;
    double out = 0;
    const auto &uses = Uses[adapter];
    auto it = std::upper_bound(
        uses.begin(), uses.end(), now,
        [](Instant when, const Use &use) { return when < use.At; });
    while (it != uses.begin()) {
      --it;
      double age = toSeconds(now - it->At) / Work.SessionGapS;
      if (age > GapsToEnd)
        break;
      if (it->Next <= now)
        continue;
      double alive = continueProbability * std::exp(-age);
      out += alive / (alive + 1 - continueProbability) / Work.SessionGapS;
    }
    return out;
  }

  const Workload &Work;
  const Trace &Requests;
  std::size_t Applied = 0;
  std::vector<double> Shares;
  std::vector<std::vector<Use>> Uses;
};

} // namespace

LruCoreSettings::Valuation trueDemand(const Workload &workload,
                                      const Trace &trace) {
  return
      [demand = std::make_shared<TrueDemand>(workload, trace)](
          AdapterKey adapter, Instant now) { return (*demand)(adapter, now); };
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
