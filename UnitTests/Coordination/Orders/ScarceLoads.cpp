#include "UnitTests/Coordination/Orders/ScarceLoads.h"

#include <algorithm>
#include <cmath>

namespace hemlockglade::test {

namespace {

using std::chrono::milliseconds;

/// Time between two reports of requests that wait for the same adapter.
constexpr auto ReportInterval = milliseconds(200);
/// Backlog of an engine at which it still gets a request.
constexpr auto MaxBacklog = milliseconds(25);

CellPlacement::Settings settingsOf(bool ranked) {
  CellPlacement::Settings out;
  out.RankLoads = ranked;
  out.AdapterLoadTime = ScarceLoads::LoadTime;
  return out;
}

std::vector<double> zipfWeights() {
  constexpr double Exponent = 1.2;
  // Number 0 is no adapter.
  std::vector<double> out{0};
  for (int it = 1; it <= ScarceLoads::Adapters; ++it)
    out.push_back(std::pow(it, -Exponent));
  return out;
}

/// Base model loads a second at which placement begins with the limit of
/// concurrent loads that the store serves at full speed.
constexpr double StoreRate = 12.5;

} // namespace

ScarceLoads::ScarceLoads(bool ranked, std::uint64_t seed)
    : PlacementWorld(Replicas, AdapterSlots, StoreRate, settingsOf(ranked)),
      Random(seed) {
  auto weights = zipfWeights();
  Zipf = std::discrete_distribution<int>(weights.begin(), weights.end());
  Placement.setLoadingElsewhere(LoadsElsewhere);
  for (const auto &[id, it] : Engines)
    States[id];
}

void ScarceLoads::run(Span time, double rate, double hotRate) {
  for (auto until = Now + time; Now < until; Now += Step) {
    endRequests();
    for (Due += rate * inSeconds(Step); Due >= 1; --Due)
      arrive(Zipf(Random));
    for (HotDue += hotRate * inSeconds(Step); HotDue >= 1; --HotDue)
      arrive(HotAdapter);
    beginRequests();
    if (OnStep)
      OnStep();
    plan();
  }
}

void ScarceLoads::arrive(int number) {
  WaitingRequests.push_back(Requests.size());
  Requests.push_back({number, Now});
  InTime.push_back(false);
  Placement.onDemand(Service, adapter(number), 1, Now);
}

void ScarceLoads::endRequests() {
  for (auto &[id, state] : States) {
    for (auto it = state.Running.begin(); it != state.Running.end();) {
      if (it->second > Now) {
        ++it;
        continue;
      }
      Placement.onUse(id, it->first, -1);
      it = state.Running.erase(it);
    }
    Placement.setRunning(id, static_cast<std::uint32_t>(state.Running.size()));
  }
}

void ScarceLoads::beginRequests() {
  // In order of arrival; those for the same adapter wait behind the first.
  std::map<int, std::uint32_t> blocked;
  for (auto it = WaitingRequests.begin(); it != WaitingRequests.end();) {
    auto &request = Requests[*it];
    if (blocked.contains(request.Adapter)) {
      ++blocked[request.Adapter];
      ++it;
    } else if (Now - request.ArrivedAt > HoldTime || beginAt(request)) {
      InTime[*it] = request.Begun &&
                    Now + PrefillTime - request.ArrivedAt <= TargetLatency;
      it = WaitingRequests.erase(it);
    } else {
      blocked[request.Adapter] = 1;
      ++it;
    }
  }
  std::erase_if(ReportedAt,
                [&](const auto &it) { return !blocked.contains(it.first); });
  for (const auto &[number, n] : blocked)
    report(number, n);
}

bool ScarceLoads::beginAt(Request &request) {
  auto weights = adapter(request.Adapter);
  EngineState *best = nullptr;
  std::string bestId;
  for (auto &[id, state] : States) {
    auto ready = state.ReadyAt.find(weights);
    bool isFree = state.PrefillUntil <= Now + MaxBacklog &&
                  state.Running.size() < RequestSlots;
    if (ready == state.ReadyAt.end() || ready->second > Now || !isFree ||
        (best && best->PrefillUntil <= state.PrefillUntil))
      continue;
    best = &state;
    bestId = id;
  }
  if (!best)
    return false;
  best->PrefillUntil = std::max(best->PrefillUntil, Now) + PrefillTime;
  best->Running.emplace(weights, best->PrefillUntil + StreamTime);
  Placement.onUse(bestId, weights, 1);
  return request.Begun = true;
}

void ScarceLoads::report(int number, std::uint32_t n) {
  auto [last, isNew] = ReportedAt.try_emplace(number, Now);
  if (!isNew && Now - last->second < ReportInterval)
    return;
  last->second = Now;
  auto weights = adapter(number);
  bool anyReady = false;
  bool anyHeld = false;
  for (const auto &[id, state] : States)
    if (auto ready = state.ReadyAt.find(weights);
        ready != state.ReadyAt.end()) {
      anyHeld = true;
      anyReady = anyReady || ready->second <= Now;
    }
  if (!anyHeld)
    Placement.onWaiting(Service, weights, Now, n);
  else if (anyReady)
    Placement.onCongested(Service, weights, Now, n);
}

std::size_t ScarceLoads::loading() const {
  std::size_t out = LoadsElsewhere;
  for (const auto &[id, state] : States)
    out += static_cast<std::size_t>(
        std::count_if(state.ReadyAt.begin(), state.ReadyAt.end(),
                      [this](const auto &it) { return it.second > Now; }));
  return out;
}

void ScarceLoads::plan() {
  for (const auto &it : Placement.plan(true, Now))
    execute(it);
  for (const auto &[id, engine] : Engines)
    MaxHeld = std::max(MaxHeld, engine.Held.size() - 1);
}

void ScarceLoads::execute(const PlacementAction &action) {
  auto &engine = Engines.at(action.Replica);
  auto &state = States.at(action.Replica);
  if (action.Type == PlacementAction::Kind::Report) {
    Placement.onReport(action.Replica,
                       HoldingsReport{engine.Held, {}, false, engine.Count, {}},
                       Now);
    return;
  }
  const auto &weights = action.Order.Weights;
  auto answer = engine.execute(action.Order);
  if (action.Order.Kind == OrderKind::Unload) {
    EvictedInUse = EvictedInUse || state.Running.contains(weights);
    state.ReadyAt.erase(weights);
    state.Dropped.insert(weights);
  } else if (answer == OrderAnswer::Accepted) {
    auto share = std::max(1.0, double(loading() + 1) / double(FullSpeedLoads));
    auto took = spanOf(inSeconds(LoadTime) * share);
    if (state.Dropped.erase(weights))
      took = Span(LoadTime) / ReloadsPerLoad;
    state.ReadyAt[weights] = Now + took;
  }
  Placement.onOrderAnswer(action.Replica, action.Order, answer, Now);
}

double ScarceLoads::inTimeShare(Instant from, Instant to, int number) const {
  double all = 0;
  double inTime = 0;
  for (std::size_t it = 0; it < Requests.size(); ++it) {
    const auto &request = Requests[it];
    if (request.ArrivedAt < from || request.ArrivedAt >= to ||
        (number && request.Adapter != number))
      continue;
    ++all;
    inTime += InTime[it] ? 1 : 0;
  }
  return all > 0 ? inTime / all : 1;
}

std::pair<std::size_t, std::size_t> ScarceLoads::starved(Instant from) const {
  constexpr auto Window = std::chrono::seconds(8);
  constexpr int MinRequests = 4;
  std::map<int, std::pair<int, int>> counts;
  for (const auto &it : Requests) {
    if (it.ArrivedAt < from || it.ArrivedAt >= from + Window)
      continue;
    ++counts[it.Adapter].first;
    counts[it.Adapter].second += it.Begun ? 1 : 0;
  }
  std::pair<std::size_t, std::size_t> out{0, 0};
  for (const auto &[number, it] : counts) {
    if (it.first < MinRequests)
      continue;
    ++out.first;
    out.second += it.second == 0 ? 1 : 0;
  }
  return out;
}

} // namespace hemlockglade::test
