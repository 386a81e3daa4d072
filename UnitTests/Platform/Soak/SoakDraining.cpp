#include "UnitTests/Platform/Soak/SoakDraining.h"

#include "UnitTests/Platform/Soak/SoakDisturbances.h"

namespace hemlockglade::soak {

DrainingFindings checkDraining(const std::vector<HistoryEvent> &events,
                               Span bound) {
  DisturbanceLog disturbances(events);
  DrainingFindings out;
  std::map<std::string, Instant> drainsSince;
  for (const auto &it : events) {
    if (it.Event == "listed" && it.Leaving) {
      ++out.Drained;
      drainsSince.try_emplace(it.Endpoint, it.At);
    }
    if (it.Event != "ran")
      continue;
    auto drains = drainsSince.find(it.Who);
    auto arrivedAt = it.AskedAt;
    if (drains == drainsSince.end() || arrivedAt <= drains->second + bound)
      continue;
    auto calmSince = disturbances.undisturbedSince(arrivedAt);
    if (!calmSince || *calmSince > arrivedAt - bound)
      continue;
    auto lateMs = (arrivedAt - drains->second) / std::chrono::milliseconds(1);
    out.Late.push_back(it.Who + " got " + it.Tag + " from " +
                       std::string(disturbances.gatewayOf(it.Tag)) + " " +
                       std::to_string(lateMs) + " ms after its report");
  }
  return out;
}

} // namespace hemlockglade::soak
