// The part of CellMember that hands the cell to a node that should own it
// rather than this one.

#include "Programs/hemlockgladed/Gateway/CellMember.h"

#include <algorithm>

namespace hemlockglade {

namespace {

/// How many times stronger a host has to be for a cell to be handed over to it.
constexpr double MinCapacityRatio = 2;

} // namespace

HostCapacity CellMember::capacityOf(const MemberNotice &node) {
  return {node.Cores, node.LinkMbps};
}

std::set<std::string> CellMember::engineServices() const {
  std::set<std::string> out;
  auto plan = Callbacks.Plan();
  for (const auto &it : View.replicasIn(Options.Cell)) {
    const auto *service = plan ? plan->service(it->Service) : nullptr;
    if (service && service->Engine)
      out.insert(it->Service);
  }
  return out;
}

bool CellMember::reachesEngines(const ReachNotice &reach,
                                bool mustHaveReached) const {
  if (reach.CutOff.empty() && !mustHaveReached)
    return true;
  auto contains = [](const auto &all, const std::string &it) {
    return std::find(all.begin(), all.end(), it) != all.end();
  };
  for (const auto &it : engineServices())
    if (contains(reach.CutOff, it) ||
        (mustHaveReached && !contains(reach.Reached, it)))
      return false;
  return true;
}

bool CellMember::isCutOffFromEngines() const {
  auto reach = Callbacks.Reach();
  return !reach.CutOff.empty() && !reachesEngines(reach, false);
}

bool CellMember::canTakeCutOffCell(const Follower &follower) const {
  return CutOff && follower.Self.Ready && reachesEngines(follower.Reach, true);
}

bool CellMember::isBetterOwner(const MemberNotice &member) const {
  bool near = Options.Cell == Options.FailureDomain;
  if (!member.Ready || member.FailureDomain != Options.Cell)
    return false;
  auto own = relativeCapacity(capacityOf(Callbacks.Self()));
  return !near ||
         relativeCapacity(capacityOf(member)) >= MinCapacityRatio * own;
}

void CellMember::handOverIfBetter(Instant now) {
  bool better = std::any_of(Followers.begin(), Followers.end(),
                            [this, now](const auto &it) {
                              const auto &node = it.second;
                              bool better = isBetterOwner(node.Self) &&
                                            reachesEngines(node.Reach, false);
                              return isResponsive(it.first, node, now) &&
                                     (better || canTakeCutOffCell(node));
                            });
  if (!better) {
    BetterOwnerSince.reset();
    return;
  }
  if (!BetterOwnerSince)
    BetterOwnerSince = now;
  if (now - *BetterOwnerSince <
      (CutOff ? Options.CutOffHandoverDelay : Options.BetterOwnerDelay))
    return;
  BetterOwnerSince.reset();
  Log.write(LogClass::State, "hands-over",
            {{"cell", Options.Cell}, {"cut_off", CutOff}});
  Lease->handOver();
}

} // namespace hemlockglade
