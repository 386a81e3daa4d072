#include "Bench/Core/Figures.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace hemlockglade::bench {

namespace {

template <typename T> double quantile(std::vector<T> values, double part) {
  if (values.empty())
    return 0;
  double rank = std::ceil(part * static_cast<double>(values.size())) - 1;
  auto at = values.begin() + static_cast<std::ptrdiff_t>(std::max(0.0, rank));
  std::nth_element(values.begin(), at, values.end());
  return static_cast<double>(*at);
}

double mean(const std::vector<double> &values) {
  if (values.empty())
    return 0;
  double sum = std::accumulate(values.begin(), values.end(), 0.0);
  return sum / static_cast<double>(values.size());
}

/// Rounds to microseconds, the resolution of virtual time.
double rounded(double value) { return std::round(value * 1e6) / 1e6; }

double part(std::uint64_t some, std::uint64_t all) {
  if (all == 0)
    return 0;
  return rounded(static_cast<double>(some) / static_cast<double>(all));
}

} // namespace

nlohmann::json Figures::toJson() const {
  nlohmann::json out;
  out["requests"] = Requests;
  out["answered"] = Answered;
  out["refused_not_run"] = RefusedNotRun;
  out["unknown"] = Unknown;
  out["lost"] = Lost;
  out["doubled"] = Doubled;
  out["wrong_adapter"] = WrongAdapter;
  out["evicted_while_serving"] = EvictedWhileServing;
  out["evicted_without_lease"] = EvictedWithoutLease;
  out["outside_rule"] = OutsideRule;
  out["stale_admits"] = StaleAdmits;
  out["attempts"] = Attempts;
  out["loads"] = Loads;
  out["loads_failed"] = LoadsFailed;
  out["loads_cancelled"] = LoadsCancelled;
  out["evictions"] = Evictions;
  out["load_stall_mean_s"] = rounded(mean(Stalls));
  out["load_stall_p95_s"] = rounded(quantile(Stalls, 0.95));
  out["load_stall_p99_s"] = rounded(quantile(Stalls, 0.99));
  out["stall_refused_mean_s"] = rounded(mean(RefusedStalls));
  out["stall_penalised_mean_s"] = rounded(mean(PenalisedStalls));
  out["stall_penalised_p99_s"] = rounded(quantile(PenalisedStalls, 0.99));
  out["ttft_p50_s"] = rounded(quantile(FirstTokens, 0.5));
  out["ttft_p95_s"] = rounded(quantile(FirstTokens, 0.95));
  out["batch_fill"] = rounded(BatchFill);
  out["deadline_met"] = part(InTime, Requests);
  for (const auto &[name, figures] : Classes)
    out["deadline_met_by_class"][name] = part(figures.InTime, figures.Requests);
  out["decision_hash"] = DecisionHash;
  out["decisions"] = Decisions;
  out["decision_ns_p50"] = quantile(DecisionNs, 0.5);
  out["decision_ns_p99"] = quantile(DecisionNs, 0.99);
  return out;
}

} // namespace hemlockglade::bench
