#include "CellRunner.h"

#include <easylogging++.h>
#include <xxhash.h>

namespace hemlockglade {

namespace {

/// Retry-After of a resumed stream whose replica isn't known here.
constexpr Span ResumeRetryAfter = std::chrono::seconds(1);

std::int64_t toUs(Span span) { return span.count(); }

} // namespace

CellRunner::CellRunner(std::string cell, Epoch fence, EngineClient &engines,
                       CellRunnerHooks hooks)
    : Cell(std::move(cell)), Fence(fence), Engines(engines),
      Hooks(std::move(hooks)), Core(CellCoreSettings{}), AdapterNames(1),
      Replicas(1) {}

AdapterKey CellRunner::keyOf(const std::string &adapter) {
  if (adapter.empty())
    return NoAdapter;
  auto [it, added] = AdapterKeys.try_emplace(
      adapter, static_cast<AdapterKey>(AdapterNames.size()));
  if (added)
    AdapterNames.push_back(adapter);
  return it->second;
}

DomainKey CellRunner::domainOf(const std::string &domain) {
  auto next = static_cast<DomainKey>(Domains.size() + 1);
  return Domains.try_emplace(domain, next).first->second;
}

RequestKey CellRunner::resume(const AdmitRequest &request, OnReply reply) {
  Deferred deferred;
  RequestKey key = 0;
  {
    std::lock_guard lock(Mutex);
    key = ++LastRequest;
    AdmitReply answer;
    answer.Fence = Fence;
    answer.Replica = request.ResumeOn;
    auto it = ReplicaKeys.find(request.ResumeOn);
    if (it == ReplicaKeys.end() || Replicas[it->second].Removed) {
      answer.Reason = reasonName(Reason::NoReplica);
      answer.RetryAfterUs = toUs(ResumeRetryAfter);
    } else {
      // The request already runs there, so it is counted without a decision.
      answer.Granted = true;
      answer.Address = Replicas[it->second].Config.Address;
      handle(RequestAdopted{key, keyOf(request.Adapter), it->second}, deferred);
    }
    LOG(INFO) << "resume request=" << request.Id
              << " adapter=" << request.Adapter
              << " replica=" << request.ResumeOn
              << " granted=" << answer.Granted << " reason=" << answer.Reason
              << " queue=" << Core.waiting() << " epoch=" << Fence
              << " cell=" << Cell;
    Hooks.Post([call = std::move(reply), answer] { call(answer); });
  }
  for (auto &call : deferred)
    call();
  return key;
}

RequestKey CellRunner::admit(const AdmitRequest &request, OnReply reply) {
  if (!request.ResumeOn.empty())
    return resume(request, std::move(reply));
  Deferred deferred;
  RequestKey key = 0;
  {
    std::lock_guard lock(Mutex);
    key = ++LastRequest;
    Requests.emplace(key, Pending{request.Id, request.Adapter, request.Attempt,
                                  request.Class, TimerService::now(),
                                  std::move(reply)});
    RequestArrived event;
    event.Request = key;
    event.Adapter = keyOf(request.Adapter);
    applyRule(event.Adapter, deferred);
    event.Deadline = TimerService::now() + Span(request.DeadlineUs);
    event.PrefixHash = request.PrefixHash;
    event.PromptTokens = request.PromptTokens;
    event.Caller = static_cast<CallerKey>(
        XXH3_64bits(request.Caller.data(), request.Caller.size()));
    event.Retry = request.Attempt > 1;
    auto it = Classes.find(request.Class);
    if (it != Classes.end()) {
      event.Priority = it->second.Priority;
      event.QueueLimit = it->second.QueueLimit;
    }
    handle(event, deferred);
  }
  for (auto &call : deferred)
    call();
  return key;
}

void CellRunner::finish(RequestKey request, Outcome outcome) {
  ReplicaKey suspect = 0;
  std::string address;
  {
    std::lock_guard lock(Mutex);
    auto it = Requests.find(request);
    if (it != Requests.end()) {
      if (outcome == Outcome::NotRun)
        suspect = it->second.Replica;
      address = Replicas[suspect].Config.Address;
      Requests.erase(it);
    }
  }
  lockAndHandle(RequestFinished{request});
  if (suspect)
    requestReport(suspect, address);
}

void CellRunner::adopt(const RegisteredRequest &request) {
  Deferred deferred;
  {
    std::lock_guard lock(Mutex);
    auto replica = ReplicaKeys.find(request.Replica);
    if (replica == ReplicaKeys.end() || Adopted.contains(request.Id))
      return;
    auto key = ++LastRequest;
    Adopted.emplace(request.Id, key);
    LOG(INFO) << "adopt request=" << request.Id
              << " adapter=" << request.Adapter
              << " replica=" << request.Replica
              << " admitted=" << request.Admitted << " epoch=" << Fence
              << " cell=" << Cell;
    handle(RequestAdopted{key, keyOf(request.Adapter), replica->second},
           deferred);
  }
  for (auto &call : deferred)
    call();
}

void CellRunner::finishAdopted(const std::string &id) {
  RequestKey key = 0;
  {
    std::lock_guard lock(Mutex);
    auto it = Adopted.find(id);
    if (it == Adopted.end())
      return;
    key = it->second;
    Adopted.erase(it);
  }
  lockAndHandle(RequestFinished{key});
}

void CellRunner::stop() { lockAndHandle(LeaseChanged{LeaseMode::None}); }

void CellRunner::tick() {
  auto mode = Hooks.Mode();
  Deferred deferred;
  {
    std::lock_guard lock(Mutex);
    if (mode != Mode) {
      Mode = mode;
      handle(LeaseChanged{mode}, deferred);
    }
    handle(Tick{}, deferred);
  }
  for (auto &call : deferred)
    call();
}

void CellRunner::requestReports() {
  std::vector<std::pair<ReplicaKey, std::string>> requested;
  {
    std::lock_guard lock(Mutex);
    for (ReplicaKey it = 1; it < Replicas.size(); ++it) {
      if (!Replicas[it].Removed)
        requested.emplace_back(it, Replicas[it].Config.Address);
    }
  }
  for (const auto &[key, address] : requested)
    requestReport(key, address);
}

void CellRunner::requestReport(ReplicaKey replica, const std::string &address) {
  // The age of a report counts from when it was requested: its content may
  // be older than its arrival by the whole round trip.
  auto requested = TimerService::now();
  if (Plain)
    return Engines.probe(address, [weak = weak_from_this(), replica,
                                   requested](bool alive) {
      // A plain service has no report: an empty one stands for its being
      // reachable.
      auto self = weak.lock();
      if (self)
        self->onReport(replica, requested,
                       alive ? std::optional(EngineReport()) : std::nullopt);
    });
  Engines.report(address,
                 [weak = weak_from_this(), replica, requested](auto report) {
                   if (auto self = weak.lock())
                     self->onReport(replica, requested, report);
                 });
}

void CellRunner::onReport(ReplicaKey replica, Instant requested,
                          const std::optional<EngineReport> &report) {
  if (!report) {
    {
      std::lock_guard lock(Mutex);
      Replicas[replica].Silent = true;
    }
    return lockAndHandle(ReplicaReportMissed{replica});
  }
  ReplicaReport event;
  event.Replica = replica;
  event.Incarnation =
      XXH3_64bits(report->Incarnation.data(), report->Incarnation.size());
  event.TakenAt = requested - std::chrono::milliseconds(report->AgeMs);
  event.Running = report->Running;
  {
    std::lock_guard lock(Mutex);
    for (const auto &[adapter, running] : report->Resident)
      event.Resident.push_back({keyOf(adapter), running});
    Replicas[replica].Resident = event.Resident;
    Replicas[replica].Silent = false;
  }
  lockAndHandle(event);
}

void CellRunner::lockAndHandle(const Event &event) {
  Deferred deferred;
  {
    std::lock_guard lock(Mutex);
    handle(event, deferred);
  }
  for (auto &call : deferred)
    call();
}

void CellRunner::handle(const Event &event, Deferred &deferred) {
  Actions.clear();
  Core.handle(event, TimerService::now(), Actions);
  for (const auto &action : std::exchange(Actions, {}))
    std::visit([&](const auto &it) { apply(it, deferred); }, action);
}

void CellRunner::apply(const Admit &action, Deferred &) {
  auto it = Requests.find(action.Request);
  if (it == Requests.end())
    return;
  const auto &replica = Replicas[action.Replica].Config;
  AdmitReply reply;
  reply.Granted = true;
  reply.Replica = replica.Name;
  reply.Address = replica.Address;
  reply.Fence = Fence;
  reply.LoadStallUs = toUs(action.LoadStall);
  LOG(INFO) << "route request=" << it->second.Id
            << " attempt=" << it->second.Attempt
            << " adapter=" << it->second.Adapter << " replica=" << replica.Name
            << " reason=" << reasonName(action.Why)
            << " queue=" << Core.waiting() << " epoch=" << Fence
            << " cell=" << Cell << " stall_us=" << reply.LoadStallUs;
  it->second.Replica = action.Replica;
  Hooks.Post([call = std::move(it->second.Reply), reply] { call(reply); });
}

void CellRunner::apply(const Refuse &action, Deferred &) {
  auto it = Requests.find(action.Request);
  if (it == Requests.end())
    return;
  AdmitReply reply;
  reply.Reason = reasonName(action.Why);
  reply.RetryAfterUs = toUs(action.RetryAfter);
  LOG(INFO) << "refuse request=" << it->second.Id
            << " attempt=" << it->second.Attempt
            << " adapter=" << it->second.Adapter << " reason=" << reply.Reason
            << " queue=" << Core.waiting() << " epoch=" << Fence
            << " cell=" << Cell;
  Hooks.Post([call = std::move(it->second.Reply), reply] { call(reply); });
  Requests.erase(it);
}

void CellRunner::apply(const Load &action, Deferred &deferred) {
  const auto &replica = Replicas[action.Replica].Config;
  const auto &adapter = AdapterNames[action.Adapter];
  LOG(INFO) << "load adapter=" << adapter << " replica=" << replica.Name
            << " reason=" << reasonName(action.Why)
            << " queue=" << Core.waiting() << " epoch=" << Fence
            << " cell=" << Cell;
  deferred.push_back(
      [self = shared_from_this(), action, address = replica.Address, adapter] {
        auto ticket = self->Engines.load(
            address, adapter, self->Fence, [self, action](OrderResult result) {
              {
                std::lock_guard lock(self->Mutex);
                self->Loads.erase({action.Replica, action.Adapter});
              }
              if (result == OrderResult::Done)
                return self->lockAndHandle(
                    LoadDone{action.Replica, action.Adapter, action.Order});
              self->lockAndHandle(LoadFailed{action.Replica, action.Adapter,
                                             action.Order,
                                             result == OrderResult::Unknown});
            });
        std::lock_guard lock(self->Mutex);
        self->Loads[{action.Replica, action.Adapter}] = ticket;
      });
}

void CellRunner::apply(const Evict &action, Deferred &deferred) {
  const auto &replica = Replicas[action.Replica].Config;
  const auto &adapter = AdapterNames[action.Adapter];
  LOG(INFO) << "evict adapter=" << adapter << " replica=" << replica.Name
            << " reason=" << reasonName(action.Why)
            << " queue=" << Core.waiting() << " epoch=" << Fence
            << " cell=" << Cell;
  deferred.push_back(
      [self = shared_from_this(), action, address = replica.Address, adapter] {
        // The lease may have lapsed since the decision, so it is checked again
        // right before the order is sent.
        if (!self->Hooks.Holds())
          return self->lockAndHandle(
              EvictDone{action.Replica, action.Adapter, true, action.Order});
        self->Engines.unload(
            address, adapter, self->Fence, [self, action](OrderResult result) {
              bool unknown = result == OrderResult::Unknown;
              bool refused = result != OrderResult::Done && !unknown;
              self->lockAndHandle(EvictDone{action.Replica, action.Adapter,
                                            refused, action.Order, unknown});
            });
      });
}

void CellRunner::apply(const CancelLoad &action, Deferred &deferred) {
  auto it = Loads.find({action.Replica, action.Adapter});
  if (it == Loads.end())
    return;
  LOG(INFO) << "cancel-load adapter=" << AdapterNames[action.Adapter]
            << " replica=" << Replicas[action.Replica].Config.Name
            << " reason=" << reasonName(action.Why) << " epoch=" << Fence
            << " cell=" << Cell;
  deferred.push_back([self = shared_from_this(), ticket = it->second] {
    self->Engines.cancel(ticket);
  });
}

std::size_t CellRunner::waiting() const {
  std::lock_guard lock(Mutex);
  return Core.waiting();
}

std::size_t CellRunner::running() const {
  std::lock_guard lock(Mutex);
  return Core.running();
}

} // namespace hemlockglade
