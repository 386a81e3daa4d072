#include "Hemlockglade/Coordination/Decision/CellCore.h"

#include <algorithm>
#include <cassert>

namespace hemlockglade {

namespace {

constexpr Span SlotRetryAfter = std::chrono::seconds(1);
constexpr Span LoadRetryAfter = std::chrono::seconds(2);

} // namespace

CellCore::CellCore(const CellCoreSettings &settings) : Settings(settings) {}

void CellCore::handle(const Event &event, Instant now,
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

std::size_t CellCore::waiting() const {
  std::size_t n = 0;
  for (const auto &[adapter, queue] : Queues)
    n += queue.size();
  return n;
}

void CellCore::on(const RequestArrived &event) {
  if (Mode == LeaseMode::None) {
    Out->push_back(Refuse{event.Request, SlotRetryAfter, Reason::NotOwner});
    return;
  }
  if (waiting() >= Settings.QueueLimit) {
    Out->push_back(Refuse{event.Request, LoadRetryAfter, Reason::QueueFull});
    return;
  }
  Queues[event.Adapter].push_back({event.Request, event.Deadline, Now, false});
}

void CellCore::on(const RequestFinished &event) {
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
    std::erase_if(queue, [&event](const Waiting &waiting) {
      return waiting.Request == event.Request;
    });
}

void CellCore::on(const RequestAdopted &event) {
  auto replica = Replicas.find(event.Replica);
  if (replica == Replicas.end())
    return;
  Running[event.Request] = {event.Adapter, event.Replica};
  ++replica->second.Running;
  if (event.Adapter != NoAdapter)
    ++replica->second.Adapters[event.Adapter].Running;
}

void CellCore::on(const LoadDone &event) {
  --LoadsRunning;
  auto replica = Replicas.find(event.Replica);
  if (replica == Replicas.end())
    return;
  auto &resident = replica->second.Adapters[event.Adapter];
  resident.Loading = false;
  resident.LastUsed = Now;
}

void CellCore::on(const LoadFailed &event) {
  --LoadsRunning;
  auto replica = Replicas.find(event.Replica);
  if (replica != Replicas.end())
    replica->second.Adapters.erase(event.Adapter);
}

void CellCore::on(const EvictDone &event) {
  auto replica = Replicas.find(event.Replica);
  if (replica == Replicas.end())
    return;
  auto it = replica->second.Adapters.find(event.Adapter);
  if (it == replica->second.Adapters.end())
    return;
  if (event.Refused)
    it->second.Leaving = false;
  else
    replica->second.Adapters.erase(it);
}

void CellCore::on(const ReplicaAdded &event) {
  Replicas[event.Replica].Properties = event;
}

void CellCore::on(const ReplicaRemoved &event) {
  Replicas.erase(event.Replica);
}

void CellCore::on(const ReplicaDraining &event) {
  auto it = Replicas.find(event.Replica);
  if (it != Replicas.end())
    it->second.Draining = event.Draining;
}

void CellCore::on(const ReplicaReport &event) {
  auto it = Replicas.find(event.Replica);
  if (it == Replicas.end() || it->second.Incarnation == event.Incarnation)
    return;
  auto &replica = it->second;
  replica.Incarnation = event.Incarnation;
  std::erase_if(replica.Adapters, [](const auto &entry) {
    return !entry.second.Loading && entry.second.Running == 0;
  });
  for (const auto &resident : event.Resident)
    replica.Adapters.try_emplace(resident.Adapter);
}

void CellCore::on(const ReplicaSilent &) {}

void CellCore::on(const LeaseChanged &event) {
  Mode = event.Mode;
  if (Mode != LeaseMode::None)
    return;
  for (auto &[adapter, queue] : Queues) {
    for (const auto &waiting : queue)
      Out->push_back(Refuse{waiting.Request, SlotRetryAfter, Reason::NotOwner});
  }
  Queues.clear();
}

void CellCore::on(const TurnChanged &event) { ParallelLoads = event.Parallel; }

void CellCore::on(const PinChanged &) {}

void CellCore::on(const RuleChanged &) {}

void CellCore::on(const OperatorLoad &) {}

void CellCore::on(const Tick &) {
  for (auto &[adapter, queue] : Queues) {
    std::erase_if(queue, [this](const Waiting &waiting) {
      if (waiting.Deadline > Now)
        return false;
      Out->push_back(
          Refuse{waiting.Request, LoadRetryAfter, Reason::DeadlinePassed});
      return true;
    });
  }
}

void CellCore::serveQueues() {
  for (auto &[adapter, queue] : Queues)
    serveQueue(adapter, queue);
  std::erase_if(Queues, [](const auto &it) { return it.second.empty(); });
}

void CellCore::serveQueue(AdapterKey adapter, std::deque<Waiting> &queue) {
  while (!queue.empty()) {
    ReplicaKey key = 0;
    auto *replica = leastLoadedHolder(adapter, key);
    if (!replica)
      return;
    const auto &waiting = queue.front();
    Span stall = waiting.Stalled ? Now - waiting.Since : Span{};
    ++replica->Running;
    if (adapter != NoAdapter) {
      auto &resident = replica->Adapters[adapter];
      ++resident.Running;
      resident.LastUsed = Now;
    }
    Running[waiting.Request] = {adapter, key};
    Reason why = waiting.Stalled        ? Reason::AfterLoad
                 : adapter == NoAdapter ? Reason::PlainLeastLoaded
                                        : Reason::Resident;
    Out->push_back(Admit{waiting.Request, key, stall, why});
    queue.pop_front();
  }
}

CellCore::Replica *CellCore::leastLoadedHolder(AdapterKey adapter,
                                               ReplicaKey &key) {
  Replica *best = nullptr;
  for (auto &[name, replica] : Replicas) {
    if (replica.Draining || replica.Running >= replica.Properties.Batch)
      continue;
    if (adapter != NoAdapter) {
      auto it = replica.Adapters.find(adapter);
      if (it == replica.Adapters.end() || it->second.Loading ||
          it->second.Leaving)
        continue;
    }
    if (!best || replica.Running < best->Running) {
      best = &replica;
      key = name;
    }
  }
  return best;
}

void CellCore::startLoads() {
  for (auto &[adapter, queue] : Queues) {
    if (adapter == NoAdapter || queue.empty())
      continue;
    for (auto &waiting : queue)
      waiting.Stalled = true;
    bool coming = std::any_of(
        Replicas.begin(), Replicas.end(), [adapter = adapter](const auto &it) {
          auto found = it.second.Adapters.find(adapter);
          return found != it.second.Adapters.end() && !found->second.Leaving;
        });
    if (!coming && LoadsRunning < ParallelLoads)
      makeRoom(adapter);
  }
}

bool CellCore::makeRoom(AdapterKey adapter) {
  ReplicaKey victimAt = 0;
  AdapterKey victim = NoAdapter;
  Instant oldest = Instant::max();
  for (auto &[key, replica] : Replicas) {
    if (replica.Draining)
      continue;
    if (replica.Adapters.size() < replica.Properties.Slots) {
      replica.Adapters[adapter].Loading = true;
      ++LoadsRunning;
      Out->push_back(Load{key, adapter, Reason::Demand});
      return true;
    }
    for (auto &[name, resident] : replica.Adapters) {
      if (resident.Running || resident.Loading || resident.LastUsed >= oldest)
        continue;
      oldest = resident.LastUsed;
      victim = name;
      victimAt = key;
    }
  }
  if (victim == NoAdapter || Mode != LeaseMode::Held)
    return false;
  auto &resident = Replicas[victimAt].Adapters[victim];
  if (!resident.Leaving) {
    resident.Leaving = true;
    Out->push_back(Evict{victimAt, victim, Reason::MakeRoom});
  }
  return false;
}

} // namespace hemlockglade
