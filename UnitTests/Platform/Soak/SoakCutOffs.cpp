#include "UnitTests/Platform/Soak/SoakCutOffs.h"

#include "UnitTests/Platform/Soak/SoakDisturbances.h"

#include <map>
#include <set>

namespace hemlockglade::soak {

namespace {

/// Requests of one cut, to one group of gateways.
struct Tally {
  int Sent = 0;
  int Served = 0;

  double share() const { return Sent ? double(Served) / Sent : 1; }
};

struct Cut {
  Instant From{};
  Instant To = Instant::max();
  std::set<std::string> Nodes;
};

std::vector<Cut> cutsOf(const std::vector<HistoryEvent> &events) {
  std::vector<Cut> out;
  for (const auto &it : events) {
    if (it.Event == "cut_off") {
      if (out.empty() || out.back().To != Instant::max())
        out.push_back({it.At, Instant::max(), {}});
      out.back().Nodes.insert(it.To);
    }
    if (it.Event == "reached_again" && !out.empty())
      out.back().To = std::min(out.back().To, it.At);
  }
  return out;
}

bool isPoor(const Tally &cutOff, const Tally &others) {
  constexpr double MinRatio = 2.0 / 3;
  constexpr double MaxUnserved = 10;
  constexpr double MaxUnservedShare = 0.02;
  int unserved = cutOff.Sent - cutOff.Served;
  return others.Sent > 0 && cutOff.share() < MinRatio * others.share() &&
         unserved > MaxUnserved + MaxUnservedShare * cutOff.Sent;
}

} // namespace

CutOffFindings checkCutOffs(const std::vector<HistoryEvent> &events,
                            Span contact) {
  DisturbanceLog disturbances(events);
  std::map<std::string, std::string> outcomes;
  for (const auto &it : events)
    if (it.Event == "answered")
      outcomes.try_emplace(it.Sending, it.Outcome);
  CutOffFindings out;
  for (const auto &cut : cutsOf(events)) {
    Tally cutOff;
    Tally others;
    for (const auto &it : events) {
      auto outcome = outcomes.find(it.Sending);
      bool counts = it.Event == "sent" && it.At >= cut.From + contact &&
                    it.At < cut.To && outcome != outcomes.end() &&
                    outcome->second != "left" &&
                    disturbances.wasConnected(it.Tag, it.At - contact, it.At);
      if (!counts)
        continue;
      auto &tally = cut.Nodes.contains(it.To) ? cutOff : others;
      ++tally.Sent;
      tally.Served += outcome->second == "complete" ? 1 : 0;
    }
    out.Checked += cutOff.Sent > 0 ? 1 : 0;
    out.Sent += cutOff.Sent;
    out.Served += cutOff.Served;
    if (isPoor(cutOff, others))
      out.Poor.push_back(std::to_string(cutOff.Served) + " of " +
                         std::to_string(cutOff.Sent) + " served there, " +
                         std::to_string(others.Served) + " of " +
                         std::to_string(others.Sent) + " at the others");
  }
  return out;
}

} // namespace hemlockglade::soak
