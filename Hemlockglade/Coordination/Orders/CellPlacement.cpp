#include "Hemlockglade/Coordination/Orders/CellPlacement.h"

#include <algorithm>
#include <cmath>

namespace hemlockglade {

namespace {

/// Half-life of the count of waiting requests, each of which its node reports
/// every 200 ms: the count then stays near their number.
constexpr Span WaitingHalfLife = std::chrono::milliseconds(140);

/// Returns what is left of a weight that halves in each half-life.
double decayed(double weight, Span age, Span halfLife) {
  return weight * std::exp2(-inSeconds(age) / inSeconds(halfLife));
}

/// Sets a due time to `at`, unless it is due earlier.
void bringForward(std::optional<Instant> &due, Instant at) {
  due = std::min(due.value_or(at), at);
}

/// Returns the rate of requests that keeps a decaying count at a weight.
double rateOfWeight(double weight, Span halfLife) {
  constexpr double Ln2 = 0.6931471805599453;
  return weight * Ln2 / inSeconds(halfLife);
}

} // namespace

void CellPlacement::setReplicas(const std::vector<ReplicaPtr> &replicas,
                                const std::shared_ptr<const RoutePlan> &plan,
                                Instant now) {
  std::map<std::string, ReplicaState> kept;
  double rate = 0;
  for (const auto &record : replicas) {
    const auto *service = plan ? plan->service(record->Service) : nullptr;
    if (!service || !service->Engine)
      continue;
    auto it = Replicas.find(record->Incarnation.text());
    bool isNew = it == Replicas.end();
    auto &state = kept[record->Incarnation.text()];
    if (!isNew)
      state = std::move(it->second);
    state.Record = record;
    state.Plan = plan;
    state.Engine = &*service->Engine;
    rate = std::max(rate, state.Engine->LoadsPerSecond);
    if (isNew) {
      // A heartbeat does not contain how many orders the engine has accepted.
      applyHoldings(state, record->Held, {}, 0, now);
      state.ReportDue = now;
    }
  }
  if (kept.size() != Replicas.size())
    markChanged();
  Replicas = std::move(kept);
  AdapterLoads.setRate(rate);
}

Span CellPlacement::ReplicaState::modelLoadTime(const ModelSpec &model) const {
  if (Local.InMemory.contains(model.Name))
    return model.LoadTimeFromMemory;
  if (Local.OnDisk.contains(model.Name))
    return model.LoadTimeFromDisk;
  return model.LoadTime;
}

void CellPlacement::forget() {
  for (auto &[id, state] : Replicas) {
    state.OrderPending = false;
    state.ReportPending = false;
    state.ReportDue = Instant{};
  }
}

void CellPlacement::applyHoldings(ReplicaState &state, const HeldWeights &held,
                                  const HeldWeights &pending,
                                  std::uint64_t count, Instant now) {
  Residency next;
  for (const auto &[weights, version] : held) {
    auto it = state.Held.find(weights);
    bool same = it != state.Held.end() && it->second.Version == version;
    next[weights] = same ? it->second : ResidentWeights{version, now, false};
    next[weights].ReadyAt = std::min(next[weights].ReadyAt, now);
  }
  for (const auto &[weights, version] : pending) {
    auto it = state.Held.find(weights);
    if (it != state.Held.end() && it->second.ReadyAt > now)
      next[weights] = it->second;
    else
      next[weights] = {version, now + Options.AdapterLoadTime, false};
  }
  state.OrderCount = count;
  if (next != state.Held)
    markChanged();
  state.Held = std::move(next);
}

void CellPlacement::setVersion(const WeightsRef &weights,
                               std::uint64_t version) {
  auto &known = Versions[weights];
  known = std::max(known, version);
  CopiesValid = false;
}

bool CellPlacement::isCurrent(const WeightsRef &weights,
                              std::uint64_t version) const {
  auto it = Versions.find(weights);
  // Base models are replaced in place, one after the other; an older version
  // serves until then.
  return weights.Adapter.empty() || it == Versions.end() ||
         version >= it->second;
}

double CellPlacement::rate(const Demand &demand, Instant now) const {
  auto age = now - demand.UpdatedAt;
  double slow =
      rateOfWeight(decayed(demand.Weight, age, Options.DemandHalfLife),
                   Options.DemandHalfLife);
  if (Options.FastHalfLife <= Span(0))
    return slow;
  double fast = decayed(demand.FastWeight, age, Options.FastHalfLife);
  bool isReliable = fast >= Options.MinFastWeight;
  return isReliable ? std::max(slow, rateOfWeight(fast, Options.FastHalfLife))
                    : slow;
}

double CellPlacement::rateOf(const DemandKey &key, Instant now) const {
  auto it = Demands.find(key);
  return it == Demands.end() ? 0 : rate(it->second, now);
}

void CellPlacement::onDemand(const std::string &service,
                             const WeightsRef &weights, double requests,
                             Instant now) {
  auto &demand = Demands[{service, weights}];
  auto age = now - demand.UpdatedAt;
  demand.Weight =
      decayed(demand.Weight, age, Options.DemandHalfLife) + requests;
  if (Options.FastHalfLife > Span(0))
    demand.FastWeight =
        decayed(demand.FastWeight, age, Options.FastHalfLife) + requests;
  demand.UpdatedAt = now;
  demand.LastRequestAt = now;
}

double CellPlacement::waitingCount(const Demand &demand, Instant now) {
  return decayed(demand.WaitingWeight, now - demand.WaitingUpdatedAt,
                 WaitingHalfLife);
}

void CellPlacement::addWaiting(Demand &demand, std::uint32_t requests,
                               Instant now) {
  demand.WaitingWeight = waitingCount(demand, now) + requests;
  demand.WaitingUpdatedAt = now;
}

void CellPlacement::onWaiting(const std::string &service,
                              const WeightsRef &weights, Instant now,
                              std::uint32_t requests, std::uint32_t unusable) {
  auto &demand = Demands[{service, weights}];
  addWaiting(demand, requests, now);
  bool isStale = now - demand.UnusableAt > Options.WaitReportTimeout;
  if (unusable && (isStale || unusable >= demand.Unusable)) {
    demand.Unusable = unusable;
    demand.UnusableAt = now;
  }
  if (!demand.WaitingSince)
    demand.WaitingSince = now;
  demand.LastWaitReportAt = now;
  Waiting.insert({service, weights});
  demand.LastRequestAt = now;
}

void CellPlacement::onCongested(const std::string &service,
                                const WeightsRef &weights, Instant now,
                                std::uint32_t requests) {
  auto &demand = Demands[{service, weights}];
  demand.CongestedAt = now;
  addWaiting(demand, requests, now);
  if (Options.RankLoads && !weights.Adapter.empty())
    InDemand.insert({service, weights});
}

void CellPlacement::onUse(const std::string &replica, const WeightsRef &weights,
                          std::int32_t change) {
  auto [it, isNew] = Uses.try_emplace({replica, weights}, 0);
  it->second += change;
  if (it->second <= 0)
    Uses.erase(it);
}

void CellPlacement::setRunning(const std::string &replica,
                               std::uint32_t running) {
  auto it = Replicas.find(replica);
  if (it != Replicas.end())
    it->second.Running = running;
}

void CellPlacement::setLimited(const std::set<std::string> &replicas) {
  std::set<std::string_view> openServices;
  for (const auto &[id, state] : Replicas)
    if (!replicas.contains(id))
      openServices.insert(state.Record->Service);
  for (auto &[id, state] : Replicas)
    state.Limited =
        replicas.contains(id) && openServices.contains(state.Record->Service);
  CopiesValid = false;
}

void CellPlacement::setPaused(const std::set<std::string> &replicas) {
  for (auto &[id, state] : Replicas)
    state.Paused = replicas.contains(id);
}

void CellPlacement::recordLate(const ResidentWeights &held, Instant now) {
  // Only a load that was due recently shows the weight store's speed; weights
  // that were due long ago have been dropped or lost.
  constexpr auto MaxLateness = std::chrono::milliseconds(150);
  if (now - held.ReadyAt < MaxLateness)
    AdapterLoads.onLate(now);
}

void CellPlacement::onRefusedEarly(const std::string &replica,
                                   const WeightsRef &weights, Instant now) {
  constexpr auto RetryDelay = std::chrono::milliseconds(60);
  auto it = Replicas.find(replica);
  if (it == Replicas.end())
    return;
  auto held = it->second.Held.find(weights);
  if (held == it->second.Held.end())
    return;
  recordLate(held->second, now);
  held->second.ReadyAt = std::max(held->second.ReadyAt, now + RetryDelay);
  markChanged();
}

void CellPlacement::onMissing(const std::string &replica,
                              const WeightsRef &weights, Instant now) {
  auto it = Replicas.find(replica);
  if (it == Replicas.end())
    return;
  auto held = it->second.Held.find(weights);
  if (held == it->second.Held.end())
    return;
  recordLate(held->second, now);
  it->second.ReportDue = now;
}

const Residency &CellPlacement::residency(const std::string &replica) const {
  static const Residency None;
  auto it = Replicas.find(replica);
  return it == Replicas.end() ? None : it->second.Held;
}

std::vector<std::string> CellPlacement::replicas() const {
  std::vector<std::string> out;
  for (const auto &[id, state] : Replicas)
    out.push_back(id);
  return out;
}

std::size_t CellPlacement::adapterCount(const ReplicaState &state) const {
  std::size_t n = 0;
  for (const auto &[weights, held] : state.Held)
    n += weights.Adapter.empty() ? 0 : 1;
  return n;
}

std::size_t CellPlacement::loadingCount(const ReplicaState &state,
                                        Instant now) const {
  std::size_t n =
      state.PendingAdapter && !state.Held.contains(*state.PendingAdapter) ? 1
                                                                          : 0;
  for (const auto &[weights, held] : state.Held)
    n += !weights.Adapter.empty() && held.ReadyAt > now ? 1 : 0;
  return n;
}

std::size_t CellPlacement::loadingCount(Instant now) const {
  std::size_t n = 0;
  for (const auto &[id, state] : Replicas)
    n += loadingCount(state, now);
  return n;
}

bool CellPlacement::canLoad(Instant now) {
  if (loadingCount(now) + LoadingElsewhere < AdapterLoads.limit())
    return true;
  AdapterLoads.onLoadDelayed(now);
  LoadDelayedAt = now;
  return false;
}

bool CellPlacement::canOrder(const ReplicaState &state, Instant now) const {
  return !state.Replaced && !state.Paused && !state.OrderPending &&
         !state.ReportPending && !state.ReportDue &&
         state.ModelLoadUntil <= now && state.BackoffUntil <= now;
}

void CellPlacement::countCopies() {
  CopiesValid = true;
  Copies.clear();
  for (const auto &[id, state] : Replicas) {
    if (state.Replaced || state.Limited)
      continue;
    for (const auto &[weights, held] : state.Held)
      if (!held.Evicting && isCurrent(weights, held.Version))
        countCopy(state, weights, held.ReadyAt);
    if (state.PendingAdapter && !state.Held.contains(*state.PendingAdapter))
      countCopy(state, *state.PendingAdapter, Instant::max());
  }
}

void CellPlacement::countCopy(const ReplicaState &state,
                              const WeightsRef &weights, Instant readyAt) {
  auto &copies = Copies[{state.Record->Service, weights}];
  ++copies.All;
  if (readyAt > PlannedAt)
    copies.LoadingUntil.push_back(readyAt);
}

std::size_t CellPlacement::CopyCount::loading(Instant now) const {
  return static_cast<std::size_t>(
      std::count_if(LoadingUntil.begin(), LoadingUntil.end(),
                    [now](const auto &it) { return it > now; }));
}

const CellPlacement::CopyCount &CellPlacement::copiesOf(const DemandKey &key) {
  static const CopyCount None;
  if (!CopiesValid)
    countCopies();
  auto it = Copies.find(key);
  return it == Copies.end() ? None : it->second;
}

Span CellPlacement::loadTime(const ReplicaState &state,
                             const WeightsRef &weights, Instant now) const {
  bool isReload =
      std::find(state.RecentlyDropped.begin(), state.RecentlyDropped.end(),
                weights) != state.RecentlyDropped.end();
  // Loads beyond the number that the store serves at full speed share that
  // speed.
  double share = std::max(
      1.0, static_cast<double>(loadingCount(now) + LoadingElsewhere + 1) /
               static_cast<double>(AdapterLoads.limit()));
  double us = static_cast<double>(Options.AdapterLoadTime.count());
  us *= isReload ? Options.ReloadTimeShare : share;
  constexpr double SlackUs = 12'000;
  return Span(static_cast<std::int64_t>(us + SlackUs));
}

std::size_t CellPlacement::usableCopyCount(const DemandKey &key,
                                           const Demand &demand, Instant now) {
  const auto &copies = copiesOf(key);
  auto n = copies.All;
  bool isKnown = now - demand.UnusableAt <= Options.WaitReportTimeout;
  auto usable = n - std::min<std::size_t>(n, isKnown ? demand.Unusable : 0);
  return std::max(usable, copies.loading(now));
}

bool CellPlacement::isServed(const DemandKey &key, const Demand &demand,
                             Instant now) {
  return key.second.Adapter.empty() || usableCopyCount(key, demand, now) > 0;
}

void CellPlacement::rememberDropped(ReplicaState &state,
                                    const WeightsRef &weights) {
  state.RecentlyDropped.remove(weights);
  state.RecentlyDropped.push_front(weights);
  if (state.RecentlyDropped.size() > Options.MaxRecentlyDropped)
    state.RecentlyDropped.pop_back();
}

void CellPlacement::backOff(ReplicaState &state, Instant now) {
  constexpr std::uint32_t MaxDoublings = 10;
  auto doublings = std::min(state.UnansweredCount++, MaxDoublings);
  state.BackoffUntil =
      now +
      std::min(Options.MaxBackoff, Options.InitialBackoff * (1 << doublings));
}

void CellPlacement::onOrderAnswer(const std::string &replica,
                                  const EngineOrder &order, OrderAnswer answer,
                                  Instant now) {
  auto it = Replicas.find(replica);
  if (it == Replicas.end())
    return;
  auto &state = it->second;
  state.OrderPending = false;
  markChanged();
  bool isModel = order.Weights.Adapter.empty();
  bool load = order.Kind == OrderKind::Load;
  if (answer == OrderAnswer::Unknown)
    backOff(state, now);
  else
    state.UnansweredCount = 0;
  bool madeRoom = !load && answer == OrderAnswer::Holds;
  if (!madeRoom)
    state.PendingAdapter.reset();
  CopiesValid = false;
  switch (answer) {
  case OrderAnswer::Accepted:
  case OrderAnswer::Holds:
    if (load) {
      bool holds = answer == OrderAnswer::Holds;
      Span loadDuration = holds ? Span(0) : loadTime(state, order.Weights, now);
      if (isModel && !holds) {
        // The load time in the plan is valid for a single load from the store;
        // the engine's own report shows when the load has ended.
        const auto *model = state.Engine->model(order.Weights.Model);
        loadDuration = model ? state.modelLoadTime(*model) : Span(0);
        state.FromStore = !state.hasLocalCopy(order.Weights.Model);
        state.ModelLoadUntil = now + loadDuration;
        bringForward(state.ReportDue,
                     now + (state.FromStore ? loadDuration / 4 : loadDuration));
      }
      state.Held[order.Weights] = {order.Version, now + loadDuration, false};
      state.OrderCount += holds ? 0 : 1;
    } else {
      rememberDropped(state, order.Weights);
      if (answer == OrderAnswer::Holds) {
        state.Held.erase(order.Weights);
        state.OrderCount += 1;
      } else {
        // The engine drops it once its requests have ended.
        state.OrderCount += 1;
        bringForward(state.EvictionCheckDue, now + Options.RecheckDelay);
      }
    }
    return;
  case OrderAnswer::Conflict:
  case OrderAnswer::Rejected:
  case OrderAnswer::Fenced:
  case OrderAnswer::Withheld:
  case OrderAnswer::Unknown:
    if (!load && state.Held.contains(order.Weights))
      state.Held[order.Weights].Evicting = false;
    // An order without an answer may be carried out at any time, but not after
    // another one that expects the same count: the next order settles which of
    // the two is carried out, so nothing has to wait.
    if (answer != OrderAnswer::Unknown)
      state.ReportDue = now;
    return;
  case OrderAnswer::OtherIncarnation:
    state.Replaced = true;
    return;
  }
}

bool CellPlacement::isOwnIncarnation(ReplicaState &state,
                                     const HoldingsReport &report,
                                     Instant now) const {
  auto expected = state.Record->Incarnation.startedAtMs();
  auto reported = report.StartedAtMs;
  if (!expected || !reported || expected == reported)
    return true;
  // A later incarnation is in the registry within a heartbeat; until then
  // nothing is ordered for this one. A report of an earlier one was still in
  // transit.
  if (reported > expected)
    state.Replaced = true;
  else
    state.ReportDue = now + Options.RecheckDelay;
  return false;
}

void CellPlacement::onReport(const std::string &replica,
                             const std::optional<HoldingsReport> &report,
                             Instant now) {
  auto it = Replicas.find(replica);
  if (it == Replicas.end())
    return;
  auto &state = it->second;
  state.ReportPending = false;
  if (!report) {
    backOff(state, now);
    state.ReportDue = state.BackoffUntil;
    // That report also shows which evicting adapters have been dropped.
    state.EvictionCheckDue.reset();
    return;
  }
  state.UnansweredCount = 0;
  if (!isOwnIncarnation(state, *report, now))
    return;
  state.Local = report->Local;
  state.ReportDue.reset();
  state.EvictionCheckDue.reset();
  Residency before = state.Held;
  applyHoldings(state, report->Held, report->Pending, report->OrderCount, now);
  if (report->Busy) {
    state.ReportDue = now + Options.RecheckDelay;
    return;
  }
  state.ModelLoadUntil = std::min(state.ModelLoadUntil, now);
  for (const auto &[weights, held] : before) {
    bool stillEvicting = held.Evicting && state.Held.contains(weights);
    if (!stillEvicting)
      continue;
    state.Held[weights].Evicting = true;
    state.EvictionCheckDue = now + Options.RecheckDelay;
  }
}

} // namespace hemlockglade
