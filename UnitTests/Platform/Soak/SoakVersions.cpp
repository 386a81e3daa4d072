#include "UnitTests/Platform/Soak/SoakVersions.h"

#include <algorithm>
#include <optional>
#include <tuple>

namespace hemlockglade::soak {

namespace {

struct Interval {
  Instant From{};
  Instant To = Instant::max();
};

/// Intervals in which something was disturbed; the causes may overlap.
class Disturbances {
public:
  void begin(Instant at) {
    if (Open++ == 0)
      All.push_back({at});
  }
  void end(Instant at) {
    if (Open > 0 && --Open == 0)
      All.back().To = at;
  }
  void addInstant(Instant at) {
    begin(at);
    end(at);
  }
  bool overlaps(Instant from, Instant to) const {
    return std::any_of(All.begin(), All.end(), [&](const Interval &it) {
      return it.From <= to && from <= it.To;
    });
  }
  /// Returns the end of the last interval that began by `at`; nullopt if it
  /// still lasts then.
  std::optional<Instant> undisturbedSince(Instant at) const {
    Instant out{};
    for (const auto &it : All)
      if (it.From <= at)
        out = it.To;
    return out > at ? std::nullopt : std::optional(out);
  }

private:
  std::vector<Interval> All;
  int Open = 0;
};

/// Returns the adapter without its version, and the version; 0 if there is
/// none.
std::pair<std::string, std::uint64_t> splitVersion(const std::string &adapter) {
  auto at = adapter.find('@');
  if (at == std::string::npos)
    return {adapter, 0};
  return {adapter.substr(0, at), std::stoull(adapter.substr(at + 1))};
}

/// Disturbances of nodes, store and links, and the gateway of each request.
class DisturbanceLog {
public:
  void add(const HistoryEvent &it) {
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

  /// Whether the gateway that sent the request, and the links to replicas, were
  /// undisturbed for `contact` before.
  bool wasConnected(const HistoryEvent &run, Span contact) const {
    auto from = run.AskedAt - contact;
    auto gateway = Gateways.find(run.Tag);
    if (gateway == Gateways.end() || ReplicaLinks.overlaps(from, run.AskedAt))
      return false;
    auto node = Nodes.find(gateway->second);
    return node == Nodes.end() || !node->second.overlaps(from, run.AskedAt);
  }

  /// Returns since when the store and all links have been undisturbed; nullopt
  /// if they are disturbed.
  std::optional<Instant> undisturbedSince(Instant at) const {
    return StoreAndLinks.undisturbedSince(at);
  }

  const std::string &gatewayOf(const std::string &tag) const {
    return Gateways.at(tag);
  }

private:
  std::map<std::string, std::string> Gateways;
  std::map<std::string, Disturbances> Nodes;
  Disturbances ReplicaLinks;
  Disturbances StoreAndLinks;
};

} // namespace

VersionFindings checkVersions(const std::vector<HistoryEvent> &events,
                              Span bound, Span contact) {
  DisturbanceLog disturbances;
  for (const auto &it : events)
    disturbances.add(it);
  VersionFindings out;
  std::map<std::string, std::map<std::uint64_t, Instant>> declared;
  for (const auto &it : events) {
    if (it.Event != "named" && (it.Event != "ran" || it.Adapter.empty()))
      continue;
    auto [adapter, version] = splitVersion(it.Adapter);
    auto &versions = declared[adapter];
    if (it.Event == "named") {
      versions.try_emplace(version, it.At);
      continue;
    }
    std::optional<Instant> acknowledgedAt;
    for (auto newer = versions.upper_bound(version); newer != versions.end();
         ++newer)
      acknowledgedAt =
          std::min(acknowledgedAt.value_or(newer->second), newer->second);
    if (!acknowledgedAt)
      continue;
    ++out.Replaced;
    auto undisturbed = disturbances.undisturbedSince(it.At);
    if (!undisturbed ||
        it.At - std::max(*acknowledgedAt, *undisturbed) <= bound ||
        !disturbances.wasConnected(it, contact))
      continue;
    auto ms = [](Span span) { return std::to_string(span.count() / 1000); };
    out.Late.push_back(it.Tag + " on " + it.Adapter + " at " + it.Who +
                       " from " + disturbances.gatewayOf(it.Tag) +
                       ": begun at " + ms(it.At) + ", " +
                       ms(it.At - *acknowledgedAt) +
                       " ms after its successor's acknowledgement, " +
                       ms(it.At - it.AskedAt) + " ms after it was sent");
  }
  return out;
}

} // namespace hemlockglade::soak
