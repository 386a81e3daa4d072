#include "Hemlockglade/Coordination/Recovery/RecoveryCoordinator.h"

#include "Hemlockglade/Coordination/Lease/LeaseTypes.h"

#include <algorithm>
#include <utility>

namespace hemlockglade {

RecoveryCoordinator::RecoveryCoordinator(const RecoverySettings &settings,
                                         RecoveryHooks hooks)
    : Settings(settings), Hooks(std::move(hooks)) {}

std::string RecoveryCoordinator::keyOf(const RecoveryNode &node) {
  return node.Name + '/' + std::string(processOf(node.Incarnation));
}

void RecoveryCoordinator::begin(const std::string &cell, Epoch epoch,
                                const std::vector<RecoveryNode> &nodes,
                                bool allChecked, Instant now) {
  {
    std::lock_guard lock(Mutex);
    auto &state = Cells[cell];
    if (state.OwnerEpoch >= epoch)
      return;
    state = {};
    state.OwnerEpoch = epoch;
    state.MaxWait = allChecked ? Settings.SilentWait : Settings.UnfencedWait;
    for (const auto &node : nodes) {
      auto [it, added] =
          state.Nodes.try_emplace(keyOf(node), NodeRecovery(node, now));
      if (added)
        queueQuery(it->second, cell, state, now);
    }
    completeIfResolved(cell, state);
  }
  runPendingCalls();
}

void RecoveryCoordinator::end(const std::string &cell) {
  std::lock_guard lock(Mutex);
  Cells.erase(cell);
}

void RecoveryCoordinator::setNodes(const std::vector<RecoveryNode> &nodes,
                                   Instant now) {
  {
    std::lock_guard lock(Mutex);
    std::set<std::string> live;
    for (const auto &node : nodes)
      live.insert(keyOf(node));
    for (auto &[name, cell] : Cells) {
      for (const auto &node : nodes) {
        auto [it, added] =
            cell.Nodes.try_emplace(keyOf(node), NodeRecovery(node, now));
        it->second.Absent = false;
        if (added)
          queueQuery(it->second, name, cell, now);
      }
      for (auto &[key, node] : cell.Nodes) {
        if (live.contains(key) || node.Absent)
          continue;
        node.Absent = true;
        if (node.Resolved)
          node.Since = now;
      }
    }
  }
  runPendingCalls();
}

void RecoveryCoordinator::queueQuery(NodeRecovery &node,
                                     const std::string &name,
                                     const CellRecovery &cell, Instant now) {
  node.QueriedAt = now;
  PendingCalls.emplace_back(
      [this, to = node.Node, name, epoch = cell.OwnerEpoch] {
        Hooks.Query(to, name, epoch);
      });
}

bool RecoveryCoordinator::onAnswer(const RecoveryNode &node,
                                   const std::string &cell, Epoch epoch,
                                   const RunningAnswer &answer) {
  {
    std::lock_guard lock(Mutex);
    auto it = Cells.find(cell);
    if (it == Cells.end() || it->second.OwnerEpoch != epoch)
      return false;
    auto &state = it->second;
    if (answer.Refused || answer.Promised > epoch) {
      state.Superseded = true;
      return false;
    }
    auto &from =
        state.Nodes.try_emplace(keyOf(node), NodeRecovery(node, Instant()))
            .first->second;
    // A second answer is ignored: it lists only requests that the first one
    // listed too, some of which may have ended since.
    if (!std::exchange(from.Answered, true)) {
      for (const auto &request : answer.Requests)
        adopt(from, request, epoch);
      from.EndedEarly.clear();
    }
    from.Resolved = true;
    completeIfResolved(cell, state);
  }
  runPendingCalls();
  return true;
}

void RecoveryCoordinator::adopt(NodeRecovery &node,
                                const RegisteredRequest &request, Epoch epoch) {
  // Requests that this owner admitted are known already.
  if (request.Admitted >= epoch || node.EndedEarly.contains(request.Id))
    return;
  if (!node.Adopted.emplace(request.Id, request).second)
    return;
  PendingCalls.emplace_back(
      [this, from = node.Node, request] { Hooks.OnAdopted(from, request); });
}

void RecoveryCoordinator::onFinished(const RecoveryNode &node,
                                     const std::string &cell,
                                     const std::string &id) {
  {
    std::lock_guard lock(Mutex);
    auto it = Cells.find(cell);
    if (it == Cells.end())
      return;
    auto from = it->second.Nodes.find(keyOf(node));
    if (from == it->second.Nodes.end())
      return;
    auto adopted = from->second.Adopted.find(id);
    if (adopted == from->second.Adopted.end()) {
      if (!from->second.Answered)
        from->second.EndedEarly.insert(id);
      return;
    }
    PendingCalls.emplace_back(
        [this, request = adopted->second] { Hooks.OnFinished(request); });
    from->second.Adopted.erase(adopted);
  }
  runPendingCalls();
}

void RecoveryCoordinator::tick(Instant now) {
  {
    std::lock_guard lock(Mutex);
    for (auto &[name, cell] : Cells) {
      for (auto it = cell.Nodes.begin(); it != cell.Nodes.end();) {
        auto &node = it->second;
        bool expired = now - node.Since >= cell.MaxWait;
        if (!node.Resolved && expired) {
          node.Resolved = true;
          ++TimedOutNodes;
        } else if (!node.Resolved &&
                   now - node.QueriedAt >= Settings.QueryInterval) {
          queueQuery(node, name, cell, now);
        }
        if (node.Resolved && node.Absent && expired) {
          finishAdopted(node);
          it = cell.Nodes.erase(it);
        } else {
          ++it;
        }
      }
      completeIfResolved(name, cell);
    }
  }
  runPendingCalls();
}

void RecoveryCoordinator::finishAdopted(NodeRecovery &node) {
  for (const auto &[id, request] : node.Adopted)
    PendingCalls.emplace_back(
        [this, request = request] { Hooks.OnFinished(request); });
}

void RecoveryCoordinator::completeIfResolved(const std::string &name,
                                             CellRecovery &cell) {
  if (cell.Recovered || cell.Superseded)
    return;
  bool unresolved =
      std::any_of(cell.Nodes.begin(), cell.Nodes.end(),
                  [](const auto &it) { return !it.second.Resolved; });
  if (unresolved)
    return;
  cell.Recovered = true;
  PendingCalls.emplace_back([this, name, epoch = cell.OwnerEpoch] {
    Hooks.OnRecovered(name, epoch);
  });
}

LeaseMode RecoveryCoordinator::mode(const std::string &cell,
                                    LeaseMode lease) const {
  if (lease != LeaseMode::Held)
    return lease;
  return isRecovered(cell) ? LeaseMode::Held : LeaseMode::Recovering;
}

void RecoveryCoordinator::runPendingCalls() {
  std::unique_lock lock(Mutex);
  if (std::exchange(Delivering, true))
    return;
  while (!PendingCalls.empty()) {
    auto call = std::move(PendingCalls.front());
    PendingCalls.pop_front();
    lock.unlock();
    call();
    lock.lock();
  }
  Delivering = false;
}

bool RecoveryCoordinator::isRecovered(const std::string &cell) const {
  std::lock_guard lock(Mutex);
  auto it = Cells.find(cell);
  return it != Cells.end() && it->second.Recovered && !it->second.Superseded;
}

std::vector<std::string>
RecoveryCoordinator::unresolvedNodes(const std::string &cell) const {
  std::lock_guard lock(Mutex);
  std::vector<std::string> out;
  auto it = Cells.find(cell);
  if (it == Cells.end())
    return out;
  for (const auto &[key, node] : it->second.Nodes) {
    if (!node.Resolved)
      out.push_back(node.Node.Name);
  }
  return out;
}

std::uint64_t RecoveryCoordinator::timedOutNodes() const {
  std::lock_guard lock(Mutex);
  return TimedOutNodes;
}

} // namespace hemlockglade
