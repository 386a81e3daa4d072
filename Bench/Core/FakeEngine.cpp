#include "Bench/Core/FakeEngine.h"

#include <algorithm>

namespace hemlockglade::bench {

namespace {

constexpr std::size_t CachedPrefixes = 24;
/// Fraction of a prompt that needs no prefill if its prefix is cached.
constexpr double CachedPart = 0.8;
constexpr double StepRounding = 1e-6;

} // namespace

FakeEngine::FakeEngine(VirtualLoop &loop, FakeWeightStore &store,
                       const EngineGroup &group, FakeEngineHooks hooks)
    : Loop(loop), Store(store), Group(group), Hooks(std::move(hooks)) {}

EngineAnswer FakeEngine::start(const EngineRequest &request) {
  if (!Up)
    return EngineAnswer::Down;
  if (request.Adapter != NoAdapter && !holds(request.Adapter))
    return EngineAnswer::NotLoaded;
  progress();
  if (request.Adapter != NoAdapter)
    ++Loaded[request.Adapter];
  Pending.push_back(request);
  fillBatch();
  schedule();
  return EngineAnswer::Runs;
}

void FakeEngine::load(AdapterKey adapter, std::function<void(bool)> done) {
  if (Up && holds(adapter))
    return done(true);
  bool full = Loaded.size() + Loads.size() >= Group.Slots;
  if (!Up || full || Loads.contains(adapter))
    return done(false);
  auto ticket = Store.start(adapter, [this, adapter](bool worked) {
    auto it = Loads.find(adapter);
    if (it == Loads.end())
      return;
    auto call = std::move(it->second.Done);
    Loads.erase(it);
    if (worked) {
      Loaded[adapter] = 0;
      Hooks.Resident(adapter, true);
    }
    call(worked);
  });
  Loads[adapter] = {ticket, std::move(done)};
}

void FakeEngine::cancelLoad(AdapterKey adapter) {
  auto it = Loads.find(adapter);
  if (it == Loads.end())
    return;
  Store.cancel(it->second.Ticket);
  auto call = std::move(it->second.Done);
  Loads.erase(it);
  call(false);
}

std::size_t FakeEngine::evict(AdapterKey adapter) {
  if (!holds(adapter))
    return 0;
  progress();
  auto broken = removeRequests(adapter);
  Loaded.erase(adapter);
  Hooks.Resident(adapter, false);
  fillBatch();
  schedule();
  for (RequestKey it : broken)
    Hooks.Broken(it);
  return broken.size();
}

void FakeEngine::stop() {
  if (!Up)
    return;
  progress();
  Up = false;
  auto loads = std::move(Loads);
  Loads.clear();
  for (auto &[adapter, loading] : loads) {
    Store.cancel(loading.Ticket);
    loading.Done(false);
  }
  for (const auto &[adapter, n] : Loaded)
    Hooks.Resident(adapter, false);
  Loaded.clear();
  Prefixes.clear();
  auto broken = requests();
  Running.clear();
  Pending.clear();
  schedule();
  for (const auto &it : broken)
    Hooks.Broken(it.Request);
}

void FakeEngine::restart() {
  Up = true;
  ++Incarnation;
  Since = Loop.now();
  WarmAt = Loop.now() + seconds(Group.WarmUpS);
}

EngineWork FakeEngine::work() {
  progress();
  return Work;
}

ReplicaReport FakeEngine::report() const {
  ReplicaReport out;
  out.Incarnation = Incarnation;
  out.TakenAt = Loop.now();
  out.Running = static_cast<std::uint32_t>(Running.size() + Pending.size());
  for (const auto &[adapter, n] : Loaded)
    out.Resident.push_back({adapter, n});
  return out;
}

std::vector<EngineRequest> FakeEngine::requests() const {
  std::vector<EngineRequest> out(Pending.begin(), Pending.end());
  for (const auto &[key, run] : Running)
    out.push_back(run.Request);
  return out;
}

void FakeEngine::progress() {
  double elapsed = toSeconds(Loop.now() - Since);
  Since = Loop.now();
  if (Running.empty() || elapsed <= 0)
    return;
  double steps = elapsed / stepSeconds();
  Steps += steps;
  Work.StepRoom += steps * Group.Batch;
  Work.StepRequests += steps * static_cast<double>(Running.size());
}

void FakeEngine::schedule() {
  std::uint64_t generation = ++Generation;
  if (Running.empty())
    return;
  double next = Running.begin()->second.EndAt;
  for (const auto &[key, run] : Running)
    next = std::min(next, run.FirstSent ? run.EndAt : run.FirstAt);
  double wait = std::max(0.0, next - Steps) * stepSeconds();
  Loop.after(seconds(wait) + Span(1), [this, generation] {
    if (generation != Generation)
      return;
    progress();
    sendMilestones();
    fillBatch();
    schedule();
  });
}

void FakeEngine::sendMilestones() {
  std::vector<RequestKey> ended;
  for (auto &[key, run] : Running) {
    if (!run.FirstSent && run.FirstAt <= Steps + StepRounding) {
      run.FirstSent = true;
      Hooks.FirstToken(key);
    }
    if (run.EndAt <= Steps + StepRounding)
      ended.push_back(key);
  }
  for (RequestKey it : ended) {
    auto found = Running.find(it);
    if (found->second.Request.Adapter != NoAdapter)
      --Loaded[found->second.Request.Adapter];
    Running.erase(found);
    Hooks.Finished(it);
  }
}

void FakeEngine::fillBatch() {
  while (!Pending.empty() && Running.size() < Group.Batch) {
    const auto &request = Pending.front();
    double first = Steps + prefillSteps(request) + 1;
    double end = first + request.Tokens - 1;
    Running[request.Request] = {request, first, end, false};
    Pending.pop_front();
  }
}

double FakeEngine::stepSeconds() const {
  double ms = Group.StepMs +
              Group.StepPerRequestMs * static_cast<double>(Running.size());
  bool cold = Loop.now() < WarmAt;
  return ms * 1e-3 * (cold ? Group.WarmUpFactor : 1.0);
}

double FakeEngine::prefillSteps(const EngineRequest &request) {
  auto it = std::find(Prefixes.begin(), Prefixes.end(), request.PrefixHash);
  bool cached = it != Prefixes.end();
  if (cached)
    Prefixes.erase(it);
  Prefixes.push_front(request.PrefixHash);
  if (Prefixes.size() > CachedPrefixes)
    Prefixes.pop_back();
  double tokens = request.PromptTokens * (cached ? 1 - CachedPart : 1.0);
  return tokens / Group.PrefillTokensPerStep;
}

std::vector<RequestKey> FakeEngine::removeRequests(AdapterKey adapter) {
  std::vector<RequestKey> out;
  for (const auto &it : requests()) {
    if (it.Adapter == adapter)
      out.push_back(it.Request);
  }
  std::erase_if(Running, [adapter](const auto &it) {
    return it.second.Request.Adapter == adapter;
  });
  std::erase_if(Pending,
                [adapter](const auto &it) { return it.Adapter == adapter; });
  return out;
}

} // namespace hemlockglade::bench
