#include "Bench/Core/Baselines/LruCore.h"

#include <algorithm>

namespace hemlockglade::bench {

namespace {

constexpr Span RetryAfter = std::chrono::seconds(2);
constexpr Span LoadRetry = std::chrono::seconds(1);

} // namespace

void LruCore::handle(const Event &event, Instant now,
                     std::vector<Action> &actions) {
  Now = now;
  Out = &actions;
  std::visit([this](const auto &it) { on(it); }, event);
  if (Mode != LeaseMode::None) {
    serveQueues();
    startLoads();
  }
  Out = nullptr;
}

void LruCore::on(const RequestArrived &event) {
  if (Mode == LeaseMode::None) {
    Out->push_back(Refuse{event.Request, RetryAfter, Reason::NotOwner});
    return;
  }
  if (WaitingRequests >= Settings.QueueLimit) {
    Out->push_back(Refuse{event.Request, RetryAfter, Reason::QueueFull});
    return;
  }
  auto [it, added] = Queues.try_emplace(event.Adapter);
  if (added)
    LoadOrder.push_back(event.Adapter);
  it->second.Requests.push_back({event.Request, event.Deadline, Now});
  ++WaitingRequests;
}

void LruCore::on(const RequestFinished &event) {
  auto it = Running.find(event.Request);
  if (it != Running.end()) {
    auto replica = Replicas.find(it->second.Where);
    if (replica != Replicas.end()) {
      --replica->second.Running;
      auto resident = replica->second.Adapters.find(it->second.Adapter);
      if (resident != replica->second.Adapters.end())
        --resident->second.Running;
    }
    Running.erase(it);
    return;
  }
  for (auto &[adapter, queue] : Queues)
    WaitingRequests -= std::erase_if(queue.Requests, [&](const auto &waiting) {
      return waiting.Request == event.Request;
    });
}

void LruCore::on(const RequestAdopted &event) {
  auto replica = Replicas.find(event.Replica);
  if (replica == Replicas.end())
    return;
  Running[event.Request] = {event.Adapter, event.Replica};
  ++replica->second.Running;
  if (event.Adapter != NoAdapter)
    ++replica->second.Adapters[event.Adapter].Running;
}

void LruCore::on(const LoadDone &event) {
  onLoadEnded(event.Replica, event.Adapter);
  auto replica = Replicas.find(event.Replica);
  if (replica == Replicas.end())
    return;
  auto &resident = replica->second.Adapters[event.Adapter];
  resident.Loading = false;
  resident.LoadedAt = Now;
  resident.LastUsed = Now;
}

void LruCore::on(const LoadFailed &event) {
  onLoadEnded(event.Replica, event.Adapter);
  auto replica = Replicas.find(event.Replica);
  if (replica != Replicas.end())
    replica->second.Adapters.erase(event.Adapter);
  auto queue = Queues.find(event.Adapter);
  if (queue != Queues.end())
    queue->second.NotBefore = Now + LoadRetry;
}

void LruCore::onLoadEnded(ReplicaKey where, AdapterKey adapter) {
  auto replica = Replicas.find(where);
  if (replica == Replicas.end())
    return;
  auto it = replica->second.Adapters.find(adapter);
  if (it == replica->second.Adapters.end() || !it->second.Loading)
    return;
  --LoadsRunning;
  auto queue = Queues.find(adapter);
  if (queue != Queues.end())
    queue->second.LoadPending = false;
}

void LruCore::on(const EvictDone &event) {
  auto replica = Replicas.find(event.Replica);
  if (replica == Replicas.end())
    return;
  auto it = replica->second.Adapters.find(event.Adapter);
  if (it == replica->second.Adapters.end() || !it->second.EvictedFor)
    return;
  AdapterKey wanted = it->second.EvictedFor;
  replica->second.LastEviction = Now;
  --LoadsRunning;
  if (event.Refused)
    it->second.EvictedFor = NoAdapter;
  else
    replica->second.Adapters.erase(it);
  auto queue = Queues.find(wanted);
  if (queue == Queues.end())
    return;
  queue->second.LoadPending = false;
  bool there = replica->second.Adapters.contains(wanted);
  if (event.Refused || replica->second.Draining || there)
    return;
  queue->second.LoadPending = true;
  orderLoad(event.Replica, wanted);
}

void LruCore::on(const ReplicaAdded &event) {
  Replicas[event.Replica].Properties = event;
}

void LruCore::on(const ReplicaRemoved &event) {
  auto it = Replicas.find(event.Replica);
  if (it == Replicas.end())
    return;
  for (const auto &[adapter, resident] : it->second.Adapters) {
    AdapterKey wanted = resident.Loading ? adapter : resident.EvictedFor;
    if (wanted == NoAdapter)
      continue;
    --LoadsRunning;
    auto queue = Queues.find(wanted);
    if (queue != Queues.end())
      queue->second.LoadPending = false;
  }
  Replicas.erase(it);
}

void LruCore::on(const ReplicaDraining &event) {
  auto it = Replicas.find(event.Replica);
  if (it != Replicas.end())
    it->second.Draining = event.Draining;
}

void LruCore::on(const ReplicaReport &event) {
  auto it = Replicas.find(event.Replica);
  if (it == Replicas.end())
    return;
  auto &replica = it->second;
  replica.Silent = false;
  dropMissing(replica, event);
  if (replica.LastEviction >= event.TakenAt)
    return;
  for (const auto &resident : event.Resident)
    replica.Adapters.try_emplace(resident.Adapter);
}

void LruCore::dropMissing(Replica &replica, const ReplicaReport &event) {
  std::erase_if(replica.Adapters, [&event](const auto &entry) {
    const auto &resident = entry.second;
    bool busy = resident.Loading || resident.EvictedFor || resident.Running;
    if (busy || resident.LoadedAt >= event.TakenAt)
      return false;
    return std::none_of(
        event.Resident.begin(), event.Resident.end(),
        [&entry](const auto &it) { return it.Adapter == entry.first; });
  });
}

void LruCore::on(const ReplicaReportMissed &event) {
  auto it = Replicas.find(event.Replica);
  if (it != Replicas.end())
    it->second.Silent = true;
}

void LruCore::on(const LeaseChanged &event) {
  Mode = event.Mode;
  if (Mode != LeaseMode::None)
    return;
  for (auto &[adapter, queue] : Queues) {
    for (const auto &waiting : queue.Requests)
      Out->push_back(Refuse{waiting.Request, RetryAfter, Reason::NotOwner});
  }
  Queues.clear();
  LoadOrder.clear();
  WaitingRequests = 0;
}

void LruCore::on(const Tick &) {
  for (auto &[adapter, queue] : Queues) {
    WaitingRequests -= std::erase_if(queue.Requests, [this](const auto &it) {
      if (it.Deadline > Now)
        return false;
      Out->push_back(Refuse{it.Request, RetryAfter, Reason::DeadlinePassed});
      return true;
    });
  }
}

void LruCore::serveQueues() {
  for (auto &[adapter, queue] : Queues)
    serveQueue(adapter, queue);
  std::erase_if(LoadOrder, [this](AdapterKey adapter) {
    auto it = Queues.find(adapter);
    bool done = it->second.Requests.empty() && !it->second.LoadPending;
    if (done)
      Queues.erase(it);
    return done;
  });
}

void LruCore::serveQueue(AdapterKey adapter, Queue &queue) {
  while (!queue.Requests.empty()) {
    ReplicaKey where = leastLoadedReplica(adapter);
    if (where == 0)
      return;
    auto &replica = Replicas[where];
    const auto &waiting = queue.Requests.front();
    ++replica.Running;
    if (adapter != NoAdapter) {
      auto &resident = replica.Adapters[adapter];
      ++resident.Running;
      resident.LastUsed = Now;
    }
    Running[waiting.Request] = {adapter, where};
    Span stall = Now - waiting.Since;
    Reason why = stall > Span{} ? Reason::AfterLoad : Reason::Resident;
    Out->push_back(Admit{waiting.Request, where, stall, why});
    queue.Requests.pop_front();
    --WaitingRequests;
  }
}

ReplicaKey LruCore::leastLoadedReplica(AdapterKey adapter) const {
  ReplicaKey best = 0;
  std::uint32_t fewest = 0;
  for (const auto &[key, replica] : Replicas) {
    if (!replica.usable() || (best && replica.Running >= fewest))
      continue;
    if (adapter != NoAdapter) {
      auto it = replica.Adapters.find(adapter);
      if (it == replica.Adapters.end() || it->second.Loading ||
          it->second.EvictedFor)
        continue;
    }
    best = key;
    fewest = replica.Running;
  }
  return best;
}

void LruCore::startLoads() {
  for (AdapterKey adapter : LoadOrder) {
    if (LoadsRunning >= Settings.ParallelLoads)
      return;
    auto &queue = Queues[adapter];
    bool wanted = adapter != NoAdapter && !queue.Requests.empty();
    if (!wanted || queue.LoadPending || queue.NotBefore > Now)
      continue;
    // If there is no slot for this adapter, there is none for the next one.
    if (!startLoad(adapter, queue))
      return;
  }
}

bool LruCore::startLoad(AdapterKey adapter, Queue &queue) {
  if (auto where = freeSlot(adapter)) {
    queue.LoadPending = true;
    orderLoad(*where, adapter);
    return true;
  }
  if (Mode != LeaseMode::Held)
    return false;
  auto found = victim(adapter);
  if (!found)
    return false;
  ++LoadsRunning;
  queue.LoadPending = true;
  Replicas[found->Where].Adapters[found->Adapter].EvictedFor = adapter;
  Out->push_back(Evict{found->Where, found->Adapter, Reason::MakeRoom});
  return true;
}

void LruCore::orderLoad(ReplicaKey where, AdapterKey adapter) {
  ++LoadsRunning;
  Replicas[where].Adapters[adapter].Loading = true;
  Out->push_back(Load{where, adapter, Reason::Demand});
}

std::optional<ReplicaKey> LruCore::freeSlot(AdapterKey adapter) const {
  std::optional<ReplicaKey> best;
  std::pair<std::uint32_t, std::size_t> fewest;
  for (const auto &[key, replica] : Replicas) {
    bool room = replica.Adapters.size() < replica.Properties.Slots;
    if (!room || !replica.usable() || replica.Adapters.contains(adapter))
      continue;
    std::pair load(replica.Running, replica.Adapters.size());
    if (best && load >= fewest)
      continue;
    best = key;
    fewest = load;
  }
  return best;
}

std::optional<LruCore::Victim> LruCore::victim(AdapterKey adapter) const {
  std::optional<Victim> out;
  double least = 0;
  for (const auto &[key, replica] : Replicas) {
    if (!replica.usable() || replica.Adapters.contains(adapter))
      continue;
    for (const auto &[name, resident] : replica.Adapters) {
      if (resident.Running || resident.Loading || resident.EvictedFor)
        continue;
      double value = worth(name, resident);
      if (out && value >= least)
        continue;
      out = {key, name};
      least = value;
    }
  }
  return out;
}

double LruCore::worth(AdapterKey adapter, const Resident &resident) const {
  if (Settings.Worth)
    return Settings.Worth(adapter, Now);
  return static_cast<double>(resident.LastUsed.count());
}

} // namespace hemlockglade::bench
