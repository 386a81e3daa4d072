#include "UnitTests/Platform/Soak/SoakVersions.h"

#include <algorithm>
#include <optional>
#include <tuple>

namespace hemlockglade::soak {

namespace {

struct Spell {
  Instant From{};
  Instant To = Instant::max();
};

/// Times at which something was disturbed; the causes may overlap.
class Spells {
public:
  void begin(Instant at) {
    if (Open++ == 0)
      All.push_back({at});
  }
  void end(Instant at) {
    if (Open > 0 && --Open == 0)
      All.back().To = at;
  }
  void moment(Instant at) {
    begin(at);
    end(at);
  }
  bool any(Instant from, Instant to) const {
    return std::any_of(All.begin(), All.end(), [&](const Spell &it) {
      return it.From <= to && from <= it.To;
    });
  }
  /// The end of the last one up to `at`; nothing if one holds then.
  std::optional<Instant> calmSince(Instant at) const {
    Instant out{};
    for (const auto &it : All)
      if (it.From <= at)
        out = it.To;
    return out > at ? std::nullopt : std::optional(out);
  }

private:
  std::vector<Spell> All;
  int Open = 0;
};

/// The first part without the version, and the version; 0 if there is none.
std::pair<std::string, std::uint64_t> split(const std::string &adapter) {
  auto at = adapter.find('@');
  if (at == std::string::npos)
    return {adapter, 0};
  return {adapter.substr(0, at), std::stoull(adapter.substr(at + 1))};
}

/// What disturbs whom, and who was asked.
class Circumstances {
public:
  void add(const HistoryEvent &it) {
    const auto &kind = it.Event;
    if (kind == "sent")
      Senders.try_emplace(it.Tag, it.To);
    else if (kind == "killed" || kind == "node_started" || kind == "terminated")
      Nodes[it.To].moment(it.At);
    else if (kind == "paused")
      Nodes[it.To].begin(it.At);
    else if (kind == "woken")
      Nodes[it.To].end(it.At);
    else if (kind == "silent" || kind == "harmed")
      Shared.begin(it.At);
    else if (kind == "answering" || kind == "mended")
      Shared.end(it.At);
    // Each gateway has a way to each replica.
    if (kind == "harmed" && it.To.empty())
      ReplicaLinks.begin(it.At);
    else if (kind == "mended" && it.To.empty())
      ReplicaLinks.end(it.At);
  }

  /// Whether the gateway that sent this was well for so long before.
  bool inTouch(const HistoryEvent &run, Span contact) const {
    auto from = run.AskedAt - contact;
    auto sender = Senders.find(run.Tag);
    if (sender == Senders.end() || ReplicaLinks.any(from, run.AskedAt))
      return false;
    auto node = Nodes.find(sender->second);
    return node == Nodes.end() || !node->second.any(from, run.AskedAt);
  }

  /// Since when store and links have been well; nothing if they are not.
  std::optional<Instant> calmSince(Instant at) const {
    return Shared.calmSince(at);
  }

  const std::string &sender(const std::string &tag) const {
    return Senders.at(tag);
  }

private:
  std::map<std::string, std::string> Senders;
  std::map<std::string, Spells> Nodes;
  Spells ReplicaLinks;
  Spells Shared;
};

} // namespace

VersionFindings judgeVersions(const std::vector<HistoryEvent> &events,
                              Span bound, Span contact) {
  Circumstances around;
  for (const auto &it : events)
    around.add(it);
  VersionFindings out;
  std::map<std::string, std::map<std::uint64_t, Instant>> named;
  for (const auto &it : events) {
    if (it.Event != "named" && (it.Event != "ran" || it.Adapter.empty()))
      continue;
    auto [adapter, version] = split(it.Adapter);
    auto &versions = named[adapter];
    if (it.Event == "named") {
      versions.try_emplace(version, it.At);
      continue;
    }
    std::optional<Instant> acked;
    for (auto newer = versions.upper_bound(version); newer != versions.end();
         ++newer)
      acked = std::min(acked.value_or(newer->second), newer->second);
    if (!acked)
      continue;
    ++out.Replaced;
    auto calm = around.calmSince(it.At);
    if (!calm || it.At - std::max(*acked, *calm) <= bound ||
        !around.inTouch(it, contact))
      continue;
    auto ms = [](Span span) { return std::to_string(span.count() / 1000); };
    out.Late.push_back(it.Tag + " on " + it.Adapter + " at " + it.Who +
                       " from " + around.sender(it.Tag) + ": begun at " +
                       ms(it.At) + ", " + ms(it.At - *acked) +
                       " ms after its successor's acknowledgement, " +
                       ms(it.At - it.AskedAt) + " ms after it was sent");
  }
  return out;
}

} // namespace hemlockglade::soak
