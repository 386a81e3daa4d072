#include "UnitTests/Platform/Soak/SoakDisturbances.h"

#include <algorithm>

namespace hemlockglade::soak {

void Disturbances::begin(Instant at) {
  if (Open++ == 0)
    All.push_back({at});
}

void Disturbances::end(Instant at) {
  if (Open > 0 && --Open == 0)
    All.back().To = at;
}

bool Disturbances::overlaps(Instant from, Instant to) const {
  return std::any_of(All.begin(), All.end(), [&](const Interval &it) {
    return it.From <= to && from <= it.To;
  });
}

std::optional<Instant> Disturbances::undisturbedSince(Instant at) const {
  Instant out{};
  for (const auto &it : All)
    if (it.From <= at)
      out = it.To;
  return out > at ? std::nullopt : std::optional(out);
}

DisturbanceLog::DisturbanceLog(const std::vector<HistoryEvent> &events) {
  for (const auto &it : events)
    add(it);
}

void DisturbanceLog::add(const HistoryEvent &it) {
  const auto &kind = it.Event;
  if (kind == "sent")
    Gateways.try_emplace(it.Tag, it.To);
  else if (kind == "killed" || kind == "node_started" || kind == "terminated")
    Nodes[it.To].addInstant(it.At);
  else if (kind == "paused")
    Nodes[it.To].begin(it.At);
  else if (kind == "woken")
    Nodes[it.To].end(it.At);
  else if (kind == "silent" || kind == "harmed")
    StoreAndLinks.begin(it.At);
  else if (kind == "answering" || kind == "mended")
    StoreAndLinks.end(it.At);
  // The link of a replica is shared by all gateways.
  if (kind == "harmed" && it.To.empty())
    ReplicaLinks.begin(it.At);
  else if (kind == "mended" && it.To.empty())
    ReplicaLinks.end(it.At);
}

bool DisturbanceLog::wasConnected(const std::string &tag, Instant from,
                                  Instant to) const {
  return !ReplicaLinks.overlaps(from, to) && wasRunning(tag, from, to);
}

bool DisturbanceLog::wasRunning(const std::string &tag, Instant from,
                                Instant to) const {
  auto gateway = Gateways.find(tag);
  return gateway != Gateways.end() && wasNodeRunning(gateway->second, from, to);
}

bool DisturbanceLog::wasNodeRunning(const std::string &name, Instant from,
                                    Instant to) const {
  auto node = Nodes.find(name);
  return node == Nodes.end() || !node->second.overlaps(from, to);
}

std::string_view DisturbanceLog::gatewayOf(const std::string &tag) const {
  auto it = Gateways.find(tag);
  return it == Gateways.end() ? std::string_view() : it->second;
}

} // namespace hemlockglade::soak
