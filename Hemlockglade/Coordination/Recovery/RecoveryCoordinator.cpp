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
    auto &ours = Cells[cell];
    if (ours.At >= epoch)
      return;
    ours = {};
    ours.At = epoch;
    ours.Wait = allChecked ? Settings.SilentWait : Settings.UnfencedWait;
    for (const auto &node : nodes) {
      auto [it, added] = ours.Nodes.try_emplace(keyOf(node), OfNode(node, now));
      if (added)
        ask(it->second, cell, ours, now);
    }
    settle(cell, ours);
  }
  deliver();
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
            cell.Nodes.try_emplace(keyOf(node), OfNode(node, now));
        it->second.Lost = false;
        if (added)
          ask(it->second, name, cell, now);
      }
      for (auto &[key, node] : cell.Nodes) {
        if (live.contains(key) || node.Lost)
          continue;
        node.Lost = true;
        if (node.Settled)
          node.Since = now;
      }
    }
  }
  deliver();
}

void RecoveryCoordinator::ask(OfNode &node, const std::string &name,
                              const OfCell &cell, Instant now) {
  node.AskedAt = now;
  Calls.emplace_back([this, to = node.Node, name, epoch = cell.At] {
    Hooks.Ask(to, name, epoch);
  });
}

bool RecoveryCoordinator::onAnswer(const RecoveryNode &node,
                                   const std::string &cell, Epoch epoch,
                                   const RunningAnswer &answer) {
  {
    std::lock_guard lock(Mutex);
    auto it = Cells.find(cell);
    if (it == Cells.end() || it->second.At != epoch)
      return false;
    auto &ours = it->second;
    if (answer.Refused || answer.Promised > epoch) {
      ours.Superseded = true;
      return false;
    }
    auto &from = ours.Nodes.try_emplace(keyOf(node), OfNode(node, Instant()))
                     .first->second;
    // A second answer can only repeat what has ended since the first.
    if (!std::exchange(from.Answered, true)) {
      for (const auto &request : answer.Requests)
        adopt(from, request, epoch);
      from.Ended.clear();
    }
    from.Settled = true;
    settle(cell, ours);
  }
  deliver();
  return true;
}

void RecoveryCoordinator::adopt(OfNode &node, const RegisteredRequest &request,
                                Epoch epoch) {
  // What we admitted ourselves is known already.
  if (request.Admitted >= epoch || node.Ended.contains(request.Id))
    return;
  if (!node.Adopted.emplace(request.Id, request).second)
    return;
  Calls.emplace_back(
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
        from->second.Ended.insert(id);
      return;
    }
    Calls.emplace_back(
        [this, request = adopted->second] { Hooks.OnFinished(request); });
    from->second.Adopted.erase(adopted);
  }
  deliver();
}

void RecoveryCoordinator::tick(Instant now) {
  {
    std::lock_guard lock(Mutex);
    for (auto &[name, cell] : Cells) {
      for (auto it = cell.Nodes.begin(); it != cell.Nodes.end();) {
        auto &node = it->second;
        bool over = now - node.Since >= cell.Wait;
        if (!node.Settled && over) {
          node.Settled = true;
          ++WaitedOut;
        } else if (!node.Settled &&
                   now - node.AskedAt >= Settings.AskInterval) {
          ask(node, name, cell, now);
        }
        if (node.Settled && node.Lost && over) {
          dropLost(node);
          it = cell.Nodes.erase(it);
        } else {
          ++it;
        }
      }
      settle(name, cell);
    }
  }
  deliver();
}

void RecoveryCoordinator::dropLost(OfNode &node) {
  for (const auto &[id, request] : node.Adopted)
    Calls.emplace_back(
        [this, request = request] { Hooks.OnFinished(request); });
}

void RecoveryCoordinator::settle(const std::string &name, OfCell &cell) {
  if (cell.Recovered || cell.Superseded)
    return;
  bool waits = std::any_of(cell.Nodes.begin(), cell.Nodes.end(),
                           [](const auto &it) { return !it.second.Settled; });
  if (waits)
    return;
  cell.Recovered = true;
  Calls.emplace_back(
      [this, name, epoch = cell.At] { Hooks.OnRecovered(name, epoch); });
}

LeaseMode RecoveryCoordinator::mode(const std::string &cell,
                                    LeaseMode lease) const {
  if (lease != LeaseMode::Held)
    return lease;
  return recovered(cell) ? LeaseMode::Held : LeaseMode::Recovering;
}

void RecoveryCoordinator::deliver() {
  std::unique_lock lock(Mutex);
  if (std::exchange(Delivering, true))
    return;
  while (!Calls.empty()) {
    auto call = std::move(Calls.front());
    Calls.pop_front();
    lock.unlock();
    call();
    lock.lock();
  }
  Delivering = false;
}

bool RecoveryCoordinator::recovered(const std::string &cell) const {
  std::lock_guard lock(Mutex);
  auto it = Cells.find(cell);
  return it != Cells.end() && it->second.Recovered && !it->second.Superseded;
}

std::vector<std::string>
RecoveryCoordinator::waitingFor(const std::string &cell) const {
  std::lock_guard lock(Mutex);
  std::vector<std::string> out;
  auto it = Cells.find(cell);
  if (it == Cells.end())
    return out;
  for (const auto &[key, node] : it->second.Nodes) {
    if (!node.Settled)
      out.push_back(node.Node.Name);
  }
  return out;
}

std::uint64_t RecoveryCoordinator::waitedOut() const {
  std::lock_guard lock(Mutex);
  return WaitedOut;
}

} // namespace hemlockglade
