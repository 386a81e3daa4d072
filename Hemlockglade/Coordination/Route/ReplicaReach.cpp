#include "Hemlockglade/Coordination/Route/ReplicaReach.h"

#include <algorithm>

namespace hemlockglade {

namespace {

/// Replicas whose times are kept before old ones are removed.
constexpr std::size_t MaxHeard = 256;

} // namespace

void ReplicaReach::onConnected(const ReplicaRecord &replica, Instant now) {
  auto &state = Services[replica.Service];
  state.ReachedAt = now;
  state.HeardAt[replica.Incarnation.text()] = now;
  if (!state.CutOffSince) {
    state.Failed.clear();
    state.FirstFailureAt.reset();
    return;
  }
  state.Recovered.insert(replica.Incarnation.text());
  auto usable = Replicas(replica.Service).size();
  if (state.Recovered.size() < std::min(Options.MinRecovered, usable))
    return;
  Changes.push_back(
      {replica.Service, false, state.Failed.size(), now - *state.CutOffSince});
  state.CutOffSince.reset();
  state.Failed.clear();
  state.FirstFailureAt.reset();
  state.Recovered.clear();
}

void ReplicaReach::onSent(const ReplicaRecord &replica, Instant now) {
  auto &state = Services[replica.Service];
  if (state.Awaited.empty())
    state.AwaitedSince = now;
  state.Awaited.insert(replica.Incarnation.text());
}

void ReplicaReach::onBroken(const ReplicaRecord &replica, Instant now) {
  onSent(replica, now);
  auto &state = Services[replica.Service];
  state.AwaitedSince =
      std::min(state.AwaitedSince, now - Options.SilenceTimeout);
}

void ReplicaReach::onHeard(const ReplicaRecord &replica, Instant now) {
  auto &state = Services[replica.Service];
  state.ReachedAt = now;
  state.HeardAt[replica.Incarnation.text()] = now;
  state.Awaited.clear();
}

void ReplicaReach::onConnectFailed(const ReplicaRecord &replica, Instant now) {
  auto &state = Services[replica.Service];
  state.Failed[replica.Incarnation.text()] = now;
  if (state.CutOffSince) {
    state.Recovered.erase(replica.Incarnation.text());
    return;
  }
  if (!state.FirstFailureAt)
    state.FirstFailureAt = now;
  evaluate(replica.Service, state, now);
}

void ReplicaReach::prune(ServiceState &state,
                         const std::vector<ReplicaPtr> &usable,
                         Instant now) const {
  std::set<std::string> known;
  for (const auto &it : usable)
    known.insert(it->Incarnation.text());
  std::erase_if(state.Failed, [&](const auto &it) {
    return !known.contains(it.first) || now - it.second > Options.FailureMemory;
  });
  std::erase_if(state.HeardAt, [&](const auto &it) {
    return !known.contains(it.first) || now - it.second > Options.FailureMemory;
  });
  if (state.Failed.empty()) {
    state.FirstFailureAt.reset();
    return;
  }
  auto earliest = std::min_element(
      state.Failed.begin(), state.Failed.end(),
      [](const auto &a, const auto &b) { return a.second < b.second; });
  state.FirstFailureAt =
      std::max(*state.FirstFailureAt, std::min(earliest->second, now));
}

void ReplicaReach::evaluate(const std::string &service, ServiceState &state,
                            Instant now) {
  auto usable = Replicas(service);
  prune(state, usable, now);
  if (usable.empty() ||
      state.Failed.size() < std::min(Options.MinFailed, usable.size()))
    return;
  // A replica that still sends data is alive: only if it refuses connections
  // too is the path at fault.
  for (const auto &[replica, at] : state.HeardAt)
    if (at >= *state.FirstFailureAt && !state.Failed.contains(replica))
      return;
  state.CutOffSince = now;
  state.Recovered.clear();
  Changes.push_back(
      {service, true, state.Failed.size(), now - *state.FirstFailureAt});
}

bool ReplicaReach::isCutOff(const std::string &service) const {
  auto it = Services.find(service);
  return it != Services.end() && it->second.CutOffSince;
}

std::vector<std::string> ReplicaReach::cutOff() const {
  std::vector<std::string> out;
  for (const auto &[service, state] : Services)
    if (state.CutOffSince)
      out.push_back(service);
  return out;
}

std::vector<std::string> ReplicaReach::reached(Instant now) const {
  std::vector<std::string> out;
  for (const auto &[service, state] : Services)
    if (!state.CutOffSince && now - state.ReachedAt <= Options.ReachedMemory)
      out.push_back(service);
  return out;
}

bool ReplicaReach::isSilent(const ServiceState &state, Instant now) const {
  return state.Awaited.size() > 1 &&
         now - state.AwaitedSince >= Options.SilenceTimeout;
}

bool ReplicaReach::needsProbe(const ServiceState &state, Instant now) const {
  if (state.CutOffSince)
    return now - state.ProbedAt >= Options.CutOffProbeInterval;
  if (!state.FirstFailureAt)
    return isSilent(state, now) &&
           now - state.ProbedAt >= Options.SilenceProbeInterval;
  if (now - state.ProbedAt < Options.SuspectedProbeInterval)
    return false;
  // A single failure beside a service that responds is that replica's own.
  bool isHeard = std::any_of(state.HeardAt.begin(), state.HeardAt.end(),
                             [&](const auto &it) {
                               return now - it.second <= Options.HeardMemory &&
                                      !state.Failed.contains(it.first);
                             });
  return state.Failed.size() > 1 || !isHeard;
}

std::vector<ReplicaPtr>
ReplicaReach::chooseProbes(const ServiceState &state,
                           const std::vector<ReplicaPtr> &usable,
                           std::size_t count) {
  std::vector<ReplicaPtr> out;
  auto isHeard = [&state](const std::string &id) {
    auto it = state.HeardAt.find(id);
    return it != state.HeardAt.end() && state.FirstFailureAt &&
           it->second >= *state.FirstFailureAt;
  };
  // Replicas that still send data first, since they are surely alive.
  for (bool heard : {true, false})
    for (std::size_t it = 0; it < usable.size() && out.size() < count; ++it) {
      const auto &replica = usable[(NextProbe + it) % usable.size()];
      auto id = replica->Incarnation.text();
      bool isTried = !state.CutOffSince && state.Failed.contains(id);
      if (isHeard(id) == heard && !isTried)
        out.push_back(replica);
    }
  NextProbe += count;
  return out;
}

std::vector<ReplicaPtr> ReplicaReach::takeProbes(Instant now) {
  std::vector<ReplicaPtr> out;
  for (auto &[service, state] : Services) {
    if (state.HeardAt.size() > MaxHeard)
      std::erase_if(state.HeardAt, [&](const auto &it) {
        return now - it.second > Options.FailureMemory;
      });
    bool isSuspected = state.FirstFailureAt || isSilent(state, now);
    if (!state.CutOffSince && !isSuspected)
      continue;
    if (!state.CutOffSince)
      evaluate(service, state, now);
    auto usable = Replicas(service);
    if (usable.empty() || !needsProbe(state, now))
      continue;
    state.ProbedAt = now;
    auto count = state.CutOffSince ? Options.MinRecovered : Options.MinFailed;
    auto chosen = chooseProbes(state, usable, count);
    out.insert(out.end(), chosen.begin(), chosen.end());
  }
  return out;
}

std::vector<ReplicaReach::Change> ReplicaReach::takeChanges() {
  return std::exchange(Changes, {});
}

} // namespace hemlockglade
