#include "RecoveryLinks.h"

#include <easylogging++.h>

namespace hemlockglade {

namespace {

/// Time before a broken stream to a node is opened again.
constexpr Span ReopenDelay = std::chrono::milliseconds(500);

} // namespace

RecoveryLinks::RecoveryLinks(std::string self, RunningRequests &running,
                             RecoveryLinksHooks hooks)
    : Self(std::move(self)), Running(running), Hooks(std::move(hooks)) {}

void RecoveryLinks::attach(PeerNet &net, RecoveryCoordinator &recoveries) {
  Net = &net;
  Recoveries = &recoveries;
}

bool RecoveryLinks::isCurrent(const Key &key, Epoch fence) const {
  auto it = Queries.find(key);
  return it != Queries.end() && it->second.Fence == fence;
}

void RecoveryLinks::query(const RecoveryNode &node, const std::string &cell,
                          Epoch fence) {
  if (node.Name == Self)
    return onAnswer(node, cell, fence, Running.answer(cell, fence));
  Key key{node.Name + '/' + node.Incarnation, cell};
  {
    std::lock_guard lock(Mutex);
    auto &query = Queries[key];
    if (query.Open && query.Fence == fence)
      return;
    if (query.Fence != fence)
      query = {};
    query.Fence = fence;
    query.Open = true;
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
                          pack(RecoverRequest{cell, fence}), std::move(hooks));
  std::lock_guard lock(Mutex);
  if (isCurrent(key, fence))
    Queries[key].Stream = std::move(stream);
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
  if (auto ended = unpack<RequestEndedNotice>(message))
    Recoveries->onFinished(node, cell, ended->Id);
}

void RecoveryLinks::onAnswer(const RecoveryNode &node, const std::string &cell,
                             Epoch fence, const RunningAnswer &answer) {
  // Requests that are in the previous answer and not in this one ended while
  // the stream was broken. A refusal has no list, so it ends none.
  std::set<std::string> ended;
  if (!answer.Refused) {
    std::lock_guard lock(Mutex);
    auto &known =
        Queries[{node.Name + '/' + node.Incarnation, cell}].KnownRequests;
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
    Recoveries->onFinished(node, cell, id);
  Recoveries->onAnswer(node, cell, fence, answer);
}

void RecoveryLinks::onClosed(const RecoveryNode &node, const std::string &cell,
                             Epoch fence) {
  Key key{node.Name + '/' + node.Incarnation, cell};
  {
    std::lock_guard lock(Mutex);
    if (!isCurrent(key, fence))
      return;
    Queries[key].Open = false;
    Queries[key].Stream.reset();
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
      self->query(node, cell, fence);
  });
}

void RecoveryLinks::closeCell(const std::string &cell) {
  std::lock_guard lock(Mutex);
  std::erase_if(Queries, [&cell](auto &entry) {
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
    auto request = unpack<RecoverRequest>(message);
    if (!open || !request)
      return;
    // Both under the mutex of onRequestEnded(), so that the ends of requests
    // are sent after the answer that lists them.
    RunningAnswer answer;
    {
      std::lock_guard lock(self->Mutex);
      self->OwnerStreams.emplace(request->Cell, weak);
      answer = self->Running.answer(request->Cell, request->Fence);
      open->send(pack(toReply(answer)));
    }
    if (answer.Refused)
      open->close();
  };
}

void RecoveryLinks::onRequestEnded(const std::string &cell,
                                   const std::string &id) {
  std::lock_guard lock(Mutex);
  auto [it, end] = OwnerStreams.equal_range(cell);
  while (it != end) {
    auto stream = it->second.lock();
    if (!stream) {
      it = OwnerStreams.erase(it);
      continue;
    }
    stream->send(pack(RequestEndedNotice{id}));
    ++it;
  }
}

} // namespace hemlockglade
