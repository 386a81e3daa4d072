// ReplicaView: which replicas exist, and which of them get new requests.

#include "Hemlockglade/Coordination/Route/ReplicaView.h"

#include <algorithm>

namespace hemlockglade {

namespace {

Residency residencyOf(const ReplicaRecord &record, Instant now) {
  Residency out;
  for (const auto &[weights, version] : record.Held)
    out[weights] = {version, now, false};
  return out;
}

} // namespace

bool ReplicaView::acceptIncarnation(const ReplicaIncarnation &incarnation,
                                    Instant now,
                                    std::vector<ReplicaPtr> &ended) {
  auto [at, isFirst] =
      LatestIncarnations.try_emplace(incarnation.id(), incarnation);
  // A delayed heartbeat of an earlier incarnation, or an entry that does not
  // report its start time where the previous one did.
  if (incarnation.before(at->second))
    return false;
  if (!isFirst && at->second.before(incarnation))
    if (auto it = Replicas.find(at->second.text()); it != Replicas.end()) {
      changeLife(it->second, [now](auto &life) { life.onSucceeded(now); });
      ended.push_back(it->second.Record);
    }
  at->second = incarnation;
  return true;
}

void ReplicaView::changeLife(
    ReplicaState &state, const std::function<void(ReplicaLife &life)> &event) {
  auto before = state.Life;
  event(state.Life);
  if (before.phase() == state.Life.phase())
    return;
  if (before.isUsable() != state.Life.isUsable())
    ++Revision;
  if (OnPhase && state.Record)
    OnPhase(*state.Record, before.phase(), state.Life.phase());
}

std::map<ReplicaPhase, std::size_t> ReplicaView::phaseCounts() const {
  std::map<ReplicaPhase, std::size_t> out;
  for (auto phase : AllReplicaPhases)
    out[phase] = 0;
  for (const auto &[key, state] : Replicas)
    ++out[state.Life.phase()];
  return out;
}

void ReplicaView::applyRecord(const ReplicaRecord &record,
                              std::uint64_t position, Instant now,
                              std::vector<ReplicaPtr> &ended) {
  if (!acceptIncarnation(record.Incarnation, now, ended))
    return;
  auto [it, isNew] = Replicas.try_emplace(record.Incarnation.text());
  auto &state = it->second;
  // A replica that leaves stays so, also if an entry from before is read late.
  bool isLeaving =
      record.Draining || Leaving.contains(record.Incarnation.text());
  bool isCurrent = true;
  changeLife(state, [&](auto &life) {
    isCurrent = life.onEntry(position, isLeaving);
  });
  if (!isCurrent)
    return;
  state.Record = std::make_shared<const ReplicaRecord>(record);
  state.RemovalReturned = false;
  if (isNew) {
    ++Revision;
    state.Speed = ReplicaSpeed(Options.Speed);
  }
  if (auto pending = PendingResidency.find(record.Incarnation.text());
      pending != PendingResidency.end()) {
    state.Held = std::move(pending->second);
    state.FromOwner = true;
    PendingResidency.erase(pending);
  }
  if (!state.FromOwner) {
    state.Held = residencyOf(record, now);
    state.RejectedDueAt.clear();
  }
}

std::vector<ReplicaPtr> ReplicaView::onRegistry(const ReplicaChanges &changes,
                                                bool unreachable, Instant now,
                                                Span ageBefore) {
  std::vector<ReplicaPtr> ended;
  auto sizeBefore = Replicas.size();
  for (const auto &it : changes.Present)
    applyRecord(it, changes.Position, now, ended);
  if (Replicas.size() != sizeBefore)
    rebuildIndex();
  std::set<std::string> missing(changes.Removed.begin(), changes.Removed.end());
  std::set<std::string> present(changes.Unreadable.begin(),
                                changes.Unreadable.end());
  for (const auto &it : changes.Present)
    present.insert(it.Incarnation.id());
  std::size_t usableCount = 0;
  for (const auto &[key, state] : Replicas) {
    const auto &id = state.Record->Incarnation.id();
    usableCount += isUsable(state) ? 1 : 0;
    if (changes.Complete && !present.contains(id))
      missing.insert(id);
  }
  // Entries expire together when the registry itself was unavailable. A single
  // entry that disappears while only this node was cut off is a replica that
  // has been removed, for which the bound on new work already applies.
  constexpr double MinExpiredShare = 1.0 / 3;
  bool expired =
      changes.RolledBack ||
      (unreachable && static_cast<double>(missing.size()) >=
                          MinExpiredShare * static_cast<double>(usableCount));
  std::optional<Instant> usedUntil;
  if (changes.RolledBack)
    usedUntil = now + Options.ExpiryGrace;
  else if (expired)
    usedUntil = endOfExpiryGrace(ageBefore, now);
  for (auto &[key, state] : Replicas)
    if (missing.contains(state.Record->Incarnation.id()))
      changeLife(state, [&](auto &life) {
        life.onEntryGone(changes.Position, usedUntil, now);
      });
  return ended;
}

Instant ReplicaView::endOfExpiryGrace(Span ageBefore, Instant now) const {
  // Where the list was young, the registry answered all the while, and the
  // entries may have been removed right after it was confirmed.
  bool wasYoung = ageBefore <= Options.ExpiryGrace;
  return now - (wasYoung ? ageBefore : Span(0)) + Options.ExpiryGrace;
}

void ReplicaView::onRestarted(const std::string &replica) {
  if (auto it = Replicas.find(replica); it != Replicas.end())
    changeLife(it->second, [](auto &life) { life.onReplaced(); });
}

ReplicaIncarnation ReplicaView::latestIncarnation(const std::string &id) const {
  auto it = LatestIncarnations.find(id);
  return it == LatestIncarnations.end() ? ReplicaIncarnation(id) : it->second;
}

std::vector<ReplicaIncarnation> ReplicaView::removeExpired(Instant now) {
  Pauses.removeExpired(now);
  // Far longer than a replica that leaves goes on.
  constexpr auto LeavingRetention = std::chrono::minutes(10);
  std::erase_if(Leaving, [&](const auto &it) {
    return !Replicas.contains(it.first) &&
           now - it.second.SaidAt > LeavingRetention;
  });
  std::vector<ReplicaIncarnation> removed;
  constexpr auto RetentionTime = std::chrono::seconds(10);
  for (auto it = Replicas.begin(); it != Replicas.end();) {
    auto &state = it->second;
    changeLife(state, [now](auto &life) { life.onTime(now); });
    if (state.Life.isGone(now) && !std::exchange(state.RemovalReturned, true))
      removed.push_back(state.Record->Incarnation);
    bool retentionOver = state.Life.isGone(now, RetentionTime);
    if (state.CachedParts.size() > Options.MaxPromptParts)
      state.CachedParts.clear();
    if (!retentionOver || state.OwnRunning > 0) {
      ++it;
      continue;
    }
    const auto &incarnation = state.Record->Incarnation;
    if (auto at = LatestIncarnations.find(incarnation.id());
        at != LatestIncarnations.end() && at->second == incarnation)
      LatestIncarnations.erase(at);
    SpeedChanges.erase(state.SpeedRevision);
    it = Replicas.erase(it);
  }
  rebuildIndex();
  return removed;
}

void ReplicaView::rebuildIndex() {
  ByService.clear();
  for (auto &[id, state] : Replicas)
    ByService[state.Record->Service].push_back(&state);
}

std::vector<ReplicaPtr>
ReplicaView::replicasIn(const std::string &domain) const {
  std::vector<ReplicaPtr> out;
  for (const auto &[id, state] : Replicas)
    if (isUsable(state) && state.Record->FailureDomain == domain)
      out.push_back(state.Record);
  return out;
}

std::vector<ReplicaPtr>
ReplicaView::replicasOf(const std::string &service) const {
  std::vector<ReplicaPtr> out;
  auto all = ByService.find(service);
  if (all == ByService.end())
    return out;
  for (const auto *it : all->second)
    if (isUsable(*it))
      out.push_back(it->Record);
  return out;
}

ReplicaPtr ReplicaView::findUsable(std::string_view incarnation) const {
  auto it = Replicas.find(std::string(incarnation));
  bool isFound = it != Replicas.end() && isUsable(it->second);
  return isFound ? it->second.Record : nullptr;
}

std::vector<ReplicaPtr> ReplicaView::inUse() const {
  std::vector<ReplicaPtr> out;
  for (const auto &[id, state] : Replicas)
    if (isUsable(state))
      out.push_back(state.Record);
  return out;
}

std::vector<ReplicaPtr> ReplicaView::all() const {
  std::vector<ReplicaPtr> out;
  out.reserve(Replicas.size());
  for (const auto &[id, state] : Replicas)
    out.push_back(state.Record);
  return out;
}

bool ReplicaView::hasPendingRemoval() const {
  return std::any_of(Replicas.begin(), Replicas.end(),
                     [](const auto &it) { return it.second.Life.isInGrace(); });
}

std::string ReplicaView::failureDomainOf(const std::string &replica) const {
  auto it = Replicas.find(replica);
  return it == Replicas.end() ? "" : it->second.Record->FailureDomain;
}

bool ReplicaView::isDraining(const std::string &replica) const {
  auto it = Replicas.find(replica);
  return (it != Replicas.end() && it->second.Life.isDraining()) ||
         Leaving.contains(replica);
}

bool ReplicaView::onLeaving(const std::string &replica, Instant now) {
  constexpr std::size_t MaxLeaving = 16384;
  if (Leaving.size() >= MaxLeaving && !Leaving.contains(replica))
    return false;
  auto [it, isNew] = Leaving.try_emplace(replica);
  it->second.SaidAt = now;
  if (!isNew)
    return false;
  it->second.Revision = ++LeavingRevision;
  if (auto state = Replicas.find(replica); state != Replicas.end())
    changeLife(state->second, [](auto &life) { life.onLeaving(); });
  return true;
}

std::vector<std::string>
ReplicaView::leavingSince(const std::string &domain,
                          std::uint64_t revision) const {
  std::vector<std::string> out;
  if (revision == LeavingRevision)
    return out;
  for (const auto &[replica, it] : Leaving)
    if (it.Revision > revision && failureDomainOf(replica) == domain)
      out.push_back(replica);
  return out;
}

std::vector<Instant> ReplicaView::copiesReadyAt(const std::string &service,
                                                const WeightsRef &weights,
                                                Instant now) const {
  std::vector<Instant> out;
  auto all = ByService.find(service);
  if (all == ByService.end())
    return out;
  for (const auto *it : all->second) {
    if (!it->Life.isUsable(now))
      continue;
    const auto *held = usableWeights(*it, weights, now);
    if (!held)
      continue;
    auto returnsAt = Pauses.returnsAt(it->Record->Incarnation.text(), now);
    out.push_back(std::max(held->ReadyAt, returnsAt.value_or(Instant{})));
  }
  return out;
}

} // namespace hemlockglade
