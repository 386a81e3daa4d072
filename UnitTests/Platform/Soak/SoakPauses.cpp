#include "UnitTests/Platform/Soak/SoakPauses.h"

#include "UnitTests/Platform/Soak/SoakDisturbances.h"

#include <deque>

namespace hemlockglade::soak {

namespace {

struct Pause {
  std::string Replica;
  std::string Tag;
  Instant From{};
  Instant To{};
  std::vector<Instant> Arrivals;
};

} // namespace

PauseFindings checkPauses(const std::vector<HistoryEvent> &events) {
  DisturbanceLog disturbances(events);
  PauseFindings out;
  // The pauses in force of each replica and gateway.
  std::map<std::pair<std::string, std::string>, std::deque<Pause>> open;
  std::vector<Pause> all;
  auto close = [&](std::deque<Pause> &pauses, Instant now) {
    while (!pauses.empty() && pauses.front().To <= now) {
      all.push_back(std::move(pauses.front()));
      pauses.pop_front();
    }
  };
  for (const auto &it : events) {
    if (it.Event != "asked_pause" && it.Event != "arrived")
      continue;
    auto &pauses = open[{it.Who, std::string(disturbances.gatewayOf(it.Tag))}];
    close(pauses, it.At);
    if (it.Event == "asked_pause") {
      pauses.push_back({it.Who,
                        it.Tag,
                        it.At,
                        it.At + std::chrono::milliseconds(it.Running),
                        {}});
      continue;
    }
    for (auto &pause : pauses)
      if (it.At < pause.To && it.At >= pause.From + PauseSlack)
        pause.Arrivals.push_back(it.At);
  }
  for (auto &[key, pauses] : open)
    close(pauses, Instant::max());
  out.Asked = all.size();
  for (const auto &it : all) {
    if (it.Arrivals.empty() ||
        !disturbances.wasConnected(it.Tag, it.From, it.Arrivals.back()))
      continue;
    out.Arrived += it.Arrivals.size();
    if (it.Arrivals.size() > AllowedInPause)
      out.Broken.push_back(
          it.Replica + " asked " + std::string(disturbances.gatewayOf(it.Tag)) +
          " at " + std::to_string(it.From.count() / 1000) + " for " +
          std::to_string((it.To - it.From).count() / 1000) + " ms and got " +
          std::to_string(it.Arrivals.size()) + " requests in that time");
  }
  return out;
}

} // namespace hemlockglade::soak
