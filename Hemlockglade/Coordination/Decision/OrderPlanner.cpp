#include "Hemlockglade/Coordination/Decision/OrderPlanner.h"

#include <algorithm>

namespace hemlockglade {

namespace {

constexpr Span EvictionRetryDelay = std::chrono::milliseconds(10);
constexpr Span PinRetryDelay = std::chrono::milliseconds(100);
constexpr Span FailureRetention = std::chrono::seconds(60);
constexpr Span OperatorLoadTimeout = std::chrono::seconds(60);
constexpr std::size_t MaxOperatorLoads = 256;
// A load for a pin is delayed by at most this many loads for waiting requests.
constexpr std::uint32_t MaxDemandLoadsPerPin = 3;

} // namespace

void OrderPlanner::run() {
  endBackoffs();
  if (!OperatorLoads.empty())
    loadForOperators();
  if (!State.PinsToCheck.empty())
    loadForPins();
  if (hasDemand())
    loadForDemand();
  else if (!State.PrefetchCandidates.empty() && State.Queues.size() == 0)
    prefetch();
}

void OrderPlanner::endBackoffs() {
  while (!State.Backoffs.empty() &&
         State.Backoffs.begin()->first <= State.Now) {
    AdapterKey adapter = State.Backoffs.begin()->second;
    State.Backoffs.erase(State.Backoffs.begin());
    auto *active = State.Adapters.find(adapter);
    if (!active || active->Failures == 0)
      continue;
    State.replan(*active);
    Instant retainUntil = active->NotBefore + FailureRetention;
    if (State.Now < retainUntil) {
      State.Backoffs.insert({retainUntil, adapter});
      continue;
    }
    active->Failures = 0;
    State.Adapters.release(adapter);
  }
}

void OrderPlanner::loadForOperators() {
  auto &pending = OperatorLoads.front();
  auto *replica = State.Replicas.find(pending.Load.Replica);
  auto &active = State.Adapters.obtain(pending.Load.Adapter);
  auto *resident =
      replica ? State.Replicas.resident(*replica, active.Key) : nullptr;
  bool isPresent = resident && (resident->State == ResidentState::Resident ||
                                resident->State == ResidentState::Loading);
  bool isObsolete = !replica || replica->Draining ||
                    !active.isAllowedIn(replica->Properties.Domain) ||
                    State.Now - pending.Since > OperatorLoadTimeout;
  Constraint constraint{0, pending.Load.Replica};
  if (replica && replica->Standby) {
    replica->Standby = false;
    State.replanAll(*replica);
  }
  if (!isPresent && !isObsolete) {
    if (!State.Limiter.canStart(State.Now))
      return;
    if (!findTarget(active, constraint)) {
      if (!isSlotExpected(active, constraint) && State.Now >= NextEvictionAt &&
          !evictFor(active, constraint))
        NextEvictionAt = State.Now + EvictionRetryDelay;
      return;
    }
    load(*replica, active.Key, Reason::Operator);
  }
  AdapterKey adapter = active.Key;
  OperatorLoads.pop_front();
  State.Adapters.release(adapter);
}

void OrderPlanner::loadForDemand() {
  cancelPrefetch();
  std::size_t free = State.freeSlots();
  while (hasDemand() && State.Limiter.canStart(State.Now) && free != 0) {
    bool loaded = false;
    for (AdapterKey it : State.Planner.candidates(State.Adapters, State.Now)) {
      auto &active = *State.Adapters.find(it);
      auto *replica = findTarget(active, {});
      if (!replica)
        continue;
      load(*replica, it, Reason::Demand);
      ++DemandLoadsSincePin;
      --free;
      loaded = true;
      break;
    }
    if (!loaded)
      break;
  }
  makeRoom();
}

void OrderPlanner::makeRoom() {
  if (State.Mode != LeaseMode::Held || State.Now < NextEvictionAt)
    return;
  std::size_t evicting = 0;
  for (const auto &it : State.Orders)
    evicting += !it.IsLoad && State.Now - it.GivenAt <
                                  State.Settings.Placement.EvictionTimeout;
  std::size_t available = State.freeSlots() + evicting;
  auto parallel = State.Limiter.parallel();
  auto free = parallel - std::min(parallel, State.Limiter.running());
  std::size_t wanted = std::min<std::size_t>(
      State.Planner.size(), free + State.Settings.Placement.ExtraFreeSlots);
  // If there are slots for all, only the placement constraints of the first
  // adapter can require one more.
  if (available >= wanted + 2)
    return;
  auto chosen = State.Planner.candidates(State.Adapters, State.Now);
  for (std::size_t it = 0; it < std::min(wanted, chosen.size()); ++it) {
    auto &active = *State.Adapters.find(chosen[it]);
    bool constrained = !active.Domains.empty() || !active.Holders.empty();
    if (it < available && (!constrained || isSlotExpected(active, {})))
      continue;
    if (!evictFor(active, {}))
      NextEvictionAt = State.Now + EvictionRetryDelay;
  }
}

void OrderPlanner::loadForPins() {
  if (State.Now < NextPinLoadAt || !State.Limiter.canStart(State.Now))
    return;
  if (hasDemand() && DemandLoadsSincePin < MaxDemandLoadsPerPin)
    return;
  AdapterKey adapter = *State.PinsToCheck.begin();
  auto *active = State.Adapters.find(adapter);
  const auto *pin = active ? findUnmetPin(*active) : nullptr;
  if (!pin) {
    State.PinsToCheck.erase(adapter);
    return;
  }
  NextPinLoadAt = State.Now + PinRetryDelay;
  if (active->NotBefore > State.Now)
    return;
  Constraint constraint{pin->Domain, 0};
  if (auto *replica = findTarget(*active, constraint)) {
    load(*replica, adapter, Reason::Pin);
    DemandLoadsSincePin = 0;
  } else if (!isSlotExpected(*active, constraint)) {
    evictFor(*active, constraint);
  }
}

void OrderPlanner::prefetch() {
  if (!State.Limiter.canStart(State.Now) || State.freeSlots() == 0)
    return;
  auto best = std::prev(State.PrefetchCandidates.end());
  AdapterKey adapter = best->second;
  State.PrefetchCandidates.erase(best);
  auto &active = State.Adapters.obtain(adapter);
  bool isWorthLoading = State.Demand.count(adapter, State.Now) >=
                        State.Settings.Placement.MinPrefetchCount;
  if (isWorthLoading && active.Holders.empty() &&
      active.NotBefore <= State.Now) {
    if (auto *replica = findTarget(active, {}))
      load(*replica, adapter, Reason::Prefetch);
  }
  State.Adapters.release(adapter);
}

void OrderPlanner::cancelPrefetch() {
  if (State.Planner.firstCopies() == 0 ||
      State.Limiter.running() < State.Limiter.parallel())
    return;
  auto cancelLimit = std::chrono::duration_cast<Span>(
      State.Settings.Placement.CancelFraction *
      std::chrono::duration<double, std::micro>(State.Limiter.expected()));
  for (const auto &it : State.Orders) {
    auto *resident =
        State.Replicas.resident(State.Replicas.obtain(it.Replica), it.Adapter);
    if (!it.IsLoad || resident->Why != Reason::Prefetch ||
        State.Now - it.GivenAt > cancelLimit)
      continue;
    return cancel(OpenOrder(it));
  }
}

void OrderPlanner::cancelUnwanted() {
  auto cancelLimit = std::chrono::duration_cast<Span>(
      State.Settings.Placement.CancelFraction *
      std::chrono::duration<double, std::micro>(State.Limiter.expected()));
  for (std::size_t it = 0; it < State.Orders.size();) {
    OpenOrder open = State.Orders[it];
    auto *active = State.Adapters.find(open.Adapter);
    auto *resident = State.Replicas.resident(
        State.Replicas.obtain(open.Replica), open.Adapter);
    bool unwanted = open.IsLoad && resident->Why == Reason::Demand &&
                    active->Queue.empty() &&
                    State.Now - open.GivenAt <= cancelLimit;
    if (unwanted)
      cancel(open);
    else
      ++it;
  }
}

void OrderPlanner::cancel(const OpenOrder &open) {
  auto &replica = State.Replicas.obtain(open.Replica);
  auto *resident = State.Replicas.resident(replica, open.Adapter);
  State.closeOrder(open.Order);
  State.setUncertain(replica, *resident);
  State.Actions->push_back(
      CancelLoad{open.Replica, open.Adapter, Reason::NobodyWaits});
}

Replica *OrderPlanner::findTarget(const ActiveAdapter &active,
                                  Constraint constraint) {
  // A slot in which the adapter may be resident already is preferred.
  for (ReplicaKey it : active.Holders) {
    auto &replica = State.Replicas.obtain(it);
    auto *resident = State.Replicas.resident(replica, active.Key);
    // An eviction without a result could still remove the adapter.
    bool canBePresent =
        resident->OrderedLoad || State.Now >= resident->SettledAfter;
    if (resident->State == ResidentState::Uncertain && resident->Running == 0 &&
        canBePresent && canTake(replica, active, constraint))
      return &replica;
  }
  Replica *best = nullptr;
  for (auto &it : State.Replicas.all()) {
    if (!it.hasFreeSlot() || State.Replicas.resident(it, active.Key) ||
        !canTake(it, active, constraint))
      continue;
    if (!best || isBetterTarget(it, *best, active))
      best = &it;
  }
  return best;
}

bool OrderPlanner::canTake(Replica &replica, const ActiveAdapter &active,
                           Constraint constraint) {
  if (!State.Chooser.canServe(replica, active) ||
      replica.NoLoadBefore > State.Now)
    return false;
  if (constraint.Replica != 0 && replica.Key != constraint.Replica)
    return false;
  if (constraint.Domain != 0 && replica.Properties.Domain != constraint.Domain)
    return false;
  return !active.Copy || replica.hasRoom();
}

bool OrderPlanner::isBetterTarget(Replica &left, Replica &right,
                                  const ActiveAdapter &active) const {
  if (left.MissedReports != right.MissedReports)
    return left.MissedReports < right.MissedReports;
  if (State.Settings.Placement.SpreadDomains && !active.Holders.empty()) {
    auto leftCopies = countCopiesIn(left.Properties.Domain, active);
    auto rightCopies = countCopiesIn(right.Properties.Domain, active);
    if (leftCopies != rightCopies)
      return leftCopies < rightCopies;
  }
  double leftLoad = State.Chooser.loadOf(left);
  double rightLoad = State.Chooser.loadOf(right);
  if (leftLoad != rightLoad)
    return leftLoad < rightLoad;
  if (left.capacity() != right.capacity())
    return left.capacity() > right.capacity();
  return left.Key < right.Key;
}

std::size_t OrderPlanner::countCopiesIn(DomainKey domain,
                                        const ActiveAdapter &active) const {
  std::size_t n = 0;
  for (ReplicaKey it : active.Holders)
    n += State.Replicas.obtain(it).Properties.Domain == domain ? 1 : 0;
  return n;
}

bool OrderPlanner::isSlotExpected(const ActiveAdapter &active,
                                  Constraint constraint) {
  if (findTarget(active, constraint))
    return true;
  for (const auto &it : State.Orders) {
    auto &replica = State.Replicas.obtain(it.Replica);
    if (!it.IsLoad && canTake(replica, active, constraint) &&
        (it.Adapter == active.Key ||
         !State.Replicas.resident(replica, active.Key)))
      return true;
  }
  return false;
}

void OrderPlanner::load(Replica &replica, AdapterKey adapter, Reason why) {
  auto *resident = State.Replicas.resident(replica, adapter);
  if (!resident)
    resident = &State.Replicas.add(replica, adapter, ResidentState::Loading,
                                   State.Now);
  else
    resident->Overlaps = true;
  resident->Why = why;
  auto order = State.openOrder(replica, *resident, true);
  State.setState(replica, *resident, ResidentState::Loading);
  State.Actions->push_back(Load{replica.Key, adapter, why, order});
}

bool OrderPlanner::evictFor(const ActiveAdapter &active,
                            Constraint constraint) {
  if (State.Mode != LeaseMode::Held)
    return false;
  auto victim =
      State.Eviction.victim(State.Now, [&](const EvictionPolicy::Victim &it) {
        return canEvict(it, active, constraint);
      });
  if (!victim)
    return false;
  auto &replica = State.Replicas.obtain(victim->Replica);
  auto *resident = State.Replicas.resident(replica, victim->Adapter);
  auto order = State.openOrder(replica, *resident, false);
  State.setState(replica, *resident, ResidentState::Evicting);
  State.Actions->push_back(
      Evict{victim->Replica, victim->Adapter, Reason::MakeRoom, order});
  return true;
}

bool OrderPlanner::canEvict(const EvictionPolicy::Victim &victim,
                            const ActiveAdapter &active,
                            Constraint constraint) {
  auto &replica = State.Replicas.obtain(victim.Replica);
  if (victim.Adapter == active.Key || !canTake(replica, active, constraint) ||
      State.Replicas.resident(replica, active.Key))
    return false;
  const auto &resident = *State.Replicas.resident(replica, victim.Adapter);
  if (!State.Eviction.isEvictable(replica, resident, State.Now,
                                  State.OwnerSince))
    return false;
  const auto &other = *State.Adapters.find(victim.Adapter);
  if (!other.Queue.empty() && resident.State == ResidentState::Resident)
    return false;
  return !isPinned(replica, other);
}

bool OrderPlanner::isPinned(const Replica &replica,
                            const ActiveAdapter &active) const {
  for (const auto &pin : active.Pins) {
    bool matches = pin.Domain == 0 || pin.Domain == replica.Properties.Domain;
    if (matches && countCopies(pin, active, false) <= pin.Copies)
      return true;
  }
  return false;
}

const PinTarget *OrderPlanner::findUnmetPin(const ActiveAdapter &active) const {
  for (const auto &pin : active.Pins) {
    if (countCopies(pin, active, true) < pin.Copies)
      return &pin;
  }
  return nullptr;
}

std::uint32_t OrderPlanner::countCopies(const PinTarget &pin,
                                        const ActiveAdapter &active,
                                        bool loading) const {
  std::uint32_t n = 0;
  for (ReplicaKey it : active.Holders) {
    auto &replica = State.Replicas.obtain(it);
    auto state = State.Replicas.resident(replica, active.Key)->State;
    bool counts = state == ResidentState::Resident ||
                  (loading && state == ResidentState::Loading);
    bool matches = pin.Domain == 0 || pin.Domain == replica.Properties.Domain;
    if (counts && matches && State.Chooser.canServe(replica, active))
      ++n;
  }
  return n;
}

void OrderPlanner::onPinChanged(const PinChanged &event) {
  auto &active = State.Adapters.obtain(event.Adapter);
  std::erase_if(active.Pins, [&event](const PinTarget &pin) {
    return pin.Domain == event.Domain;
  });
  if (event.Copies != 0)
    active.Pins.push_back({event.Domain, event.Copies});
  State.PinsToCheck.insert(event.Adapter);
  State.Adapters.release(event.Adapter);
}

void OrderPlanner::onRuleChanged(const RuleChanged &event) {
  auto &active = State.Adapters.obtain(event.Adapter);
  active.Domains = event.Domains;
  std::sort(active.Domains.begin(), active.Domains.end());
  State.replan(active);
  if (!active.Pins.empty())
    State.PinsToCheck.insert(event.Adapter);
  State.Adapters.release(event.Adapter);
}

void OrderPlanner::onOperatorLoad(const OperatorLoad &event) {
  if (OperatorLoads.size() < MaxOperatorLoads)
    OperatorLoads.push_back({event, State.Now});
}

} // namespace hemlockglade
