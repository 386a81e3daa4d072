#include "Hemlockglade/Coordination/Decision/OrderPlanner.h"

#include <algorithm>

namespace hemlockglade {

namespace {

constexpr Span RetryRoom = std::chrono::milliseconds(10);
constexpr Span RetryPin = std::chrono::milliseconds(100);
constexpr Span ForgetFailures = std::chrono::seconds(60);
constexpr Span ForgetWish = std::chrono::seconds(60);
constexpr std::size_t MostWishes = 256;
// A pin's load comes after at most so many for demand.
constexpr std::uint32_t DemandPerPin = 3;

} // namespace

void OrderPlanner::run() {
  endBackoffs();
  if (!Wishes.empty())
    loadForOperators();
  if (!State.PinsToCheck.empty())
    loadForPins();
  if (demandWaits())
    loadForDemand();
  else if (!State.Lost.empty() && State.Queues.size() == 0)
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
    Instant forget = active->NotBefore + ForgetFailures;
    if (State.Now < forget) {
      State.Backoffs.insert({forget, adapter});
      continue;
    }
    active->Failures = 0;
    State.Adapters.release(adapter);
  }
}

void OrderPlanner::loadForOperators() {
  auto &wish = Wishes.front();
  auto *replica = State.Replicas.find(wish.Load.Replica);
  auto &active = State.Adapters.obtain(wish.Load.Adapter);
  auto *resident =
      replica ? State.Replicas.resident(*replica, active.Key) : nullptr;
  bool there = resident && (resident->State == ResidentState::Loaded ||
                            resident->State == ResidentState::Loading);
  bool hopeless = !replica || replica->Draining ||
                  !active.allows(replica->Properties.Domain) ||
                  State.Now - wish.Since > ForgetWish;
  Bounds bounds{0, wish.Load.Replica};
  if (replica && replica->Resting) {
    replica->Resting = false;
    State.replanAll(*replica);
  }
  if (!there && !hopeless) {
    if (!State.Limiter.canStart(State.Now))
      return;
    if (!target(active, bounds)) {
      if (!roomComes(active, bounds) && State.Now >= NoVictimBefore &&
          !evictFor(active, bounds))
        NoVictimBefore = State.Now + RetryRoom;
      return;
    }
    load(*replica, active.Key, Reason::Operator);
  }
  AdapterKey adapter = active.Key;
  Wishes.pop_front();
  State.Adapters.release(adapter);
}

void OrderPlanner::loadForDemand() {
  cancelPrefetch();
  std::size_t free = State.freeSlots();
  while (demandWaits() && State.Limiter.canStart(State.Now) && free != 0) {
    bool loaded = false;
    for (AdapterKey it : State.Planner.candidates(State.Adapters, State.Now)) {
      auto &active = *State.Adapters.find(it);
      auto *replica = target(active, {});
      if (!replica)
        continue;
      load(*replica, it, Reason::Demand);
      ++SincePin;
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
  if (State.Mode != LeaseMode::Held || State.Now < NoVictimBefore)
    return;
  std::size_t leaving = 0;
  for (const auto &it : State.Orders)
    leaving += !it.IsLoad &&
               State.Now - it.GivenAt < State.Settings.Placement.EvictionDue;
  std::size_t have = State.freeSlots() + leaving;
  auto parallel = State.Limiter.parallel();
  auto free = parallel - std::min(parallel, State.Limiter.running());
  std::size_t want = std::min<std::size_t>(
      State.Planner.size(), free + State.Settings.Placement.RoomAhead);
  // With room for all, only bounds of the first one's own can ask for more.
  if (have >= want + 2)
    return;
  auto chosen = State.Planner.candidates(State.Adapters, State.Now);
  for (std::size_t it = 0; it < std::min(want, chosen.size()); ++it) {
    auto &active = *State.Adapters.find(chosen[it]);
    bool bounded = !active.Domains.empty() || !active.Holders.empty();
    if (it < have && (!bounded || roomComes(active, {})))
      continue;
    if (!evictFor(active, {}))
      NoVictimBefore = State.Now + RetryRoom;
  }
}

void OrderPlanner::loadForPins() {
  if (State.Now < NoPinBefore || !State.Limiter.canStart(State.Now))
    return;
  if (demandWaits() && SincePin < DemandPerPin)
    return;
  AdapterKey adapter = *State.PinsToCheck.begin();
  auto *active = State.Adapters.find(adapter);
  const auto *wish = active ? unmetPin(*active) : nullptr;
  if (!wish) {
    State.PinsToCheck.erase(adapter);
    return;
  }
  NoPinBefore = State.Now + RetryPin;
  if (active->NotBefore > State.Now)
    return;
  Bounds bounds{wish->Domain, 0};
  if (auto *replica = target(*active, bounds)) {
    load(*replica, adapter, Reason::Pin);
    SincePin = 0;
  } else if (!roomComes(*active, bounds)) {
    evictFor(*active, bounds);
  }
}

void OrderPlanner::prefetch() {
  if (!State.Limiter.canStart(State.Now) || State.freeSlots() == 0)
    return;
  auto best = std::prev(State.Lost.end());
  AdapterKey adapter = best->second;
  State.Lost.erase(best);
  auto &active = State.Adapters.obtain(adapter);
  bool worth = State.Demand.count(adapter, State.Now) >=
               State.Settings.Placement.PrefetchFrom;
  if (worth && active.Holders.empty() && active.NotBefore <= State.Now) {
    if (auto *replica = target(active, {}))
      load(*replica, adapter, Reason::Prefetch);
  }
  State.Adapters.release(adapter);
}

void OrderPlanner::cancelPrefetch() {
  if (State.Planner.firsts() == 0 ||
      State.Limiter.running() < State.Limiter.parallel())
    return;
  auto within = std::chrono::duration_cast<Span>(
      State.Settings.Placement.CancelWithin *
      std::chrono::duration<double, std::micro>(State.Limiter.expected()));
  for (const auto &it : State.Orders) {
    auto *resident =
        State.Replicas.resident(State.Replicas.obtain(it.Replica), it.Adapter);
    if (!it.IsLoad || resident->Why != Reason::Prefetch ||
        State.Now - it.GivenAt > within)
      continue;
    return cancel(OpenOrder(it));
  }
}

void OrderPlanner::cancelUnwanted() {
  auto within = std::chrono::duration_cast<Span>(
      State.Settings.Placement.CancelWithin *
      std::chrono::duration<double, std::micro>(State.Limiter.expected()));
  for (std::size_t it = 0; it < State.Orders.size();) {
    OpenOrder open = State.Orders[it];
    auto *active = State.Adapters.find(open.Adapter);
    auto *resident = State.Replicas.resident(
        State.Replicas.obtain(open.Replica), open.Adapter);
    bool unwanted = open.IsLoad && resident->Why == Reason::Demand &&
                    active->Queue.empty() && State.Now - open.GivenAt <= within;
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
  State.Out->push_back(
      CancelLoad{open.Replica, open.Adapter, Reason::NobodyWaits});
}

Replica *OrderPlanner::target(const ActiveAdapter &active, Bounds bounds) {
  // A slot where the adapter may be already is the first to be tried.
  for (ReplicaKey it : active.Holders) {
    auto &replica = State.Replicas.obtain(it);
    auto *resident = State.Replicas.resident(replica, active.Key);
    // An eviction without a result could still take it away again.
    bool canCome = resident->OrderedLoad || State.Now >= resident->SettledAfter;
    if (resident->State == ResidentState::Uncertain && resident->Running == 0 &&
        canCome && mayTake(replica, active, bounds))
      return &replica;
  }
  Replica *best = nullptr;
  for (auto &it : State.Replicas.all()) {
    if (!it.hasFreeSlot() || State.Replicas.resident(it, active.Key) ||
        !mayTake(it, active, bounds))
      continue;
    if (!best || betterTarget(it, *best, active))
      best = &it;
  }
  return best;
}

bool OrderPlanner::mayTake(Replica &replica, const ActiveAdapter &active,
                           Bounds bounds) {
  if (!State.Chooser.serves(replica, active) ||
      replica.NoLoadBefore > State.Now)
    return false;
  if (bounds.Replica != 0 && replica.Key != bounds.Replica)
    return false;
  if (bounds.Domain != 0 && replica.Properties.Domain != bounds.Domain)
    return false;
  return !active.Copy || replica.hasRoom();
}

bool OrderPlanner::betterTarget(Replica &left, Replica &right,
                                const ActiveAdapter &active) const {
  if (left.Silent != right.Silent)
    return left.Silent < right.Silent;
  if (State.Settings.Placement.SpreadDomains && !active.Holders.empty()) {
    auto leftCopies = copiesIn(left.Properties.Domain, active);
    auto rightCopies = copiesIn(right.Properties.Domain, active);
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

std::size_t OrderPlanner::copiesIn(DomainKey domain,
                                   const ActiveAdapter &active) const {
  std::size_t n = 0;
  for (ReplicaKey it : active.Holders)
    n += State.Replicas.obtain(it).Properties.Domain == domain ? 1 : 0;
  return n;
}

bool OrderPlanner::roomComes(const ActiveAdapter &active, Bounds bounds) {
  if (target(active, bounds))
    return true;
  for (const auto &it : State.Orders) {
    auto &replica = State.Replicas.obtain(it.Replica);
    if (!it.IsLoad && mayTake(replica, active, bounds) &&
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
  State.Out->push_back(Load{replica.Key, adapter, why, order});
}

bool OrderPlanner::evictFor(const ActiveAdapter &active, Bounds bounds) {
  if (State.Mode != LeaseMode::Held)
    return false;
  auto victim =
      State.Eviction.victim(State.Now, [&](const EvictionPolicy::Victim &it) {
        return mayEvict(it, active, bounds);
      });
  if (!victim)
    return false;
  auto &replica = State.Replicas.obtain(victim->Replica);
  auto *resident = State.Replicas.resident(replica, victim->Adapter);
  auto order = State.openOrder(replica, *resident, false);
  State.setState(replica, *resident, ResidentState::Evicting);
  State.Out->push_back(
      Evict{victim->Replica, victim->Adapter, Reason::MakeRoom, order});
  return true;
}

bool OrderPlanner::mayEvict(const EvictionPolicy::Victim &victim,
                            const ActiveAdapter &active, Bounds bounds) {
  auto &replica = State.Replicas.obtain(victim.Replica);
  if (victim.Adapter == active.Key || !mayTake(replica, active, bounds) ||
      State.Replicas.resident(replica, active.Key))
    return false;
  const auto &resident = *State.Replicas.resident(replica, victim.Adapter);
  if (!State.Eviction.mayGo(replica, resident, State.Now, State.OwnerSince))
    return false;
  const auto &other = *State.Adapters.find(victim.Adapter);
  if (!other.Queue.empty() && resident.State == ResidentState::Loaded)
    return false;
  return !isPinned(replica, other);
}

bool OrderPlanner::isPinned(const Replica &replica,
                            const ActiveAdapter &active) const {
  for (const auto &pin : active.Pins) {
    bool here = pin.Domain == 0 || pin.Domain == replica.Properties.Domain;
    if (here && copiesFor(pin, active, false) <= pin.Copies)
      return true;
  }
  return false;
}

const PinWish *OrderPlanner::unmetPin(const ActiveAdapter &active) const {
  for (const auto &pin : active.Pins) {
    if (copiesFor(pin, active, true) < pin.Copies)
      return &pin;
  }
  return nullptr;
}

std::uint32_t OrderPlanner::copiesFor(const PinWish &pin,
                                      const ActiveAdapter &active,
                                      bool loading) const {
  std::uint32_t n = 0;
  for (ReplicaKey it : active.Holders) {
    auto &replica = State.Replicas.obtain(it);
    auto state = State.Replicas.resident(replica, active.Key)->State;
    bool counts = state == ResidentState::Loaded ||
                  (loading && state == ResidentState::Loading);
    bool here = pin.Domain == 0 || pin.Domain == replica.Properties.Domain;
    if (counts && here && State.Chooser.serves(replica, active))
      ++n;
  }
  return n;
}

void OrderPlanner::pinChanged(const PinChanged &event) {
  auto &active = State.Adapters.obtain(event.Adapter);
  std::erase_if(active.Pins, [&event](const PinWish &pin) {
    return pin.Domain == event.Domain;
  });
  if (event.Copies != 0)
    active.Pins.push_back({event.Domain, event.Copies});
  State.PinsToCheck.insert(event.Adapter);
  State.Adapters.release(event.Adapter);
}

void OrderPlanner::ruleChanged(const RuleChanged &event) {
  auto &active = State.Adapters.obtain(event.Adapter);
  active.Domains = event.Domains;
  std::sort(active.Domains.begin(), active.Domains.end());
  State.replan(active);
  if (!active.Pins.empty())
    State.PinsToCheck.insert(event.Adapter);
  State.Adapters.release(event.Adapter);
}

void OrderPlanner::operatorLoad(const OperatorLoad &event) {
  if (Wishes.size() < MostWishes)
    Wishes.push_back({event, State.Now});
}

} // namespace hemlockglade
