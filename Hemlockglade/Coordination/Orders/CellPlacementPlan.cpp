// Planning half of `CellPlacement`: which orders are sent, and for which
// reason.

#include "Hemlockglade/Coordination/Orders/CellPlacement.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace hemlockglade {

namespace {

/// Demand below this is discarded: one request some 60 s ago.
constexpr double MinDemand = 0.005;
/// Maximum number of copies for demand alone that are ordered in one round.
constexpr int MaxCopiesPerRound = 3;

/// Minimum rate of base model loads that a plan is taken to allow, in loads a
/// second.
constexpr double MinRate = 0.1;

std::uint64_t hashOf(std::string_view a, std::string_view b) {
  return std::hash<std::string_view>{}(a)*31 + std::hash<std::string_view>{}(b);
}

} // namespace

std::vector<PlacementAction> CellPlacement::plan(bool mayOrder, Instant now) {
  std::vector<PlacementAction> actions;
  PlannedAt = now;
  // The previous owner may have ordered just before its right ended.
  if (mayOrder && !MayOrder)
    NextModelLoad = std::max(NextModelLoad, now + Options.NewOwnerModelDelay);
  MayOrder = mayOrder;
  if (!mayOrder)
    return actions;
  for (auto &[id, state] : Replicas) {
    bool isDue = (state.ReportDue && *state.ReportDue <= now) ||
                 (state.EvictionCheckDue && *state.EvictionCheckDue <= now);
    if (state.ReportPending || state.OrderPending || state.Paused || !isDue)
      continue;
    state.ReportPending = true;
    actions.push_back(
        {PlacementAction::Kind::Report, id, {}, "books in doubt"});
  }
  planModels(actions, now);
  planAdapters(actions, now);
  return actions;
}

bool CellPlacement::hasAllModels(const ReplicaState &state) {
  const auto &models = state.Engine->Models;
  return std::all_of(models.begin(), models.end(), [&](const auto &it) {
    return state.Held.contains({it.Name, {}});
  });
}

std::size_t CellPlacement::storeLoadCount(Instant now) const {
  auto n =
      std::count_if(Replicas.begin(), Replicas.end(), [now](const auto &it) {
        return it.second.FromStore && it.second.ModelLoadUntil > now;
      });
  return static_cast<std::size_t>(n) + ModelsElsewhere;
}

const ModelSpec *CellPlacement::missingModel(const ReplicaState &state,
                                             Instant now) {
  double used = 0;
  for (const auto &[weights, held] : state.Held)
    if (const auto *model = state.Engine->model(weights.Model))
      used += weights.Adapter.empty() ? model->WeightsMb : model->AdapterMb;
  const ModelSpec *best = nullptr;
  double highestNeed = -1;
  for (const auto &model : state.Engine->Models) {
    WeightsRef weights{model.Name, {}};
    if (state.Held.contains(weights) ||
        used + model.WeightsMb > state.Engine->WeightsMb)
      continue;
    DemandKey key{state.Record->Service, weights};
    auto n = copyCount(key);
    double need = (rateOf(key, now) + MinDemand) / (1.0 + double(n));
    if (need > highestNeed) {
      highestNeed = need;
      best = &model;
    }
  }
  return best;
}

void CellPlacement::planModels(std::vector<PlacementAction> &actions,
                               Instant now) {
  std::vector<std::pair<ReplicaState *, const ModelSpec *>> missing;
  for (auto &[id, state] : Replicas) {
    if (hasAllModels(state) || !canOrder(state, now))
      continue;
    const auto *model = missingModel(state, now);
    if (!model)
      continue;
    // A copy on the engine's own host costs the weight store nothing: such
    // loads need not wait for each other. Engines that restart together serve
    // again after 2 s, not one after the other.
    if (state.hasLocalCopy(model->Name))
      addOrder(state, OrderKind::Load, {model->Name, {}}, "model missing",
               actions);
    else
      missing.emplace_back(&state, model);
  }
  auto rate = MinRate;
  for (const auto &[state, model] : missing)
    rate = std::max(rate, state->Engine->LoadsPerSecond);
  if (missing.empty() || !canLoadFromStore(rate, now))
    return;
  auto &[state, model] = missing.front();
  addOrder(*state, OrderKind::Load, {model->Name, {}}, "model missing",
           actions);
  NextModelLoad = now + spanOf(Options.CellCount / rate);
  StoreFreeSince.reset();
}

bool CellPlacement::canLoadFromStore(double rate, Instant now) {
  auto maxLoads = std::max(1.0, std::floor(Options.ModelLoadsPerRate * rate));
  auto fromStore = static_cast<double>(storeLoadCount(now));
  if (now < NextModelLoad || fromStore >= maxLoads) {
    StoreFreeSince.reset();
    return false;
  }
  if (!StoreFreeSince)
    StoreFreeSince = now;
  auto delay =
      std::min(Options.LoadReportDelay, spanOf(1 / rate)) * Options.CellIndex;
  return now >= *StoreFreeSince + delay;
}

void CellPlacement::planAdapters(std::vector<PlacementAction> &actions,
                                 Instant now) {
  for (auto &[id, state] : Replicas) {
    if (!state.PendingAdapter || !canOrder(state, now))
      continue;
    if (adapterCount(state) < state.Engine->AdapterSlots)
      addOrder(state, OrderKind::Load, *state.PendingAdapter,
               state.PendingReason, actions);
    else
      state.PendingAdapter.reset();
  }
  updateWaiting(now);
  bool scanDue = now >= NextDemandScan;
  if (scanDue) {
    NextDemandScan = now + Options.DemandScanInterval;
    std::erase_if(Demands, [&](const auto &it) {
      return !it.second.WaitingSince && rate(it.second, now) < MinDemand;
    });
  }
  if (Options.RankLoads && areLoadsScarce(now)) {
    if (scanDue)
      findInDemand(now);
    return planRanked(actions, now);
  }
  planWaiting(actions, now);
  if (scanDue)
    planCopies(actions, now);
}

void CellPlacement::updateWaiting(Instant now) {
  for (auto it = Waiting.begin(); it != Waiting.end();) {
    auto &demand = Demands[*it];
    bool timedOut = now - demand.LastWaitReportAt > Options.WaitReportTimeout;
    if (!timedOut && !isServed(*it, demand, now)) {
      ++it;
      continue;
    }
    demand.WaitingSince.reset();
    it = Waiting.erase(it);
  }
}

void CellPlacement::findInDemand(Instant now) {
  InDemand.clear();
  for (const auto &[key, demand] : Demands)
    if (!key.second.Adapter.empty() &&
        rate(demand, now) >= Options.MinRateForCopy)
      InDemand.insert(key);
}

LoadCandidate CellPlacement::candidateOf(const DemandKey &key, Instant now) {
  LoadCandidate out;
  auto it = Demands.find(key);
  if (it == Demands.end())
    return out;
  const auto &demand = it->second;
  out.Rate = rate(demand, now);
  out.Copies = usableCopyCount(key, demand, now);
  out.Loading = copiesOf(key).loading(now);
  // A short congestion, or a false report of one, must not put an adapter in
  // low demand on all engines.
  bool isCongested =
      now - demand.CongestedAt < Options.CongestedFor &&
      out.Rate > Options.CongestedRatePerCopy * static_cast<double>(out.Copies);
  out.Waiting =
      demand.WaitingSince || isCongested ? waitingCount(demand, now) : 0;
  if (demand.WaitingSince)
    out.WaitedFor = now - *demand.WaitingSince;
  return out;
}

void CellPlacement::planRanked(std::vector<PlacementAction> &actions,
                               Instant now) {
  std::vector<DemandKey> keys;
  std::set_union(Waiting.begin(), Waiting.end(), InDemand.begin(),
                 InDemand.end(), std::back_inserter(keys));
  std::vector<LoadCandidate> candidates;
  candidates.reserve(keys.size());
  for (const auto &key : keys)
    candidates.push_back(candidateOf(key, now));
  constexpr double UnlimitedValue = 1e9;
  for (const auto &it : Ranking.order(candidates)) {
    if (!canLoad(now))
      return;
    const auto &candidate = candidates[it.Index];
    bool isFirst = candidate.Copies == 0 && candidate.WaitedFor > Span(0);
    auto reason = it.IsOldest ? "oldest wait"
                  : isFirst   ? "requests wait"
                              : "demand";
    // A further copy must be worth more than what it displaces; what requests
    // wait for may displace anything that is not in use.
    double share = candidate.Rate / static_cast<double>(candidate.Copies + 1);
    double limit = isFirst ? UnlimitedValue : share / Options.MinGainOverVictim;
    if (placeAdapter(keys[it.Index], limit, reason, actions, now))
      Ranking.onLoad(it);
  }
}

void CellPlacement::planWaiting(std::vector<PlacementAction> &actions,
                                Instant now) {
  // Only a few loads a second are possible: those in highest demand come first,
  // and others as their wait grows.
  std::vector<std::pair<double, DemandKey>> waitingKeys;
  for (const auto &key : Waiting) {
    const auto &demand = Demands[key];
    double age = inSeconds(now - demand.WaitingSince.value_or(now));
    waitingKeys.emplace_back(rate(demand, now) + Options.WaitWeight * age, key);
  }
  std::sort(waitingKeys.rbegin(), waitingKeys.rend());
  constexpr double UnlimitedValue = 1e9;
  for (const auto &[need, key] : waitingKeys) {
    if (!canLoad(now))
      return;
    placeAdapter(key, UnlimitedValue, "requests wait", actions, now);
  }
}

void CellPlacement::planCopies(std::vector<PlacementAction> &actions,
                               Instant now) {
  std::vector<std::pair<double, DemandKey>> candidates;
  for (const auto &[key, demand] : Demands) {
    if (key.second.Adapter.empty() || demand.WaitingSince)
      continue;
    double rateNow = rate(demand, now);
    bool isCongested = now - demand.CongestedAt < Options.CongestedFor;
    if (isCongested)
      rateNow = std::max(rateNow, Options.MinRateForCopy);
    if (rateNow < Options.MinRateForCopy)
      continue;
    auto n = static_cast<double>(copyCount(key));
    auto perCopy =
        isCongested ? Options.CongestedRatePerCopy : Options.MaxRatePerCopy;
    if (n == 0 || rateNow > perCopy * n)
      candidates.emplace_back(rateNow / (n + 1), key);
  }
  // Highest gain first.
  std::sort(candidates.rbegin(), candidates.rend());
  int remaining = MaxCopiesPerRound;
  for (const auto &[value, key] : candidates) {
    if (remaining == 0 || !canLoad(now))
      return;
    if (placeAdapter(key, value / Options.MinGainOverVictim, "demand", actions,
                     now))
      --remaining;
  }
}

bool CellPlacement::placeAdapter(const DemandKey &key, double value,
                                 std::string_view reason,
                                 std::vector<PlacementAction> &actions,
                                 Instant now) {
  ReplicaState *best = nullptr;
  const WeightsRef *bestVictim = nullptr;
  double lowestCost = 0;
  for (auto &[id, state] : Replicas) {
    if (state.Record->Service != key.first || !canOrder(state, now) ||
        state.Limited || state.PendingAdapter ||
        loadingCount(state, now) >= Options.MaxLoadsPerReplica)
      continue;
    auto model = state.Held.find({key.second.Model, {}});
    auto held = state.Held.find(key.second);
    if (model == state.Held.end() || model->second.ReadyAt > now)
      continue;
    bool isOlder = held != state.Held.end();
    if (isOlder &&
        (held->second.Evicting || isCurrent(key.second, held->second.Version)))
      continue;
    bool isFull = !isOlder && adapterCount(state) >= state.Engine->AdapterSlots;
    const auto *victim = isFull ? findVictim(state, value, now) : nullptr;
    if (isFull && !victim)
      continue;
    double cost =
        isFull ? valueOf(state, *victim, state.Held.at(*victim), now) : 0;
    // The load of a replica counts in shares of its slots; a fast reload
    // outweighs half of them.
    cost += static_cast<double>(state.Running) / state.Engine->Slots;
    bool isReload =
        std::find(state.RecentlyDropped.begin(), state.RecentlyDropped.end(),
                  key.second) != state.RecentlyDropped.end();
    // Replacing an older version in place waits for the requests that use it;
    // another replica is better as long as one has a free slot.
    constexpr double InPlaceCost = 2;
    cost += isOlder ? InPlaceCost : 0;
    constexpr std::uint64_t Steps = 1024;
    cost -= isReload ? Options.ReloadGain : 0;
    cost += Options.HashedReplicaGain *
            static_cast<double>(hashOf(id, key.second.Adapter) % Steps) / Steps;
    if (best && cost >= lowestCost)
      continue;
    best = &state;
    bestVictim = victim;
    lowestCost = cost;
  }
  if (!best)
    return false;
  best->PendingAdapter = key.second;
  best->PendingReason = reason;
  CopiesValid = false;
  if (bestVictim)
    addOrder(*best, OrderKind::Unload, WeightsRef(*bestVictim), reason,
             actions);
  else
    addOrder(*best, OrderKind::Load, key.second, reason, actions);
  return true;
}

const WeightsRef *CellPlacement::findVictim(const ReplicaState &state,
                                            double below, Instant now) {
  const WeightsRef *best = nullptr;
  double lowestValue = below;
  for (const auto &[weights, held] : state.Held) {
    if (weights.Adapter.empty() || held.Evicting || held.ReadyAt > now)
      continue;
    DemandKey key{state.Record->Service, weights};
    auto it = Demands.find(key);
    bool hasWaiting = it != Demands.end() && it->second.WaitingSince;
    bool isRecent = it != Demands.end() &&
                    now - it->second.LastRequestAt < Options.RecentUse &&
                    copyCount(key) < 2 && isCurrent(weights, held.Version);
    bool isInUse = Uses.contains({state.Record->Incarnation.text(), weights});
    if (hasWaiting || isRecent || isInUse)
      continue;
    double value = valueOf(state, weights, held, now);
    if (value < lowestValue) {
      lowestValue = value;
      best = &weights;
    }
  }
  return best;
}

double CellPlacement::valueOf(const ReplicaState &state,
                              const WeightsRef &weights,
                              const ResidentWeights &held, Instant now) {
  DemandKey key{state.Record->Service, weights};
  if (!isCurrent(weights, held.Version))
    return 0;
  auto it = Demands.find(key);
  if (it == Demands.end())
    return 0;
  // The value of a copy is its share of the requests.
  auto n = std::max<std::size_t>(1, copyCount(key));
  return rate(it->second, now) / static_cast<double>(n);
}

void CellPlacement::addOrder(ReplicaState &state, OrderKind kind,
                             const WeightsRef &weights, std::string_view reason,
                             std::vector<PlacementAction> &actions) {
  PlacementAction action;
  action.Replica = state.Record->Incarnation.text();
  action.Order.Kind = kind;
  action.Order.Weights = weights;
  action.Order.ExpectedCount = state.OrderCount;
  if (kind == OrderKind::Load) {
    auto it = Versions.find(weights);
    action.Order.Version = it == Versions.end() ? 0 : it->second;
  }
  action.Reason = reason;
  state.OrderPending = true;
  if (kind == OrderKind::Unload) {
    state.Held[weights].Evicting = true;
    markChanged();
  }
  actions.push_back(std::move(action));
}

} // namespace hemlockglade
