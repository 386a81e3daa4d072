#include "Hemlockglade/Coordination/Orders/HoldingsLog.h"

namespace hemlockglade {

void HoldingsLog::recordChange(Entry &entry, const WeightsRef &weights) {
  entry.ChangedAt[weights] = Revision + 1;
  entry.LastChange = Revision + 1;
  HasChanges = true;
}

bool HoldingsLog::update(const std::string &replica, const Residency &held) {
  auto [at, isNew] = Replicas.try_emplace(replica);
  auto &entry = at->second;
  if (!isNew && entry.Held == held)
    return false;
  if (isNew) {
    entry.CompleteBefore = entry.LastChange = Revision + 1;
    HasChanges = true;
  }
  for (const auto &[weights, it] : held) {
    auto known = entry.Held.find(weights);
    if (known == entry.Held.end() || !(known->second == it))
      recordChange(entry, weights);
  }
  for (const auto &[weights, it] : entry.Held)
    if (!held.contains(weights))
      recordChange(entry, weights);
  entry.Held = held;
  if (entry.ChangedAt.size() > held.size() + Options.MaxDropped) {
    std::erase_if(entry.ChangedAt,
                  [&held](const auto &it) { return !held.contains(it.first); });
    entry.CompleteBefore = Revision + 1;
  }
  return true;
}

void HoldingsLog::markChanged(const std::string &replica,
                              const WeightsRef &weights) {
  auto it = Replicas.find(replica);
  if (it != Replicas.end() && it->second.Held.contains(weights))
    recordChange(it->second, weights);
}

void HoldingsLog::commit() {
  if (std::exchange(HasChanges, false))
    ++Revision;
}

void HoldingsLog::keepOnly(const std::set<std::string> &replicas) {
  std::erase_if(Replicas, [&replicas](const auto &it) {
    return !replicas.contains(it.first);
  });
}

void HoldingsLog::clear() {
  Replicas.clear();
  Revision = 0;
  HasChanges = false;
}

std::vector<HoldingsChange> HoldingsLog::since(std::uint64_t revision) const {
  std::vector<HoldingsChange> out;
  for (const auto &[replica, entry] : Replicas) {
    if (entry.LastChange <= revision)
      continue;
    HoldingsChange change;
    change.Replica = replica;
    change.Complete = revision < entry.CompleteBefore;
    if (change.Complete)
      change.Held = entry.Held;
    for (const auto &[weights, at] : entry.ChangedAt) {
      if (change.Complete || at <= revision)
        continue;
      auto held = entry.Held.find(weights);
      if (held == entry.Held.end())
        change.Dropped.push_back(weights);
      else
        change.Held.insert(*held);
    }
    out.push_back(std::move(change));
  }
  return out;
}

} // namespace hemlockglade
