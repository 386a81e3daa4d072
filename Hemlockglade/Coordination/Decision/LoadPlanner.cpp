#include "Hemlockglade/Coordination/Decision/LoadPlanner.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace hemlockglade {

LoadPlanner::LoadPlanner(const LoadPlannerSettings &settings,
                         std::pmr::memory_resource *memory)
    : Settings(settings), ByDeadline(memory), ByWeight(memory) {}

void LoadPlanner::enter(ActiveAdapter &active, std::uint8_t headPriority,
                        bool copy) {
  if (active.Planned && active.PlannedWeight == active.Weight &&
      active.PlannedDeadline == active.HeadDeadline &&
      active.PlannedPriority == headPriority && active.Copy == copy)
    return;
  leave(active);
  active.Planned = true;
  active.Copy = copy;
  active.PlannedWeight = active.Weight;
  active.PlannedDeadline = active.HeadDeadline;
  active.PlannedPriority = headPriority;
  ByDeadline.insert({active.PlannedDeadline, active.Key});
  ByWeight.insert(
      {-static_cast<std::int64_t>(active.PlannedWeight), active.Key});
  ++Classes[headPriority];
  if (copy)
    ++Copies;
}

void LoadPlanner::leave(ActiveAdapter &active) {
  if (!active.Planned)
    return;
  active.Planned = false;
  ByDeadline.erase({active.PlannedDeadline, active.Key});
  ByWeight.erase(
      {-static_cast<std::int64_t>(active.PlannedWeight), active.Key});
  --Classes[active.PlannedPriority];
  if (active.Copy)
    --Copies;
}

std::size_t LoadPlanner::ahead(std::uint8_t priority) const {
  return std::accumulate(Classes.begin() + priority, Classes.end(),
                         std::size_t{0});
}

std::span<const AdapterKey>
LoadPlanner::candidates(const AdapterTable &adapters, Instant now) {
  std::size_t n = 0;
  std::size_t looked = 0;
  for (const auto &it : ByDeadline) {
    if (looked++ == MostCandidates)
      break;
    consider(*adapters.find(it.Adapter), now, n);
  }
  looked = 0;
  for (const auto &it : ByWeight) {
    if (looked++ == MostCandidates)
      break;
    consider(*adapters.find(it.Adapter), now, n);
  }
  std::sort(Claims.begin(), Claims.begin() + n,
            [](const Claim &left, const Claim &right) {
              return left.Value != right.Value ? left.Value > right.Value
                                               : left.Adapter < right.Adapter;
            });
  n = std::min(n, MostCandidates);
  for (std::size_t it = 0; it < n; ++it)
    Chosen[it] = Claims[it].Adapter;
  return {Chosen.data(), n};
}

void LoadPlanner::consider(const ActiveAdapter &active, Instant now,
                           std::size_t &n) {
  for (std::size_t it = 0; it < n; ++it) {
    if (Claims[it].Adapter == active.Key)
      return;
  }
  Claims[n++] = {claimOf(active, now), active.Key};
}

double LoadPlanner::claimOf(const ActiveAdapter &active, Instant now) const {
  double age = std::max(0.0, inSeconds(now - active.Queue.begin()->Rank));
  double share = active.Copy ? Settings.CopyShare : 1.0;
  if (Settings.FirstComeFirstServed)
    return share * age;
  double claim =
      static_cast<double>(active.Weight) *
      (1 + std::pow(age / inSeconds(Settings.AgeScale), Settings.AgePower));
  double left = std::max(0.001, inSeconds(active.HeadDeadline - now));
  double urgency = std::clamp(inSeconds(Settings.UrgentWithin) / left, 1.0,
                              Settings.LargestUrgency);
  return share * claim * urgency;
}

} // namespace hemlockglade
