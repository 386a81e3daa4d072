#include "Hemlockglade/Coordination/Decision/ResidencyTracker.h"

#include <algorithm>
#include <utility>

namespace hemlockglade {

namespace {

constexpr std::uint32_t LargestShift = 8;
/// Failed loads in a row after which a replica is given a rest.
constexpr std::uint32_t ReplicaFailures = 3;

const ResidentAdapter *reportedIn(const ReplicaReport &event,
                                  AdapterKey adapter) {
  for (const auto &it : event.Resident) {
    if (it.Adapter == adapter)
      return &it;
  }
  return nullptr;
}

} // namespace

Resident *ResidencyTracker::answered(Replica *replica, AdapterKey adapter,
                                     std::uint64_t order, bool isLoad) {
  auto *resident =
      replica ? State.Replicas.resident(*replica, adapter) : nullptr;
  if (!resident || resident->OrderedLoad != isLoad)
    return nullptr;
  bool open = resident->State ==
              (isLoad ? ResidentState::Loading : ResidentState::Evicting);
  // Without a number, an answer counts only for an order that is out.
  if (order == 0 ? !open : resident->Order != order)
    return nullptr;
  if (!open && resident->State != ResidentState::Uncertain)
    return nullptr;
  return resident;
}

std::optional<OpenOrder> ResidencyTracker::closeAnswered(Resident &resident) {
  // The same answer may come again; it then counts no more.
  return State.closeOrder(std::exchange(resident.Order, 0));
}

bool ResidencyTracker::loadDone(const LoadDone &event) {
  auto *replica = State.Replicas.find(event.Replica);
  auto *resident = answered(replica, event.Adapter, event.Order, true);
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
  State.setState(*replica, *resident, ResidentState::Loaded);
  return true;
}

void ResidencyTracker::loadFailed(const LoadFailed &event) {
  auto *replica = State.Replicas.find(event.Replica);
  auto *resident = answered(replica, event.Adapter, event.Order, true);
  if (!resident)
    return;
  bool wasOpen = closeAnswered(*resident).has_value();
  auto &active = State.Adapters.obtain(event.Adapter);
  // A load that we took back ourselves tells nothing about the store.
  if (wasOpen) {
    State.Limiter.onFailed(State.Now);
    backOff(*replica, active);
  }
  if (event.Unknown || resident->Overlaps)
    State.setUncertain(*replica, *resident);
  else
    lose(*replica, event.Adapter);
}

bool ResidencyTracker::evictDone(const EvictDone &event) {
  auto *replica = State.Replicas.find(event.Replica);
  auto *resident = answered(replica, event.Adapter, event.Order, false);
  if (!resident)
    return false;
  closeAnswered(*resident);
  if (event.Unknown) {
    State.setUncertain(*replica, *resident);
    return false;
  }
  if (!event.Refused) {
    lose(*replica, event.Adapter);
    return false;
  }
  if (resident->Restarted || resident->WasUncertain) {
    State.setState(*replica, *resident, ResidentState::Uncertain);
    return false;
  }
  // The engine has its reasons: the least residency starts again.
  resident->LoadedAt = State.Now;
  State.setState(*replica, *resident, ResidentState::Loaded);
  return true;
}

void ResidencyTracker::backOff(Replica &replica, ActiveAdapter &active) {
  const auto &settings = State.Settings.Placement;
  // When all loads fail alike it is not the adapter's fault.
  if (!State.Limiter.isStoreFailing() || active.Failures == 0)
    ++active.Failures;
  auto shift = std::min(active.Failures - 1, LargestShift);
  auto wait =
      std::min(settings.FirstBackoff * (1 << shift), settings.LongestBackoff);
  active.NotBefore = State.Now + wait;
  State.Backoffs.insert({active.NotBefore, active.Key});
  ++replica.LoadFailures;
  if (replica.LoadFailures >= ReplicaFailures &&
      !State.Limiter.isStoreFailing())
    replica.NoLoadBefore = State.Now + wait;
}

void ResidencyTracker::lose(Replica &replica, AdapterKey adapter) {
  auto *resident = State.Replicas.resident(replica, adapter);
  if (resident->State == ResidentState::Loading ||
      resident->State == ResidentState::Evicting)
    State.closeOrder(resident->Order);
  if (resident->Running == 0)
    State.strike(replica, adapter);
  else
    State.setState(replica, *resident, ResidentState::Uncertain);
}

void ResidencyTracker::replicaAdded(const ReplicaAdded &event) {
  auto &replica = State.Replicas.obtain(event.Replica);
  replica.Properties = event;
  if (replica.Present)
    return;
  replica.Present = true;
  replica.Draining = false;
  replica.Silent = 0;
}

void ResidencyTracker::replicaRemoved(ReplicaKey key) {
  auto *replica = State.Replicas.find(key);
  if (!replica)
    return;
  while (!replica->Adapters.empty()) {
    const auto &last = replica->Adapters.back();
    if (last.State == ResidentState::Loading ||
        last.State == ResidentState::Evicting)
      State.closeOrder(last.Order);
    State.strike(*replica, last.Adapter);
  }
  replica->Present = false;
  replica->Resting = false;
  replica->Foreign = 0;
}

void ResidencyTracker::draining(const ReplicaDraining &event) {
  auto *replica = State.Replicas.find(event.Replica);
  if (!replica)
    return;
  replica->Draining = event.Draining;
  State.replanAll(*replica);
}

void ResidencyTracker::silent(ReplicaKey key) {
  auto *replica = State.Replicas.find(key);
  if (!replica)
    return;
  ++replica->Silent;
  if (replica->Silent == State.Settings.Routing.SilentDown)
    State.replanAll(*replica);
}

bool ResidencyTracker::report(const ReplicaReport &event) {
  auto *replica = State.Replicas.find(event.Replica);
  if (!replica || (replica->Reported && event.TakenAt < replica->ReportAt))
    return false;
  bool wasDown = replica->Silent >= State.Settings.Routing.SilentDown;
  replica->Silent = 0;
  replica->ReportAt = event.TakenAt;
  // What happened before the first report may have been another incarnation.
  bool first = !replica->Reported;
  bool restart = !first && replica->Incarnation != event.Incarnation;
  replica->Reported = true;
  replica->Incarnation = event.Incarnation;
  if (restart) {
    replica->ColdLeft = State.Settings.Routing.ColdRequests;
    replica->Foreign = 0;
  }
  if (restart || first)
    newIncarnation(*replica, event);
  reconcile(*replica, event);
  if (auto ours = replica->runningAt(event.TakenAt))
    replica->Foreign = event.Running > *ours ? event.Running - *ours : 0;
  if (wasDown)
    State.replanAll(*replica);
  return true;
}

void ResidencyTracker::newIncarnation(Replica &replica,
                                      const ReplicaReport &event) {
  Gone.clear();
  for (auto &it : replica.Adapters) {
    // A load ordered since then went to the new incarnation; what is
    // uncertain stays so until it is settled.
    if (it.LoadOrderedAt > event.TakenAt ||
        it.State == ResidentState::Uncertain)
      continue;
    if (it.State == ResidentState::Loading ||
        it.State == ResidentState::Evicting)
      it.Restarted = true;
    else if (it.ChangedAt >= event.TakenAt)
      State.setState(replica, it, ResidentState::Uncertain);
    else if (!reportedIn(event, it.Adapter))
      Gone.push_back(it.Adapter);
  }
  for (AdapterKey it : Gone)
    lose(replica, it);
}

void ResidencyTracker::reconcile(Replica &replica, const ReplicaReport &event) {
  Gone.clear();
  for (std::size_t it = 0; it < replica.Adapters.size(); ++it) {
    auto &resident = replica.Adapters[it];
    const auto *reported = reportedIn(event, resident.Adapter);
    resident.Reported = reported ? reported->Running : 0;
    if (answersOrder(resident, event, reported)) {
      takeAnswer(replica, resident);
      continue;
    }
    bool settled = resident.State == ResidentState::Loaded ||
                   resident.State == ResidentState::Uncertain;
    if (!settled || event.TakenAt <= resident.ChangedAt)
      continue;
    if (resident.State == ResidentState::Loaded && !reported)
      Gone.push_back(resident.Adapter);
    if (resident.State != ResidentState::Uncertain ||
        event.TakenAt <= resident.SettledAfter)
      continue;
    if (reported) {
      resident.LoadedAt = State.Now;
      State.setState(replica, resident, ResidentState::Loaded);
    } else if (resident.Running == 0) {
      Gone.push_back(resident.Adapter);
    }
  }
  for (AdapterKey it : Gone)
    lose(replica, it);
  if (event.TakenAt > replica.OrderAt || replica.OrderAt == Instant{})
    addReported(replica, event);
}

bool ResidencyTracker::answersOrder(const Resident &resident,
                                    const ReplicaReport &event, bool reported) {
  // A report from after an order can stand for its lost answer. With two
  // orders under way it can't be told which of them it shows.
  if (resident.Overlaps || resident.Restarted ||
      event.TakenAt <= resident.ChangedAt)
    return false;
  return (resident.State == ResidentState::Loading && reported) ||
         (resident.State == ResidentState::Evicting && !reported);
}

void ResidencyTracker::takeAnswer(Replica &replica, Resident &resident) {
  bool isLoad = resident.State == ResidentState::Loading;
  auto open = closeAnswered(resident);
  if (!isLoad)
    return Gone.push_back(resident.Adapter);
  if (open)
    State.Limiter.onSucceeded(State.Now - open->GivenAt, State.Now);
  State.Adapters.find(resident.Adapter)->Failures = 0;
  resident.LoadedAt = State.Now;
  State.setState(replica, resident, ResidentState::Loaded);
}

void ResidencyTracker::addReported(Replica &replica,
                                   const ReplicaReport &event) {
  for (const auto &it : event.Resident) {
    if (it.Adapter == NoAdapter || State.Replicas.resident(replica, it.Adapter))
      continue;
    auto &added = State.Replicas.add(replica, it.Adapter, ResidentState::Loaded,
                                     State.Now);
    added.FromReport = true;
    added.Reported = it.Running;
    // Nothing was used by us, so this very report counts.
    added.LastUsed = {};
    State.refresh(it.Adapter);
    State.replan(*State.Adapters.find(it.Adapter));
  }
}

void ResidencyTracker::expireOrders() {
  const auto &settings = State.Settings.Placement;
  Span loadTimeout = std::max(settings.OrderTimeout,
                              State.Limiter.expected() * settings.LoadTimes);
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
  Span due = std::max(settings.Overdue,
                      State.Limiter.expected() * settings.OverdueTimes);
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
    Gone.clear();
    for (const auto &it : replica.Adapters)
      Gone.push_back(it.Adapter);
    for (AdapterKey it : Gone)
      lose(replica, it);
    // Only a report from now on tells what is there.
    replica.OrderAt = State.Now;
  }
}

} // namespace hemlockglade
