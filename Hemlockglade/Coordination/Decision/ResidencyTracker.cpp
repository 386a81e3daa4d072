#include "Hemlockglade/Coordination/Decision/ResidencyTracker.h"

#include <algorithm>
#include <utility>

namespace hemlockglade {

namespace {

constexpr std::uint32_t MaxShift = 8;
/// Consecutive failed loads from which a replica is put in backoff.
constexpr std::uint32_t ReplicaFailures = 3;

const ResidentAdapter *findReported(const ReplicaReport &event,
                                    AdapterKey adapter) {
  for (const auto &it : event.Resident) {
    if (it.Adapter == adapter)
      return &it;
  }
  return nullptr;
}

} // namespace

Resident *ResidencyTracker::findAnswered(Replica *replica, AdapterKey adapter,
                                         std::uint64_t order, bool isLoad) {
  auto *resident =
      replica ? State.Replicas.resident(*replica, adapter) : nullptr;
  if (!resident || resident->OrderedLoad != isLoad)
    return nullptr;
  bool open = resident->State ==
              (isLoad ? ResidentState::Loading : ResidentState::Evicting);
  // Without a number, an answer counts only for an open order.
  if (order == 0 ? !open : resident->Order != order)
    return nullptr;
  if (!open && resident->State != ResidentState::Uncertain)
    return nullptr;
  return resident;
}

std::optional<OpenOrder> ResidencyTracker::closeAnswered(Resident &resident) {
  // The same answer may arrive again; it is then ignored.
  return State.closeOrder(std::exchange(resident.Order, 0));
}

bool ResidencyTracker::onLoadDone(const LoadDone &event) {
  auto *replica = State.Replicas.find(event.Replica);
  auto *resident = findAnswered(replica, event.Adapter, event.Order, true);
  if (!resident)
    return false;
  auto open = closeAnswered(*resident);
  if (open)
    State.Limiter.onSucceeded(State.Now - open->GivenAt, State.Now);
  replica->LoadFailures = 0;
  State.Adapters.find(event.Adapter)->Failures = 0;
  if (resident->Restarted) {
    State.setState(*replica, *resident, ResidentState::Uncertain);
    return false;
  }
  resident->LoadedAt = State.Now;
  State.setState(*replica, *resident, ResidentState::Resident);
  return true;
}

void ResidencyTracker::onLoadFailed(const LoadFailed &event) {
  auto *replica = State.Replicas.find(event.Replica);
  auto *resident = findAnswered(replica, event.Adapter, event.Order, true);
  if (!resident)
    return;
  bool wasOpen = closeAnswered(*resident).has_value();
  auto &active = State.Adapters.obtain(event.Adapter);
  // A load that this core cancelled says nothing about the weight store.
  if (wasOpen) {
    State.Limiter.onFailed(State.Now);
    backOff(*replica, active);
  }
  if (event.Unknown || resident->Overlaps)
    State.setUncertain(*replica, *resident);
  else
    removeOrMarkUncertain(*replica, event.Adapter);
}

bool ResidencyTracker::onEvictDone(const EvictDone &event) {
  auto *replica = State.Replicas.find(event.Replica);
  auto *resident = findAnswered(replica, event.Adapter, event.Order, false);
  if (!resident)
    return false;
  closeAnswered(*resident);
  if (event.Unknown) {
    State.setUncertain(*replica, *resident);
    return false;
  }
  if (!event.Refused) {
    removeOrMarkUncertain(*replica, event.Adapter);
    return false;
  }
  if (resident->Restarted || resident->WasUncertain) {
    State.setState(*replica, *resident, ResidentState::Uncertain);
    return false;
  }
  // The engine refused the eviction: the minimum residency starts again.
  resident->LoadedAt = State.Now;
  State.setState(*replica, *resident, ResidentState::Resident);
  return true;
}

void ResidencyTracker::backOff(Replica &replica, ActiveAdapter &active) {
  const auto &settings = State.Settings.Placement;
  // When all loads fail alike, the adapter is not the cause.
  if (!State.Limiter.isStoreFailing() || active.Failures == 0)
    ++active.Failures;
  auto shift = std::min(active.Failures - 1, MaxShift);
  auto wait =
      std::min(settings.InitialBackoff * (1 << shift), settings.MaxBackoff);
  active.NotBefore = State.Now + wait;
  State.Backoffs.insert({active.NotBefore, active.Key});
  ++replica.LoadFailures;
  if (replica.LoadFailures >= ReplicaFailures &&
      !State.Limiter.isStoreFailing())
    replica.NoLoadBefore = State.Now + wait;
}

void ResidencyTracker::removeOrMarkUncertain(Replica &replica,
                                             AdapterKey adapter) {
  auto *resident = State.Replicas.resident(replica, adapter);
  if (resident->State == ResidentState::Loading ||
      resident->State == ResidentState::Evicting)
    State.closeOrder(resident->Order);
  if (resident->Running == 0)
    State.removeResident(replica, adapter);
  else
    State.setState(replica, *resident, ResidentState::Uncertain);
}

void ResidencyTracker::onReplicaAdded(const ReplicaAdded &event) {
  auto &replica = State.Replicas.obtain(event.Replica);
  replica.Properties = event;
  if (replica.Present)
    return;
  replica.Present = true;
  replica.Draining = false;
  replica.MissedReports = 0;
}

void ResidencyTracker::onReplicaRemoved(ReplicaKey key) {
  auto *replica = State.Replicas.find(key);
  if (!replica)
    return;
  while (!replica->Adapters.empty()) {
    const auto &last = replica->Adapters.back();
    if (last.State == ResidentState::Loading ||
        last.State == ResidentState::Evicting)
      State.closeOrder(last.Order);
    State.removeResident(*replica, last.Adapter);
  }
  replica->Present = false;
  replica->Standby = false;
  replica->UntrackedRunning = 0;
}

void ResidencyTracker::onDraining(const ReplicaDraining &event) {
  auto *replica = State.Replicas.find(event.Replica);
  if (!replica)
    return;
  replica->Draining = event.Draining;
  State.replanAll(*replica);
}

void ResidencyTracker::onReportMissed(ReplicaKey key) {
  auto *replica = State.Replicas.find(key);
  if (!replica)
    return;
  ++replica->MissedReports;
  if (replica->MissedReports == State.Settings.Routing.DownAfterMissed)
    State.replanAll(*replica);
}

bool ResidencyTracker::onReport(const ReplicaReport &event) {
  auto *replica = State.Replicas.find(event.Replica);
  if (!replica || (replica->HasReport && event.TakenAt < replica->ReportAt))
    return false;
  bool wasDown =
      replica->MissedReports >= State.Settings.Routing.DownAfterMissed;
  replica->MissedReports = 0;
  replica->ReportAt = event.TakenAt;
  // Orders from before the first report may have been carried out by another
  // incarnation.
  bool first = !replica->HasReport;
  bool restart = !first && replica->Incarnation != event.Incarnation;
  replica->HasReport = true;
  replica->Incarnation = event.Incarnation;
  if (restart) {
    replica->WarmupLeft = State.Settings.Routing.WarmupRequests;
    replica->UntrackedRunning = 0;
  }
  if (restart || first)
    onNewIncarnation(*replica, event);
  reconcile(*replica, event);
  if (auto ours = replica->runningAt(event.TakenAt))
    replica->UntrackedRunning =
        event.Running > *ours ? event.Running - *ours : 0;
  if (wasDown)
    State.replanAll(*replica);
  return true;
}

void ResidencyTracker::onNewIncarnation(Replica &replica,
                                        const ReplicaReport &event) {
  ToRemove.clear();
  for (auto &it : replica.Adapters) {
    // A load ordered after the report was taken went to the new incarnation; an
    // uncertain resident stays uncertain until it is settled.
    if (it.LoadOrderedAt > event.TakenAt ||
        it.State == ResidentState::Uncertain)
      continue;
    if (it.State == ResidentState::Loading ||
        it.State == ResidentState::Evicting)
      it.Restarted = true;
    else if (it.ChangedAt >= event.TakenAt)
      State.setState(replica, it, ResidentState::Uncertain);
    else if (!findReported(event, it.Adapter))
      ToRemove.push_back(it.Adapter);
  }
  for (AdapterKey it : ToRemove)
    removeOrMarkUncertain(replica, it);
}

void ResidencyTracker::reconcile(Replica &replica, const ReplicaReport &event) {
  ToRemove.clear();
  for (std::size_t it = 0; it < replica.Adapters.size(); ++it) {
    auto &resident = replica.Adapters[it];
    const auto *reported = findReported(event, resident.Adapter);
    resident.ReportedRunning = reported ? reported->Running : 0;
    if (isOrderConfirmed(resident, event, reported)) {
      applyAnswer(replica, resident);
      continue;
    }
    bool settled = resident.State == ResidentState::Resident ||
                   resident.State == ResidentState::Uncertain;
    if (!settled || event.TakenAt <= resident.ChangedAt)
      continue;
    if (resident.State == ResidentState::Resident && !reported)
      ToRemove.push_back(resident.Adapter);
    if (resident.State != ResidentState::Uncertain ||
        event.TakenAt <= resident.SettledAfter)
      continue;
    if (reported) {
      resident.LoadedAt = State.Now;
      State.setState(replica, resident, ResidentState::Resident);
    } else if (resident.Running == 0) {
      ToRemove.push_back(resident.Adapter);
    }
  }
  for (AdapterKey it : ToRemove)
    removeOrMarkUncertain(replica, it);
  if (event.TakenAt > replica.OrderAt || replica.OrderAt == Instant{})
    addReported(replica, event);
}

bool ResidencyTracker::isOrderConfirmed(const Resident &resident,
                                        const ReplicaReport &event,
                                        bool reported) {
  // A report from after an order can replace its lost answer. With two open
  // orders, it does not show which of them was carried out.
  if (resident.Overlaps || resident.Restarted ||
      event.TakenAt <= resident.ChangedAt)
    return false;
  return (resident.State == ResidentState::Loading && reported) ||
         (resident.State == ResidentState::Evicting && !reported);
}

void ResidencyTracker::applyAnswer(Replica &replica, Resident &resident) {
  bool isLoad = resident.State == ResidentState::Loading;
  auto open = closeAnswered(resident);
  if (!isLoad)
    return ToRemove.push_back(resident.Adapter);
  if (open)
    State.Limiter.onSucceeded(State.Now - open->GivenAt, State.Now);
  State.Adapters.find(resident.Adapter)->Failures = 0;
  resident.LoadedAt = State.Now;
  State.setState(replica, resident, ResidentState::Resident);
}

void ResidencyTracker::addReported(Replica &replica,
                                   const ReplicaReport &event) {
  for (const auto &it : event.Resident) {
    if (it.Adapter == NoAdapter || State.Replicas.resident(replica, it.Adapter))
      continue;
    auto &added = State.Replicas.add(replica, it.Adapter,
                                     ResidentState::Resident, State.Now);
    added.FromReport = true;
    added.ReportedRunning = it.Running;
    // This owner has not used it yet, so this report already counts.
    added.LastUsed = {};
    State.refresh(it.Adapter);
    State.replan(*State.Adapters.find(it.Adapter));
  }
}

void ResidencyTracker::expireOrders() {
  const auto &settings = State.Settings.Placement;
  Span loadTimeout =
      std::max(settings.OrderTimeout,
               State.Limiter.expected() * settings.LoadTimeoutFactor);
  for (std::size_t it = 0; it < State.Orders.size();) {
    OpenOrder open = State.Orders[it];
    Span timeout = open.IsLoad ? loadTimeout : settings.OrderTimeout;
    if (State.Now - open.GivenAt < timeout) {
      markOverdue(State.Orders[it]);
      ++it;
      continue;
    }
    State.closeOrder(open.Order);
    auto &replica = State.Replicas.obtain(open.Replica);
    auto *resident = State.Replicas.resident(replica, open.Adapter);
    if (resident && resident->Order == open.Order)
      State.setUncertain(replica, *resident);
  }
}

void ResidencyTracker::markOverdue(OpenOrder &open) {
  const auto &settings = State.Settings.Placement;
  Span due = std::max(settings.MinOverdue,
                      State.Limiter.expected() * settings.OverdueFactor);
  auto overdue = [](const OpenOrder &it) { return it.Overdue; };
  bool first = std::none_of(State.Orders.begin(), State.Orders.end(), overdue);
  if (!open.IsLoad || !first || State.Now - open.GivenAt < due)
    return;
  open.Overdue = true;
  State.Limiter.onEnded();
}

void ResidencyTracker::forgetAll() {
  for (auto &replica : State.Replicas.all()) {
    if (!replica.Present)
      continue;
    ToRemove.clear();
    for (const auto &it : replica.Adapters)
      ToRemove.push_back(it.Adapter);
    for (AdapterKey it : ToRemove)
      removeOrMarkUncertain(replica, it);
    // Only a report from now on shows what is resident.
    replica.OrderAt = State.Now;
  }
}

} // namespace hemlockglade
