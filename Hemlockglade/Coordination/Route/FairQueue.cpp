#include "Hemlockglade/Coordination/Route/FairQueue.h"

#include <algorithm>
#include <tuple>

namespace hemlockglade {

FairQueue::Ticket FairQueue::join(const std::string &service, Request request) {
  auto &line = Lines[service];
  auto &last = line.LastTurns[request.Workspace];
  // A workspace that waited for nothing lately begins beside the others.
  last = std::max(last, line.Reached) + 1;
  auto ticket = ++LastTicket;
  line.All.push_back({ticket, std::move(request), last, Instant{}});
  return ticket;
}

FairQueue::Waiting *FairQueue::find(const std::string &service, Ticket ticket) {
  auto line = Lines.find(service);
  if (line == Lines.end())
    return nullptr;
  auto &all = line->second.All;
  auto it = std::find_if(all.begin(), all.end(), [ticket](const auto &waiting) {
    return waiting.Number == ticket;
  });
  return it == all.end() ? nullptr : &*it;
}

void FairQueue::onServed(const std::string &service, Ticket ticket) {
  if (auto *it = find(service, ticket)) {
    auto &line = Lines.at(service);
    line.Reached = std::max(line.Reached, it->Turn);
  }
  leave(service, ticket);
}

void FairQueue::leave(const std::string &service, Ticket ticket) {
  auto line = Lines.find(service);
  if (line == Lines.end())
    return;
  std::erase_if(line->second.All,
                [ticket](const auto &it) { return it.Number == ticket; });
  // Turns mean nothing once nobody waits.
  if (line->second.All.empty())
    Lines.erase(line);
}

void FairQueue::deferUntil(const std::string &service, Ticket ticket,
                           Instant until) {
  if (auto *it = find(service, ticket))
    it->PassedOverUntil = until;
}

bool FairQueue::goesBefore(const Waiting &a, const Waiting &b, Instant now) {
  auto key = [now](const Waiting &it) {
    return std::tuple(now >= it.PassedOverUntil ? 0 : 1,
                      now < it.Of.OnTimeUntil ? 0 : 1, it.Of.Rank, it.Turn,
                      it.Number);
  };
  return key(a) < key(b);
}

const FairQueue::Waiting *FairQueue::nextOf(const std::string &service,
                                            Instant now) const {
  auto line = Lines.find(service);
  if (line == Lines.end())
    return nullptr;
  const auto &all = line->second.All;
  auto it = std::min_element(
      all.begin(), all.end(),
      [now](const auto &a, const auto &b) { return goesBefore(a, b, now); });
  return it == all.end() ? nullptr : &*it;
}

bool FairQueue::isNext(const std::string &service, Ticket ticket,
                       Instant now) const {
  const auto *next = nextOf(service, now);
  return !next || next->Number == ticket;
}

bool FairQueue::hasWaiting(const std::string &service) const {
  return Lines.contains(service);
}

void FairQueue::wakeNext(const std::string &service, Instant now) const {
  const auto *next = nextOf(service, now);
  if (next && next->Of.Wake)
    next->Of.Wake();
}

} // namespace hemlockglade
