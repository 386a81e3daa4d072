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

LeavingFindings checkLeaving(const std::vector<HistoryEvent> &events,
                             Span bound) {
  DisturbanceLog disturbances(events);
  LeavingFindings out;
  std::map<std::string, Instant> sentAt;
  std::map<std::pair<std::string, std::string>, Instant> toldAt;
  for (const auto &it : events) {
    if (it.Event == "sent")
      sentAt.try_emplace(it.Tag, it.At);
    bool isTold = it.Event == "told_leaving";
    if (!isTold && it.Event != "arrived")
      continue;
    std::string gateway(disturbances.gatewayOf(it.Tag));
    std::pair key{it.Who, gateway};
    if (isTold) {
      out.Told += toldAt.try_emplace(key, it.At).second;
      continue;
    }
    auto told = toldAt.find(key);
    auto sent = sentAt.find(it.Tag);
    bool isLate = told != toldAt.end() && sent != sentAt.end() &&
                  sent->second > told->second + bound;
    if (isLate && disturbances.wasRunning(it.Tag, told->second, it.At))
      out.Late.push_back(
          it.Who + " got " + it.Tag + " from " + gateway + ", sent " +
          std::to_string((sent->second - told->second).count() / 1000) +
          " ms after it had told it that it leaves");
  }
  return out;
}

} // namespace hemlockglade::soak
