#include "UnitTests/Platform/Soak/SoakRetries.h"

#include <algorithm>
#include <map>
#include <set>

namespace hemlockglade::soak {

namespace {

/// Times in ascending order.
struct ServiceTraffic {
  std::vector<Instant> Requests;
  std::vector<Instant> Retries;
};

double countIn(const std::vector<Instant> &all, Instant end, Span window) {
  auto from = std::upper_bound(all.begin(), all.end(), end - window);
  auto to = std::upper_bound(all.begin(), all.end(), end);
  return static_cast<double>(to - from);
}

std::map<std::string, ServiceTraffic>
trafficOf(const std::vector<HistoryEvent> &events) {
  std::map<std::string, ServiceTraffic> out;
  std::set<std::string> arrived;
  for (const auto &it : events) {
    if (it.Service.empty())
      continue;
    if (it.Event == "sent")
      out[it.Service].Requests.push_back(it.At);
    if (it.Event == "arrived" && !arrived.insert(it.Tag).second)
      out[it.Service].Retries.push_back(it.At);
  }
  return out;
}

} // namespace

RetryFindings checkRetries(const std::vector<HistoryEvent> &events,
                           const RetryBounds &bounds) {
  RetryFindings out;
  for (const auto &[service, it] : trafficOf(events)) {
    out.Retries += static_cast<int>(it.Retries.size());
    std::string worst;
    double worstUsed = 1;
    for (auto at : it.Retries) {
      auto retries = countIn(it.Retries, at, bounds.Window);
      auto requests = std::max(
          {countIn(it.Requests, at, bounds.Window),
           countIn(it.Requests, at - bounds.Window, bounds.Window),
           countIn(it.Requests, at - bounds.Window / 2, bounds.Window)});
      auto allowed = bounds.RetriesPerRequest * requests + bounds.FixedRetries;
      auto used = retries / allowed;
      out.MaxUsed = std::max(out.MaxUsed, used);
      if (used <= worstUsed)
        continue;
      worstUsed = used;
      worst = service + ": " + std::to_string(int(retries)) +
              " arrivals beyond the first of their request until " +
              std::to_string(at.count() / 1000) + " ms, for " +
              std::to_string(int(requests)) + " requests; allowed " +
              std::to_string(int(allowed));
    }
    if (!worst.empty())
      out.Exceeded.push_back(worst);
  }
  return out;
}

} // namespace hemlockglade::soak
