#pragma once

#include "Hemlockglade/Coordination/Coordination.h"

#include <string>

namespace hemlockglade::test {

/// Sends events to one core and formats its actions as short texts: `admit
/// 1@2`, `refuse 1 shed`, `load 3@2`, `evict 3@2`, `cancel 3@2`.
class CoreDriver {
public:
  explicit CoreDriver(const CellCoreSettings &settings = {}) : Core(settings) {
    send(LeaseChanged{LeaseMode::Held});
  }

  /// Adds replicas with the keys 1 to `n`, each in a failure domain of its own.
  CoreDriver &replicas(std::uint32_t n, std::uint32_t slots = 2,
                       std::uint32_t batch = 4) {
    for (ReplicaKey it = 1; it <= n; ++it)
      send(ReplicaAdded{it, it, slots, batch});
    return *this;
  }

  /// Sends one event and returns the resulting actions.
  std::string send(const Event &event) {
    Actions.clear();
    Core.handle(event, Now, Actions);
    std::string out;
    for (const auto &it : Actions)
      out +=
          (out.empty() ? "" : ", ") +
          std::visit([this](const auto &action) { return format(action); }, it);
    return out;
  }

  std::string arrive(RequestKey request, AdapterKey adapter,
                     std::uint8_t priority = 1,
                     Span timeLeft = DefaultDeadline) {
    RequestArrived event;
    event.Request = request;
    event.Adapter = adapter;
    event.Priority = priority;
    event.Deadline = Now + timeLeft;
    return send(event);
  }
  std::string finish(RequestKey request) {
    return send(RequestFinished{request});
  }
  std::string loaded(AdapterKey adapter, ReplicaKey replica = 1) {
    return send(LoadDone{replica, adapter});
  }
  std::string failed(AdapterKey adapter, ReplicaKey replica = 1) {
    return send(LoadFailed{replica, adapter});
  }
  std::string evicted(AdapterKey adapter, ReplicaKey replica = 1) {
    return send(EvictDone{replica, adapter});
  }
  std::string report(ReplicaKey replica, std::uint64_t incarnation,
                     std::vector<ResidentAdapter> resident, Span age = {},
                     std::uint32_t running = 0) {
    return send(
        ReplicaReport{replica, incarnation, Now - age, running, resident});
  }
  /// Advances time in ticks of 100 ms and returns the resulting actions.
  std::string advance(Span span) {
    std::string out;
    for (Instant end = Now + span; Now < end;) {
      Now = std::min(end, Now + std::chrono::milliseconds(100));
      auto result = send(Tick{});
      out += (out.empty() || result.empty() ? "" : ", ") + result;
    }
    return out;
  }
  /// Loads the adapter on the replica by an operator's order, and lets its
  /// minimum residency pass.
  void loadByOperator(AdapterKey adapter, ReplicaKey replica = 1) {
    send(OperatorLoad{replica, adapter});
    Now += std::chrono::seconds(1);
    loaded(adapter, replica);
    Now += std::chrono::seconds(2);
  }
  /// Runs requests for the adapter, one at a time.
  void runRequests(AdapterKey adapter, int times) {
    for (int it = 0; it < times; ++it) {
      arrive(++LastRequest, adapter);
      finish(LastRequest);
    }
  }

  static constexpr Span DefaultDeadline = std::chrono::seconds(18);
  Instant Now = std::chrono::seconds(1000);
  CellCore Core;
  /// Retry-After of the last refusal.
  Span RetryAfter{};
  std::vector<Action> Actions;

private:
  static std::string at(AdapterKey adapter, ReplicaKey replica) {
    return std::to_string(adapter) + "@" + std::to_string(replica);
  }
  std::string format(const Admit &action) {
    return "admit " + std::to_string(action.Request) + "@" +
           std::to_string(action.Replica);
  }
  std::string format(const Refuse &action) {
    RetryAfter = action.RetryAfter;
    return "refuse " + std::to_string(action.Request) + " " +
           std::string(reasonName(action.Why));
  }
  std::string format(const Load &action) {
    return "load " + at(action.Adapter, action.Replica);
  }
  std::string format(const Evict &action) {
    return "evict " + at(action.Adapter, action.Replica);
  }
  std::string format(const CancelLoad &action) {
    return "cancel " + at(action.Adapter, action.Replica);
  }

  RequestKey LastRequest = 1'000'000;
};

} // namespace hemlockglade::test
