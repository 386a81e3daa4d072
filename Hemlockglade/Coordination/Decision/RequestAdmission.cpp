#include "Hemlockglade/Coordination/Decision/RequestAdmission.h"

#include <algorithm>
#include <cassert>

namespace hemlockglade {

namespace {

// Window of the running mean of the service time, in requests.
constexpr int AveragingWindow = 64;
constexpr double MicrosecondsPerSecond = 1e6;
constexpr std::size_t RecentRequestCount = 1024;

} // namespace

RequestAdmission::RequestAdmission(CellState &state)
    : State(state), Budget(state.Settings.Retries),
      RecentRequests(RecentRequestCount) {}

void RequestAdmission::onArrived(const RequestArrived &event) {
  if (isDuplicate(event.Request))
    return;
  if (State.Mode == LeaseMode::None)
    return refuse(event.Request, Reason::NotOwner);
  if (event.Retry) {
    if (!Budget.tryWithdraw())
      return refuse(event.Request, Reason::RetryBudget);
  } else {
    Budget.deposit();
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
  else if (canWait(event, active, why))
    // Shedding may have released the adapter.
    enqueue(event, State.Adapters.obtain(event.Adapter));
  else
    refuse(event.Request, why);
  State.Adapters.release(event.Adapter);
}

bool RequestAdmission::isDuplicate(RequestKey request) {
  // Keys are counted up from one, so zero is never a key.
  auto &seen = RecentRequests[request % RecentRequests.size()];
  if (seen == request || State.Running.contains(request) ||
      State.Queues.find(request))
    return true;
  seen = request;
  return false;
}

void RequestAdmission::onFinished(RequestKey request) {
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
  State.ServiceTime +=
      (State.Now - run.Since - State.ServiceTime) / AveragingWindow;
  auto &replica = State.Replicas.obtain(run.Replica);
  replica.changeRunning(-1, State.Now);
  if (replica.WarmupLeft != 0)
    --replica.WarmupLeft;
  auto *resident = State.Replicas.resident(replica, run.Adapter);
  if (resident && resident->ResidencyId == run.ResidencyId) {
    --resident->Running;
    resident->LastUsed = State.Now;
    State.refresh(run.Adapter);
  }
  admitForReplica(replica);
}

void RequestAdmission::onAdopted(const RequestAdopted &event) {
  if (State.Running.contains(event.Request) ||
      State.Queues.find(event.Request) || !State.Replicas.find(event.Replica))
    return;
  auto &replica = State.Replicas.obtain(event.Replica);
  std::uint64_t residencyId = 0;
  if (event.Adapter != NoAdapter) {
    auto *resident = State.Replicas.resident(replica, event.Adapter);
    // A running request proves that the adapter was loaded; a report must
    // confirm that it still is before it gets new work.
    if (!resident)
      resident = &State.Replicas.add(replica, event.Adapter,
                                     ResidentState::Uncertain, State.Now);
    ++resident->Running;
    residencyId = resident->ResidencyId;
  }
  State.Running[event.Request] = {event.Adapter, event.Replica, residencyId,
                                  State.Now};
  replica.changeRunning(1, State.Now);
  State.refresh(event.Adapter);
}

void RequestAdmission::admitForAdapter(AdapterKey adapter) {
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

void RequestAdmission::admitForReplica(Replica &replica) {
  if (State.Mode == LeaseMode::None || State.Queues.size() == 0)
    return;
  while (replica.Present && replica.hasRoom()) {
    auto *active = nextQueueOn(replica);
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

ActiveAdapter *RequestAdmission::nextQueueOn(Replica &replica) {
  ActiveAdapter *best = nullptr;
  auto consider = [&](ActiveAdapter *active) {
    if (!active || active->Queue.empty() ||
        !State.Chooser.canServe(replica, *active))
      return;
    if (!best || *active->Queue.begin() < *best->Queue.begin())
      best = active;
  };
  consider(State.Adapters.find(NoAdapter));
  for (const auto &it : replica.Adapters) {
    if (it.State == ResidentState::Resident)
      consider(State.Adapters.find(it.Adapter));
  }
  return best;
}

void RequestAdmission::refuseOverdue() {
  while (const auto *waiting = State.Queues.due(State.Now)) {
    Instant latestAdmission = latestStart(waiting->Arrival);
    if (latestAdmission <= State.Now) {
      refuseWaiting(*waiting, Reason::DeadlinePassed);
      continue;
    }
    auto &active = State.Adapters.obtain(waiting->Arrival.Adapter);
    bool willBeServed = active.Key == NoAdapter || State.isLoading(active) ||
                        State.countServing(active) != 0;
    if (willBeServed)
      State.Queues.rescheduleCheck(waiting->Arrival.Request, latestAdmission);
    else
      refuseWaiting(*waiting, active.NotBefore > State.Now
                                  ? Reason::LoadFailing
                                  : Reason::DeadlineInfeasible);
  }
}

void RequestAdmission::refuseAll(Reason why) {
  while (const auto *waiting = State.Queues.nextToShed())
    refuseWaiting(*waiting, why);
}

void RequestAdmission::admit(const RequestArrived &request, Replica &replica,
                             Span stall, Reason why) {
  std::uint64_t residencyId = 0;
  replica.changeRunning(1, State.Now);
  if (request.Adapter != NoAdapter) {
    auto *resident = State.Replicas.resident(replica, request.Adapter);
    ++resident->Running;
    resident->LastUsed = State.Now;
    residencyId = resident->ResidencyId;
    State.Eviction.refresh(replica, *resident, false, State.Now);
  }
  State.Running[request.Request] = {request.Adapter, replica.Key, residencyId,
                                    State.Now};
  State.Chooser.onAdmitted(request, replica);
  State.Actions->push_back(Admit{request.Request, replica.Key, stall, why});
}

void RequestAdmission::admitWaiting(RequestKey request, ActiveAdapter &active,
                                    Replica &replica, Reason why) {
  auto waiting = State.Queues.remove(request, active);
  if (!waiting.Stalled)
    return admit(waiting.Arrival, replica, Span{}, why);
  // Time spent waiting for a place in the batch does not count as load stall.
  auto *resident = State.Replicas.resident(replica, active.Key);
  Instant loaded = std::clamp(resident->LoadedAt, waiting.Since, State.Now);
  admit(waiting.Arrival, replica, loaded - waiting.Since, Reason::AfterLoad);
}

void RequestAdmission::refuse(RequestKey request, Reason why) {
  State.Actions->push_back(Refuse{request, retryAfter(), why});
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

bool RequestAdmission::canWait(const RequestArrived &request,
                               const ActiveAdapter &active, Reason &why) {
  if (!State.Queues.hasRoomFor(request, &active, why))
    return false;
  const auto &settings = State.Settings.Admission;
  Instant latestAdmission = latestStart(request);
  why = Reason::DeadlinePassed;
  if (latestAdmission <= State.Now)
    return false;
  why = Reason::NoReplica;
  if (!ensureReplica(active))
    return false;
  if (settings.RefuseInfeasible) {
    why = active.NotBefore > State.Now ? Reason::LoadFailing
                                       : Reason::DeadlineInfeasible;
    Span wait = expectedWait(request, active);
    Span maxWait = isBehindHigherClass(request) ? settings.MaxWaitBehindHigher
                                                : settings.MaxStall;
    Span timeLeft = std::min(latestAdmission - State.Now, maxWait);
    if (static_cast<double>(wait.count()) * settings.WaitSafetyFactor >
        static_cast<double>(timeLeft.count()))
      return false;
  }
  why = Reason::QueueFull;
  return State.Queues.size() < State.Settings.QueueLimit ||
         shedLowerClass(request);
}

bool RequestAdmission::isBehindHigherClass(
    const RequestArrived &request) const {
  return State.Planner.fromClass(request.Priority) >
         State.Planner.ofClass(request.Priority);
}

bool RequestAdmission::ensureReplica(const ActiveAdapter &active) {
  for (const auto &it : State.Replicas.all()) {
    if (State.Chooser.canServe(it, active))
      return true;
  }
  for (auto &it : State.Replicas.all()) {
    if (!it.Standby)
      continue;
    it.Standby = false;
    if (State.Chooser.canServe(it, active)) {
      State.replanAll(it);
      return true;
    }
    it.Standby = true;
  }
  return false;
}

void RequestAdmission::enqueue(const RequestArrived &request,
                               ActiveAdapter &active) {
  bool stalled =
      request.Adapter != NoAdapter && State.countServing(active) == 0;
  const auto &settings = State.Settings.Admission;
  Instant check = latestStart(request);
  if (stalled)
    check = std::min(check - State.Limiter.expected(),
                     State.Now + settings.MaxStall);
  State.Queues.add(request, State.Now, check, stalled, active);
  State.replan(active);
}

bool RequestAdmission::shedLowerClass(const RequestArrived &request) {
  const auto *lowest = State.Queues.nextToShed();
  if (!lowest || lowest->Arrival.Priority >= request.Priority)
    return false;
  refuseWaiting(*lowest, Reason::Shed);
  return true;
}

Span RequestAdmission::expectedWait(const RequestArrived &request,
                                    const ActiveAdapter &active) {
  if (request.Adapter == NoAdapter)
    return batchWait(active.Queue.size() + 1);
  if (State.countServing(active) != 0)
    return waitForRoom(request, active);
  if (State.isLoading(active))
    return Span{};
  Span backoff = std::max(Span{}, active.NotBefore - State.Now);
  // Requests of a lower class don't delay this one. If its adapter is already
  // due for a load, the request is admitted together with those that wait for
  // it.
  std::size_t ahead = State.Planner.fromClass(request.Priority);
  if (active.Planned)
    ahead /= 2;
  return backoff + loadWait(ahead + State.Limiter.running() + 1);
}

Span RequestAdmission::waitForRoom(const RequestArrived &request,
                                   const ActiveAdapter &active) {
  std::int64_t batchSlots = 0;
  for (ReplicaKey it : active.Holders) {
    if (State.canServe(it, active))
      batchSlots += State.Replicas.obtain(it).Properties.Batch;
  }
  // The adapter's queue is served only by the replicas that have it, and all
  // queues by all replicas; requests that wait for a load do not wait for batch
  // places.
  auto ownQueue = static_cast<std::int64_t>(active.Queue.size() + 1);
  Span wait =
      State.ServiceTime * ownQueue / std::max<std::int64_t>(1, batchSlots);
  std::size_t waiting = State.Queues.fromClass(request.Priority);
  return std::max(
      wait,
      batchWait(waiting - std::min(waiting, State.Planner.firstCopies())));
}

Instant RequestAdmission::latestStart(const RequestArrived &request) const {
  const auto &settings = State.Settings.Admission;
  auto prompt =
      static_cast<std::int64_t>(request.PromptTokens * MicrosecondsPerSecond /
                                settings.PromptTokensPerSecond);
  return request.Deadline - settings.FirstByteTime - Span(prompt);
}

Span RequestAdmission::loadWait(std::size_t loads) const {
  double rate = State.Limiter.rate();
  if (rate <= 0)
    return State.Limiter.expected();
  return Span(static_cast<std::int64_t>(static_cast<double>(loads) *
                                        MicrosecondsPerSecond / rate));
}

Span RequestAdmission::batchWait(std::size_t requests) const {
  std::int64_t batchSlots = 0;
  for (const auto &it : State.Replicas.all()) {
    if (it.Present && !it.Draining)
      batchSlots += it.Properties.Batch;
  }
  return State.ServiceTime * static_cast<std::int64_t>(requests) /
         std::max<std::int64_t>(1, batchSlots);
}

Span RequestAdmission::retryAfter() const {
  const auto &settings = State.Settings.Admission;
  Span wait =
      std::max(loadWait(State.Planner.size()), batchWait(State.Queues.size()));
  return std::clamp(wait, settings.MinRetryAfter, settings.MaxRetryAfter);
}

} // namespace hemlockglade
