#include "Hemlockglade/Coordination/Decision/RequestAdmission.h"

#include <algorithm>
#include <cassert>

namespace hemlockglade {

namespace {

// Weight of the newest request in the mean service time: one in this many.
constexpr int MeanOver = 64;
constexpr double MicrosecondsPerSecond = 1e6;
constexpr std::size_t RemembersRequests = 1024;

} // namespace

RequestAdmission::RequestAdmission(CellState &state)
    : State(state), Budget(state.Settings.Retries), Seen(RemembersRequests) {}

void RequestAdmission::arrived(const RequestArrived &event) {
  if (isRepeat(event.Request))
    return;
  if (State.Mode == LeaseMode::None)
    return refuse(event.Request, Reason::NotOwner);
  if (event.Retry) {
    if (!Budget.spend())
      return refuse(event.Request, Reason::RetryBudget);
  } else {
    Budget.earn();
    if (event.Adapter != NoAdapter) {
      State.Demand.record(event.Adapter, State.Now);
      State.refresh(event.Adapter);
    }
  }
  auto &active = State.Adapters.obtain(event.Adapter);
  Reason why = Reason::Resident;
  Replica *replica = nullptr;
  if (active.Queue.empty())
    replica = State.Chooser.choose(event, active, why);
  if (replica)
    admit(event, *replica, Span{}, why);
  else if (mayWait(event, active, why))
    // Shedding may have released the adapter.
    enqueue(event, State.Adapters.obtain(event.Adapter));
  else
    refuse(event.Request, why);
  State.Adapters.release(event.Adapter);
}

bool RequestAdmission::isRepeat(RequestKey request) {
  // Keys are counted up from one, so zero is never a key.
  auto &seen = Seen[request % Seen.size()];
  if (seen == request || State.Running.contains(request) ||
      State.Queues.find(request))
    return true;
  seen = request;
  return false;
}

void RequestAdmission::finished(RequestKey request) {
  if (const auto *waiting = State.Queues.find(request)) {
    auto &active = State.Adapters.obtain(waiting->Arrival.Adapter);
    State.Queues.remove(request, active);
    State.replan(active);
    State.Adapters.release(active.Key);
    return;
  }
  auto it = State.Running.find(request);
  if (it == State.Running.end())
    return;
  RunningRequest run = it->second;
  State.Running.erase(it);
  State.ServiceTime += (State.Now - run.Since - State.ServiceTime) / MeanOver;
  auto &replica = State.Replicas.obtain(run.Replica);
  replica.changeRunning(-1, State.Now);
  if (replica.ColdLeft != 0)
    --replica.ColdLeft;
  auto *resident = State.Replicas.resident(replica, run.Adapter);
  if (resident && resident->Stay == run.Stay) {
    --resident->Running;
    resident->LastUsed = State.Now;
    State.refresh(run.Adapter);
  }
  serveReplica(replica);
}

void RequestAdmission::adopted(const RequestAdopted &event) {
  if (State.Running.contains(event.Request) ||
      State.Queues.find(event.Request) || !State.Replicas.find(event.Replica))
    return;
  auto &replica = State.Replicas.obtain(event.Replica);
  std::uint64_t stay = 0;
  if (event.Adapter != NoAdapter) {
    auto *resident = State.Replicas.resident(replica, event.Adapter);
    // It runs there, so it was loaded; a report has to confirm that it still
    // is before it gets new work.
    if (!resident)
      resident = &State.Replicas.add(replica, event.Adapter,
                                     ResidentState::Uncertain, State.Now);
    ++resident->Running;
    stay = resident->Stay;
  }
  State.Running[event.Request] = {event.Adapter, event.Replica, stay,
                                  State.Now};
  replica.changeRunning(1, State.Now);
  State.refresh(event.Adapter);
}

void RequestAdmission::serveAdapter(AdapterKey adapter) {
  if (State.Mode == LeaseMode::None)
    return;
  auto *active = State.Adapters.find(adapter);
  while (active && !active->Queue.empty()) {
    RequestKey request = active->Queue.begin()->Request;
    Reason why = Reason::Resident;
    auto *replica =
        State.Chooser.choose(State.Queues.find(request)->Arrival, *active, why);
    if (!replica)
      break;
    admitWaiting(request, *active, *replica, why);
  }
  if (active)
    State.replan(*active);
  State.Adapters.release(adapter);
}

void RequestAdmission::serveReplica(Replica &replica) {
  if (State.Mode == LeaseMode::None || State.Queues.size() == 0)
    return;
  while (replica.Present && replica.hasRoom()) {
    auto *active = nextOn(replica);
    if (!active)
      return;
    RequestKey request = active->Queue.begin()->Request;
    Reason why = Reason::Resident;
    auto *chosen =
        State.Chooser.choose(State.Queues.find(request)->Arrival, *active, why);
    assert(chosen);
    admitWaiting(request, *active, *chosen, why);
    State.replan(*active);
    State.Adapters.release(active->Key);
  }
}

ActiveAdapter *RequestAdmission::nextOn(Replica &replica) {
  ActiveAdapter *best = nullptr;
  auto consider = [&](ActiveAdapter *active) {
    if (!active || active->Queue.empty() ||
        !State.Chooser.serves(replica, *active))
      return;
    if (!best || *active->Queue.begin() < *best->Queue.begin())
      best = active;
  };
  consider(State.Adapters.find(NoAdapter));
  for (const auto &it : replica.Adapters) {
    if (it.State == ResidentState::Loaded)
      consider(State.Adapters.find(it.Adapter));
  }
  return best;
}

void RequestAdmission::giveUp() {
  while (const auto *waiting = State.Queues.due(State.Now)) {
    Instant latest = latestStart(waiting->Arrival);
    if (latest <= State.Now) {
      refuseWaiting(*waiting, Reason::DeadlinePassed);
      continue;
    }
    auto &active = State.Adapters.obtain(waiting->Arrival.Adapter);
    bool comes = active.Key == NoAdapter || State.isLoading(active) ||
                 State.servers(active) != 0;
    if (comes)
      State.Queues.checkAgain(waiting->Arrival.Request, latest);
    else
      refuseWaiting(*waiting, active.NotBefore > State.Now
                                  ? Reason::LoadFailing
                                  : Reason::DeadlineInfeasible);
  }
}

void RequestAdmission::refuseAll(Reason why) {
  while (const auto *waiting = State.Queues.lowest())
    refuseWaiting(*waiting, why);
}

void RequestAdmission::admit(const RequestArrived &request, Replica &replica,
                             Span stall, Reason why) {
  std::uint64_t stay = 0;
  replica.changeRunning(1, State.Now);
  if (request.Adapter != NoAdapter) {
    auto *resident = State.Replicas.resident(replica, request.Adapter);
    ++resident->Running;
    resident->LastUsed = State.Now;
    stay = resident->Stay;
    State.Eviction.refresh(replica, *resident, false, State.Now);
  }
  State.Running[request.Request] = {request.Adapter, replica.Key, stay,
                                    State.Now};
  State.Chooser.admitted(request, replica);
  State.Out->push_back(Admit{request.Request, replica.Key, stall, why});
}

void RequestAdmission::admitWaiting(RequestKey request, ActiveAdapter &active,
                                    Replica &replica, Reason why) {
  auto waiting = State.Queues.remove(request, active);
  if (!waiting.Stalled)
    return admit(waiting.Arrival, replica, Span{}, why);
  // Time that it waited for a place in the batch is no load stall.
  auto *resident = State.Replicas.resident(replica, active.Key);
  Instant loaded = std::clamp(resident->LoadedAt, waiting.Since, State.Now);
  admit(waiting.Arrival, replica, loaded - waiting.Since, Reason::AfterLoad);
}

void RequestAdmission::refuse(RequestKey request, Reason why) {
  State.Out->push_back(Refuse{request, retryAfter(), why});
}

void RequestAdmission::refuseWaiting(const WaitingRequest &waiting,
                                     Reason why) {
  RequestKey request = waiting.Arrival.Request;
  auto &active = State.Adapters.obtain(waiting.Arrival.Adapter);
  State.Queues.remove(request, active);
  State.replan(active);
  State.Adapters.release(active.Key);
  refuse(request, why);
}

bool RequestAdmission::mayWait(const RequestArrived &request,
                               const ActiveAdapter &active, Reason &why) {
  if (!State.Queues.roomFor(request, &active, why))
    return false;
  const auto &settings = State.Settings.Admission;
  Instant latest = latestStart(request);
  why = Reason::DeadlinePassed;
  if (latest <= State.Now)
    return false;
  why = Reason::NoReplica;
  if (!anyServes(active))
    return false;
  if (settings.RefuseInfeasible) {
    why = active.NotBefore > State.Now ? Reason::LoadFailing
                                       : Reason::DeadlineInfeasible;
    Span wait = expectedWait(request, active);
    Span longest =
        isBehind(request) ? settings.LongestWaitBehind : settings.LongestStall;
    Span left = std::min(latest - State.Now, longest);
    if (static_cast<double>(wait.count()) * settings.Caution >
        static_cast<double>(left.count()))
      return false;
  }
  why = Reason::QueueFull;
  return State.Queues.size() < State.Settings.QueueLimit || shedFor(request);
}

bool RequestAdmission::isBehind(const RequestArrived &request) const {
  return State.Planner.ahead(request.Priority) >
         State.Planner.ofClass(request.Priority);
}

bool RequestAdmission::anyServes(const ActiveAdapter &active) {
  for (const auto &it : State.Replicas.all()) {
    if (State.Chooser.serves(it, active))
      return true;
  }
  for (auto &it : State.Replicas.all()) {
    if (!it.Resting)
      continue;
    it.Resting = false;
    if (State.Chooser.serves(it, active)) {
      State.replanAll(it);
      return true;
    }
    it.Resting = true;
  }
  return false;
}

void RequestAdmission::enqueue(const RequestArrived &request,
                               ActiveAdapter &active) {
  bool stalled = request.Adapter != NoAdapter && State.servers(active) == 0;
  const auto &settings = State.Settings.Admission;
  Instant check = latestStart(request);
  if (stalled)
    check = std::min(check - State.Limiter.expected(),
                     State.Now + settings.LongestStall);
  State.Queues.add(request, State.Now, check, stalled, active);
  State.replan(active);
}

bool RequestAdmission::shedFor(const RequestArrived &request) {
  const auto *lowest = State.Queues.lowest();
  if (!lowest || lowest->Arrival.Priority >= request.Priority)
    return false;
  refuseWaiting(*lowest, Reason::Shed);
  return true;
}

Span RequestAdmission::expectedWait(const RequestArrived &request,
                                    const ActiveAdapter &active) {
  if (request.Adapter == NoAdapter)
    return batchWait(active.Queue.size() + 1);
  if (State.servers(active) != 0)
    return waitForRoom(request, active);
  if (State.isLoading(active))
    return Span{};
  Span backoff = std::max(Span{}, active.NotBefore - State.Now);
  // What comes after the request in the queue doesn't delay it; one that
  // joins others of its adapter comes as soon as they do.
  std::size_t ahead = State.Planner.ahead(request.Priority);
  if (active.Planned)
    ahead /= 2;
  return backoff + loadWait(ahead + State.Limiter.running() + 1);
}

Span RequestAdmission::waitForRoom(const RequestArrived &request,
                                   const ActiveAdapter &active) {
  std::int64_t places = 0;
  for (ReplicaKey it : active.Holders) {
    if (State.serves(it, active))
      places += State.Replicas.obtain(it).Properties.Batch;
  }
  // Its own queue goes through its holders only, and all queues through all
  // replicas; what waits for a load does not wait for room.
  auto own = static_cast<std::int64_t>(active.Queue.size() + 1);
  Span wait = State.ServiceTime * own / std::max<std::int64_t>(1, places);
  std::size_t all = State.Queues.fromClass(request.Priority);
  return std::max(wait, batchWait(all - std::min(all, State.Planner.firsts())));
}

Instant RequestAdmission::latestStart(const RequestArrived &request) const {
  const auto &settings = State.Settings.Admission;
  auto prompt =
      static_cast<std::int64_t>(request.PromptTokens * MicrosecondsPerSecond /
                                settings.PromptTokensPerSecond);
  return request.Deadline - settings.FirstByte - Span(prompt);
}

Span RequestAdmission::loadWait(std::size_t loads) const {
  double rate = State.Limiter.rate();
  if (rate <= 0)
    return State.Limiter.expected();
  return Span(static_cast<std::int64_t>(static_cast<double>(loads) *
                                        MicrosecondsPerSecond / rate));
}

Span RequestAdmission::batchWait(std::size_t requests) const {
  std::int64_t places = 0;
  for (const auto &it : State.Replicas.all()) {
    if (it.Present && !it.Draining)
      places += it.Properties.Batch;
  }
  return State.ServiceTime * static_cast<std::int64_t>(requests) /
         std::max<std::int64_t>(1, places);
}

Span RequestAdmission::retryAfter() const {
  const auto &settings = State.Settings.Admission;
  Span wait =
      std::max(loadWait(State.Planner.size()), batchWait(State.Queues.size()));
  return std::clamp(wait, settings.ShortestRetryAfter,
                    settings.LongestRetryAfter);
}

} // namespace hemlockglade
