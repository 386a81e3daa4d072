#include "Hemlockglade/Coordination/Entries/CutOffNodes.h"

#include <algorithm>

namespace hemlockglade {

namespace {

/// Maximum share of a host's processor or link that the callers of the nodes
/// left out may bring it to.
constexpr double MaxShare = 0.6;

} // namespace

std::set<std::string> nodesToLeaveOut(std::span<const NodeReach> nodes) {
  std::set<std::string> reached;
  EntryLoad total;
  for (const auto &it : nodes) {
    total += it.Load;
    for (const auto &service : it.Reached)
      if (!it.CutOff.contains(service))
        reached.insert(service);
  }
  std::set<std::string> out;
  for (const auto &it : nodes)
    if (std::any_of(it.CutOff.begin(), it.CutOff.end(),
                    [&](const auto &s) { return reached.contains(s); }))
      out.insert(it.Node);
  auto left = static_cast<double>(nodes.size() - out.size());
  if (left == 0)
    return {};
  EntryLoad each{total.Requests / left, total.Bytes / left};
  for (const auto &it : nodes)
    if (!out.contains(it.Node) && EntryCost().shareOf(it.Host, each) > MaxShare)
      return {};
  return out;
}

} // namespace hemlockglade
