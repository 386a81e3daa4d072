#include "Hemlockglade/Coordination/Decision/CellState.h"

#include <algorithm>

namespace hemlockglade {

namespace {

constexpr std::size_t MaxPrefetchCandidates = 256;
/// Number of ticks in which the whole eviction order is updated once.
constexpr std::size_t RefreshTicks = 32;

} // namespace

CellState::CellState(const CellCoreSettings &settings, CellCoreHooks hooks)
    : Settings(settings), Adapters(&Memory), Replicas(Adapters),
      Demand(settings.Demand),
      Eviction(settings.Eviction, std::move(hooks.Eviction), Demand, &Memory),
      Queues(settings.Queues, &Memory), Planner(settings.Loads, &Memory),
      Limiter(settings.LoadLimits),
      Chooser(settings.Routing, settings.Objective, Replicas), Running(&Memory),
      Backoffs(&Memory), PinsToCheck(&Memory), PrefetchCandidates(&Memory) {}

bool CellState::canServe(ReplicaKey replica, const ActiveAdapter &active) {
  auto *record = Replicas.find(replica);
  if (!record || !Chooser.canServe(*record, active))
    return false;
  auto *resident = Replicas.resident(*record, active.Key);
  return resident && resident->State == ResidentState::Resident;
}

std::uint32_t CellState::countServing(const ActiveAdapter &active) {
  std::uint32_t n = 0;
  for (ReplicaKey it : active.Holders) {
    if (canServe(it, active))
      ++n;
  }
  return n;
}

bool CellState::isLoading(const ActiveAdapter &active) {
  for (ReplicaKey it : active.Holders) {
    auto *resident = Replicas.resident(Replicas.obtain(it), active.Key);
    if (resident->State == ResidentState::Loading)
      return true;
  }
  return false;
}

std::size_t CellState::freeSlots() {
  std::size_t n = 0;
  for (const auto &it : Replicas.all()) {
    if (Chooser.canTakeWork(it) && it.NoLoadBefore <= Now && it.hasFreeSlot())
      n += it.Properties.Slots - it.Adapters.size();
  }
  return n;
}

void CellState::setState(Replica &replica, Resident &resident,
                         ResidentState state) {
  resident.State = state;
  resident.ChangedAt = Now;
  resident.SettledAfter = Now;
  replica.OrderAt = Now;
  refresh(resident.Adapter);
  auto *active = Adapters.find(resident.Adapter);
  replan(*active);
  if (!active->Pins.empty())
    PinsToCheck.insert(active->Key);
}

void CellState::setUncertain(Replica &replica, Resident &resident) {
  setState(replica, resident, ResidentState::Uncertain);
  resident.SettledAfter = Now + Settings.Eviction.UncertainPeriod;
}

void CellState::removeResident(Replica &replica, AdapterKey adapter) {
  auto *resident = Replicas.resident(replica, adapter);
  Eviction.forget(replica, *resident);
  Replicas.remove(replica, adapter);
  replica.OrderAt = Now;
  auto *active = Adapters.find(adapter);
  if (active->Holders.empty())
    addPrefetchCandidate(adapter);
  refresh(adapter);
  replan(*active);
  if (!active->Pins.empty())
    PinsToCheck.insert(adapter);
  Adapters.release(adapter);
}

void CellState::refresh(AdapterKey adapter) {
  auto *active = Adapters.find(adapter);
  if (!active)
    return;
  bool copies = active->Holders.size() > 1 && countServing(*active) > 1;
  for (ReplicaKey it : active->Holders) {
    auto &replica = Replicas.obtain(it);
    Eviction.refresh(replica, *Replicas.resident(replica, adapter), copies,
                     Now);
  }
}

void CellState::refreshNext() {
  auto replicas = Replicas.all();
  if (replicas.empty())
    return;
  std::size_t n = 1 + replicas.size() / RefreshTicks;
  for (; n != 0; --n) {
    LastRefreshed = (LastRefreshed + 1) % replicas.size();
    for (const auto &it : replicas[LastRefreshed].Adapters)
      refresh(it.Adapter);
  }
}

void CellState::replan(ActiveAdapter &active) {
  if (active.Queue.empty() || active.Key == NoAdapter ||
      active.NotBefore > Now || isLoading(active))
    return Planner.remove(active);
  std::uint32_t n = countServing(active);
  bool copy = n != 0;
  if (copy && (active.Queue.size() < Settings.Placement.CopyQueueLength ||
               n >= Settings.Placement.MaxCopies))
    return Planner.remove(active);
  const auto *head = Queues.find(active.Queue.begin()->Request);
  Planner.addOrUpdate(active, head->Arrival.Priority, copy);
}

void CellState::replanAll(Replica &replica) {
  for (const auto &it : replica.Adapters) {
    auto *active = Adapters.find(it.Adapter);
    replan(*active);
    if (!active->Pins.empty())
      PinsToCheck.insert(it.Adapter);
  }
}

std::uint64_t CellState::openOrder(const Replica &replica, Resident &resident,
                                   bool isLoad) {
  resident.Order = ++LastOrder;
  resident.OrderedLoad = isLoad;
  if (isLoad)
    resident.LoadOrderedAt = Now;
  resident.WasUncertain = resident.State == ResidentState::Uncertain;
  resident.Restarted = false;
  Orders.push_back({replica.Key, resident.Adapter, LastOrder, Now, isLoad});
  if (isLoad)
    Limiter.onStarted();
  return LastOrder;
}

std::optional<OpenOrder> CellState::closeOrder(std::uint64_t order) {
  auto it = std::find_if(
      Orders.begin(), Orders.end(),
      [order](const OpenOrder &open) { return open.Order == order; });
  if (it == Orders.end())
    return std::nullopt;
  OpenOrder open = *it;
  Orders.erase(it);
  if (open.IsLoad && !open.Overdue)
    Limiter.onEnded();
  return open;
}

void CellState::addPrefetchCandidate(AdapterKey adapter) {
  if (!Settings.Placement.Prefetch)
    return;
  PrefetchCandidates.insert({Demand.rate(adapter, Now), adapter});
  if (PrefetchCandidates.size() > MaxPrefetchCandidates)
    PrefetchCandidates.erase(PrefetchCandidates.begin());
}

} // namespace hemlockglade
