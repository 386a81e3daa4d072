#include "RecoveryLinks.h"

#include <easylogging++.h>

namespace hemlockglade {

namespace {

/// Time before a broken stream to a node is opened again.
constexpr Span ReopenDelay = std::chrono::milliseconds(500);

} // namespace

RecoveryLinks::RecoveryLinks(std::string self, RunningRequests &register_,
                             RecoveryLinksHooks hooks)
    : Self(std::move(self)), Register(register_), Hooks(std::move(hooks)) {}

void RecoveryLinks::attach(PeerNet &net, RecoveryCoordinator &keeper) {
  Net = &net;
  Keeper = &keeper;
}

bool RecoveryLinks::isCurrent(const Key &key, Epoch fence) const {
  auto it = Asks.find(key);
  return it != Asks.end() && it->second.Fence == fence;
}

void RecoveryLinks::ask(const RecoveryNode &node, const std::string &cell,
                        Epoch fence) {
  if (node.Name == Self)
    return onAnswer(node, cell, fence, Register.answer(cell, fence));
  Key key{node.Name + '/' + node.Incarnation, cell};
  {
    std::lock_guard lock(Mutex);
    auto &asked = Asks[key];
    if (asked.Open && asked.Fence == fence)
      return;
    if (asked.Fence != fence)
      asked = {};
    asked.Fence = fence;
    asked.Open = true;
  }
  auto address = Hooks.AddressOf(node.Name);
  if (address.empty())
    return onClosed(node, cell, fence);
  PeerHooks hooks;
  auto first = std::make_shared<bool>(true);
  hooks.OnMessage = [self = shared_from_this(), node, cell, fence,
                     first](std::string_view message) {
    self->onMessage(node, cell, fence, message, std::exchange(*first, false));
  };
  hooks.OnClosed = [self = shared_from_this(), node, cell, fence](bool) {
    self->onClosed(node, cell, fence);
  };
  auto stream = Net->open(address, std::string(peer_path::Recover),
                          pack(RecoverAsk{cell, fence}), std::move(hooks));
  std::lock_guard lock(Mutex);
  if (isCurrent(key, fence))
    Asks[key].Stream = std::move(stream);
  else
    stream->close();
}

void RecoveryLinks::onMessage(const RecoveryNode &node, const std::string &cell,
                              Epoch fence, std::string_view message,
                              bool first) {
  if (first) {
    if (auto reply = unpack<RecoverReply>(message))
      onAnswer(node, cell, fence, toAnswer(*reply, cell));
    return;
  }
  if (auto ended = unpack<RecoverEnded>(message))
    Keeper->onFinished(node, cell, ended->Id);
}

void RecoveryLinks::onAnswer(const RecoveryNode &node, const std::string &cell,
                             Epoch fence, const RunningAnswer &answer) {
  // What a former answer named and this one doesn't has ended unheard, while
  // the stream was broken. A refusal names nothing and ends nothing.
  std::set<std::string> ended;
  if (!answer.Refused) {
    std::lock_guard lock(Mutex);
    auto &known = Asks[{node.Name + '/' + node.Incarnation, cell}].Known;
    ended = std::exchange(known, {});
    for (const auto &request : answer.Requests) {
      known.insert(request.Id);
      ended.erase(request.Id);
    }
  }
  LOG(INFO) << "recover cell=" << cell << " epoch=" << fence
            << " node=" << node.Name << " running=" << answer.Requests.size()
            << " refused=" << answer.Refused;
  for (const auto &id : ended)
    Keeper->onFinished(node, cell, id);
  Keeper->onAnswer(node, cell, fence, answer);
}

void RecoveryLinks::onClosed(const RecoveryNode &node, const std::string &cell,
                             Epoch fence) {
  Key key{node.Name + '/' + node.Incarnation, cell};
  {
    std::lock_guard lock(Mutex);
    if (!isCurrent(key, fence))
      return;
    Asks[key].Open = false;
    Asks[key].Stream.reset();
  }
  Hooks.After(ReopenDelay, [weak = weak_from_this(), key, node, cell, fence] {
    auto self = weak.lock();
    if (!self)
      return;
    {
      std::lock_guard lock(self->Mutex);
      if (!self->isCurrent(key, fence))
        return;
    }
    if (!self->Hooks.AddressOf(node.Name).empty())
      self->ask(node, cell, fence);
  });
}

void RecoveryLinks::forget(const std::string &cell) {
  std::lock_guard lock(Mutex);
  std::erase_if(Asks, [&cell](auto &entry) {
    if (entry.first.second != cell)
      return false;
    if (entry.second.Stream)
      entry.second.Stream->close();
    return true;
  });
}

void RecoveryLinks::serve(const std::shared_ptr<PeerStream> &stream) {
  stream->OnMessage = [self = shared_from_this(),
                       weak = std::weak_ptr(stream)](std::string_view message) {
    auto open = weak.lock();
    auto ask = unpack<RecoverAsk>(message);
    if (!open || !ask)
      return;
    // Both under the lock of `ended`: what ends later is told after the answer.
    RunningAnswer answer;
    {
      std::lock_guard lock(self->Mutex);
      self->Listeners.emplace(ask->Cell, weak);
      answer = self->Register.answer(ask->Cell, ask->Fence);
      open->send(pack(toReply(answer)));
    }
    if (answer.Refused)
      open->close();
  };
}

void RecoveryLinks::ended(const std::string &cell, const std::string &id) {
  std::lock_guard lock(Mutex);
  auto [it, end] = Listeners.equal_range(cell);
  while (it != end) {
    auto stream = it->second.lock();
    if (!stream) {
      it = Listeners.erase(it);
      continue;
    }
    stream->send(pack(RecoverEnded{id}));
    ++it;
  }
}

} // namespace hemlockglade
