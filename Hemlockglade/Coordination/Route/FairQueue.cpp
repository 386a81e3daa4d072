#include "Hemlockglade/Coordination/Route/FairQueue.h"

#include <algorithm>
#include <tuple>

namespace hemlockglade {

FairQueue::Ticket FairQueue::join(const std::string &service, Request request) {
  auto &queue = Queues[service];
  auto &lastFinish = queue.LastFinishes[request.Workspace];
  // A workspace without recent requests starts at the current virtual time.
  lastFinish = std::max(lastFinish, queue.VirtualTime) + 1;
  auto ticket = ++LastTicket;
  queue.Requests.push_back({ticket, std::move(request), lastFinish, Instant{}});
  return ticket;
}

FairQueue::WaitingRequest *FairQueue::find(const std::string &service,
                                           Ticket ticket) {
  auto queue = Queues.find(service);
  if (queue == Queues.end())
    return nullptr;
  auto &all = queue->second.Requests;
  auto it = std::find_if(all.begin(), all.end(), [ticket](const auto &waiting) {
    return waiting.Number == ticket;
  });
  return it == all.end() ? nullptr : &*it;
}

void FairQueue::onServed(const std::string &service, Ticket ticket) {
  if (auto *it = find(service, ticket)) {
    auto &queue = Queues.at(service);
    queue.VirtualTime = std::max(queue.VirtualTime, it->VirtualFinish);
  }
  leave(service, ticket);
}

void FairQueue::leave(const std::string &service, Ticket ticket) {
  auto queue = Queues.find(service);
  if (queue == Queues.end())
    return;
  std::erase_if(queue->second.Requests,
                [ticket](const auto &it) { return it.Number == ticket; });
  // Virtual times are meaningless once nothing waits.
  if (queue->second.Requests.empty())
    Queues.erase(queue);
}

void FairQueue::deferUntil(const std::string &service, Ticket ticket,
                           Instant until) {
  if (auto *it = find(service, ticket))
    it->DeferredUntil = until;
}

bool FairQueue::isBefore(const WaitingRequest &a, const WaitingRequest &b,
                         Instant now) {
  auto key = [now](const WaitingRequest &it) {
    return std::tuple(now >= it.DeferredUntil ? 0 : 1,
                      now < it.Details.OnTimeUntil ? 0 : 1, it.Details.Rank,
                      it.VirtualFinish, it.Number);
  };
  return key(a) < key(b);
}

const FairQueue::WaitingRequest *
FairQueue::nextRequest(const std::string &service, Instant now) const {
  auto queue = Queues.find(service);
  if (queue == Queues.end())
    return nullptr;
  const auto &all = queue->second.Requests;
  auto it = std::min_element(
      all.begin(), all.end(),
      [now](const auto &a, const auto &b) { return isBefore(a, b, now); });
  return it == all.end() ? nullptr : &*it;
}

bool FairQueue::isNext(const std::string &service, Ticket ticket,
                       Instant now) const {
  const auto *next = nextRequest(service, now);
  return !next || next->Number == ticket;
}

bool FairQueue::hasWaiting(const std::string &service) const {
  return Queues.contains(service);
}

void FairQueue::wakeNext(const std::string &service, Instant now) const {
  const auto *next = nextRequest(service, now);
  if (next && next->Details.Wake)
    next->Details.Wake();
}

} // namespace hemlockglade
