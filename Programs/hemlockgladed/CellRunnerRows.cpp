// The part of CellRunner that returns rows and figures for operators.

#include "CellRunner.h"

namespace hemlockglade {

namespace {

std::int64_t toMs(Span span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

std::int64_t toInt(std::size_t n) { return static_cast<std::int64_t>(n); }

} // namespace

void CellRunner::addRows(ShowSubject subject, const std::string &node,
                         RowSet &rows) const {
  std::lock_guard lock(Mutex);
  switch (subject) {
  case ShowSubject::Loaded:
    return addLoaded(rows);
  case ShowSubject::Waiting:
    return addWaiting(rows);
  case ShowSubject::Running:
    return addRunning(rows);
  case ShowSubject::Replicas:
    return addReplicas(rows);
  case ShowSubject::Requests:
    return addRequests(node, rows);
  default:
    return;
  }
}

void CellRunner::addLoaded(RowSet &rows) const {
  for (const auto &replica : Replicas) {
    for (const auto &it : replica.Resident)
      rows.Rows.push_back({Cell, replica.Config.Name,
                           replica.Config.FailureDomain,
                           AdapterNames[it.Adapter], toInt(it.Running)});
  }
}

void CellRunner::addWaiting(RowSet &rows) const {
  struct Group {
    std::size_t Waiting = 0;
    Instant Oldest = Instant::max();
  };
  std::map<std::pair<std::string, std::string>, Group> groups;
  for (const auto &[key, it] : Requests) {
    if (it.Replica)
      continue;
    auto &group = groups[{it.Adapter, it.Class}];
    ++group.Waiting;
    group.Oldest = std::min(group.Oldest, it.Since);
  }
  auto now = TimerService::now();
  for (const auto &[name, group] : groups)
    rows.Rows.push_back({Cell, name.first, name.second, toInt(group.Waiting),
                         toMs(now - group.Oldest)});
}

void CellRunner::addRunning(RowSet &rows) const {
  std::map<std::pair<std::string, std::string>, std::size_t> groups;
  for (const auto &[key, it] : Requests) {
    if (it.Replica)
      ++groups[{Replicas[it.Replica].Config.Name, it.Adapter}];
  }
  for (const auto &[name, n] : groups)
    rows.Rows.push_back({Cell, name.first, name.second, toInt(n)});
}

void CellRunner::addReplicas(RowSet &rows) const {
  std::map<ReplicaKey, std::size_t> running;
  for (const auto &[key, it] : Requests)
    ++running[it.Replica];
  for (ReplicaKey it = 1; it < Replicas.size(); ++it) {
    const auto &replica = Replicas[it];
    if (replica.Removed)
      continue;
    std::string state = replica.Leaving   ? "leaving"
                        : replica.Drained ? "draining"
                        : replica.Silent  ? "silent"
                                          : "live";
    const auto &config = replica.Config;
    rows.Rows.push_back({config.Name, config.Service, Cell,
                         config.FailureDomain, config.Address,
                         toInt(config.Slots), toInt(config.Batch), state,
                         toInt(running[it])});
  }
}

void CellRunner::addRequests(const std::string &node, RowSet &rows) const {
  auto now = TimerService::now();
  for (const auto &[key, it] : Requests)
    rows.Rows.push_back({it.Id, toInt(it.Attempt), node, it.Adapter,
                         Replicas[it.Replica].Config.Name, it.Class,
                         std::string(it.Replica ? "running" : "waiting"),
                         toMs(now - it.Since)});
}

void CellRunner::addQueues(std::map<std::string, std::size_t> &waiting) const {
  std::lock_guard lock(Mutex);
  for (const auto &[name, it] : Classes)
    waiting[name];
  for (const auto &[key, it] : Requests)
    waiting[it.Class] += it.Replica ? 0 : 1;
}

std::vector<double> CellRunner::batchFills() const {
  std::lock_guard lock(Mutex);
  std::map<ReplicaKey, std::size_t> running;
  for (const auto &[key, it] : Requests)
    ++running[it.Replica];
  std::vector<double> out;
  for (const auto &[key, n] : running) {
    if (key)
      out.push_back(static_cast<double>(n) / Replicas[key].Config.Batch);
  }
  return out;
}

} // namespace hemlockglade
