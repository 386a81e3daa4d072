#include "Hemlockglade/Coordination/Decision/LoadPlanner.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace hemlockglade {

LoadPlanner::LoadPlanner(const LoadPlannerSettings &settings,
                         std::pmr::memory_resource *memory)
    : Settings(settings), ByDeadline(memory), ByWeight(memory) {}

void LoadPlanner::addOrUpdate(ActiveAdapter &active, std::uint8_t headPriority,
                              bool copy) {
  if (active.Planned && active.PlannedWeight == active.Weight &&
      active.PlannedDeadline == active.HeadDeadline &&
      active.PlannedPriority == headPriority && active.Copy == copy)
    return;
  remove(active);
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

void LoadPlanner::remove(ActiveAdapter &active) {
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

std::size_t LoadPlanner::fromClass(std::uint8_t priority) const {
  return std::accumulate(Classes.begin() + priority, Classes.end(),
                         std::size_t{0});
}

std::span<const AdapterKey>
LoadPlanner::candidates(const AdapterTable &adapters, Instant now) {
  std::size_t n = 0;
  std::size_t visited = 0;
  for (const auto &it : ByDeadline) {
    if (visited++ == MaxCandidates)
      break;
    consider(*adapters.find(it.Adapter), now, n);
  }
  visited = 0;
  for (const auto &it : ByWeight) {
    if (visited++ == MaxCandidates)
      break;
    consider(*adapters.find(it.Adapter), now, n);
  }
  std::sort(Scores.begin(), Scores.begin() + n,
            [](const Score &timeLeft, const Score &right) {
              return timeLeft.Value != right.Value
                         ? timeLeft.Value > right.Value
                         : timeLeft.Adapter < right.Adapter;
            });
  n = std::min(n, MaxCandidates);
  for (std::size_t it = 0; it < n; ++it)
    Chosen[it] = Scores[it].Adapter;
  return {Chosen.data(), n};
}

void LoadPlanner::consider(const ActiveAdapter &active, Instant now,
                           std::size_t &n) {
  for (std::size_t it = 0; it < n; ++it) {
    if (Scores[it].Adapter == active.Key)
      return;
  }
  Scores[n++] = {scoreOf(active, now), active.Key};
}

double LoadPlanner::scoreOf(const ActiveAdapter &active, Instant now) const {
  double age = std::max(0.0, inSeconds(now - active.Queue.begin()->Rank));
  double share = active.Copy ? Settings.CopyWeight : 1.0;
  if (Settings.FirstComeFirstServed)
    return share * age;
  double score =
      static_cast<double>(active.Weight) *
      (1 + std::pow(age / inSeconds(Settings.AgeScale), Settings.AgePower));
  double timeLeft = std::max(0.001, inSeconds(active.HeadDeadline - now));
  double urgency = std::clamp(inSeconds(Settings.UrgencyWindow) / timeLeft, 1.0,
                              Settings.MaxUrgency);
  return share * score * urgency;
}

} // namespace hemlockglade
