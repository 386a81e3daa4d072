#include "Hemlockglade/Coordination/Decision/CellReplicas.h"

#include <algorithm>
#include <cassert>

namespace hemlockglade {

double Replica::capacity() const {
  if (Properties.Capacity > 0)
    return Properties.Capacity;
  return std::max(1.0, static_cast<double>(Properties.Batch));
}

void Replica::changeRunning(int by, Instant now) {
  Running += static_cast<std::uint32_t>(by);
  if (Samples[LastSample].At != now) {
    LastSample = (LastSample + 1) % Samples.size();
    SampleCount = std::min(SampleCount + 1, Samples.size());
  }
  Samples[LastSample] = {now, Running};
}

std::optional<std::uint32_t> Replica::runningAt(Instant at) const {
  for (std::size_t it = 0; it < SampleCount; ++it) {
    const auto &sample =
        Samples[(LastSample + Samples.size() - it) % Samples.size()];
    if (sample.At <= at)
      return sample.Running;
  }
  return std::nullopt;
}

Replica &CellReplicas::obtain(ReplicaKey replica) {
  while (Replicas.size() <= replica) {
    Replicas.emplace_back();
    Replicas.back().Key = static_cast<ReplicaKey>(Replicas.size() - 1);
  }
  return Replicas[replica];
}

Replica *CellReplicas::find(ReplicaKey replica) {
  if (replica >= Replicas.size() || !Replicas[replica].Present)
    return nullptr;
  return &Replicas[replica];
}

Resident *CellReplicas::resident(Replica &replica, AdapterKey adapter) {
  for (auto &it : replica.Adapters) {
    if (it.Adapter == adapter)
      return &it;
  }
  return nullptr;
}

Resident &CellReplicas::add(Replica &replica, AdapterKey adapter,
                            ResidentState state, Instant now) {
  assert(!resident(replica, adapter));
  Resident it;
  it.Adapter = adapter;
  it.State = state;
  it.ResidencyId = ++LastResidencyId;
  it.ChangedAt = now;
  it.LoadedAt = now;
  it.LastUsed = now;
  replica.Adapters.push_back(it);
  Adapters.obtain(adapter).Holders.push_back(replica.Key);
  return replica.Adapters.back();
}

void CellReplicas::remove(Replica &replica, AdapterKey adapter) {
  std::erase_if(replica.Adapters, [adapter](const Resident &it) {
    return it.Adapter == adapter;
  });
  auto *active = Adapters.find(adapter);
  assert(active);
  std::erase(active->Holders, replica.Key);
}

} // namespace hemlockglade
