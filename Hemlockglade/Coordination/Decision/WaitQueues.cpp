#include "Hemlockglade/Coordination/Decision/WaitQueues.h"

#include <cassert>
#include <numeric>

namespace hemlockglade {

namespace {

// Priority whose bonus is half of the starvation bound. The bonus approaches
// the whole bound for higher classes, and each class keeps its distance from
// the next.
constexpr std::int64_t HalfBonusPriority = 2;

} // namespace

WaitQueues::WaitQueues(const QueueSettings &settings,
                       std::pmr::memory_resource *memory)
    : Settings(settings), Requests(memory), Checks(memory), ShedOrder(memory),
      Callers(memory) {}

std::uint32_t WaitQueues::ofClass(std::uint8_t priority) const {
  return Classes[priority];
}

std::uint32_t WaitQueues::fromClass(std::uint8_t priority) const {
  return std::accumulate(Classes.begin() + priority, Classes.end(), 0U);
}

bool WaitQueues::hasRoomFor(const RequestArrived &arrival,
                            const ActiveAdapter *active, Reason &why) const {
  why = Reason::QueueFull;
  if (arrival.QueueLimit != 0 &&
      Classes[arrival.Priority] >= arrival.QueueLimit)
    return false;
  if (active && arrival.Adapter != NoAdapter && Settings.AdapterLimit != 0 &&
      active->Queue.size() >= Settings.AdapterLimit)
    return false;
  if (arrival.Caller == 0 || Settings.CallerLimit == 0)
    return true;
  why = Reason::CallerLimit;
  auto it = Callers.find(arrival.Caller);
  return it == Callers.end() || it->second < Settings.CallerLimit;
}

const WaitingRequest *WaitQueues::find(RequestKey request) const {
  auto it = Requests.find(request);
  return it == Requests.end() ? nullptr : &it->second;
}

void WaitQueues::add(const RequestArrived &arrival, Instant now,
                     Instant checkAt, bool stalled, ActiveAdapter &active) {
  WaitingRequest waiting{arrival, now, rankOf(arrival, now), checkAt, stalled};
  active.Queue.insert({waiting.Rank, arrival.Request});
  active.Weight += classWeight(arrival.Priority);
  Checks.insert({checkAt, arrival.Request});
  ShedOrder.insert(shedKeyOf(waiting));
  ++Classes[arrival.Priority];
  if (arrival.Caller != 0)
    ++Callers[arrival.Caller];
  Requests.emplace(arrival.Request, waiting);
  updateHead(active);
}

WaitingRequest WaitQueues::remove(RequestKey request, ActiveAdapter &active) {
  auto it = Requests.find(request);
  assert(it != Requests.end());
  WaitingRequest waiting = it->second;
  const auto &arrival = waiting.Arrival;
  Requests.erase(it);
  active.Queue.erase({waiting.Rank, request});
  active.Weight -= classWeight(arrival.Priority);
  Checks.erase({waiting.CheckAt, request});
  ShedOrder.erase(shedKeyOf(waiting));
  --Classes[arrival.Priority];
  auto caller = Callers.find(arrival.Caller);
  if (caller != Callers.end() && --caller->second == 0)
    Callers.erase(caller);
  updateHead(active);
  return waiting;
}

const WaitingRequest *WaitQueues::due(Instant now) const {
  if (Checks.empty() || Checks.begin()->Rank > now)
    return nullptr;
  return find(Checks.begin()->Request);
}

void WaitQueues::rescheduleCheck(RequestKey request, Instant at) {
  auto it = Requests.find(request);
  assert(it != Requests.end());
  Checks.erase({it->second.CheckAt, request});
  it->second.CheckAt = at;
  Checks.insert({at, request});
}

const WaitingRequest *WaitQueues::nextToShed() const {
  return ShedOrder.empty()
             ? nullptr
             : find(static_cast<RequestKey>(-ShedOrder.begin()->Request));
}

Instant WaitQueues::rankOf(const RequestArrived &arrival, Instant now) const {
  std::int64_t priority = arrival.Priority;
  Span ahead =
      Settings.StarvationBound * priority / (priority + HalfBonusPriority);
  return now - ahead;
}

WaitQueues::ShedKey WaitQueues::shedKeyOf(const WaitingRequest &waiting) const {
  return {waiting.Arrival.Priority, -waiting.Since.count(),
          -static_cast<std::int64_t>(waiting.Arrival.Request)};
}

void WaitQueues::updateHead(ActiveAdapter &active) const {
  if (active.Queue.empty())
    return;
  const auto *head = find(active.Queue.begin()->Request);
  active.HeadDeadline = head->Arrival.Deadline;
}

} // namespace hemlockglade
