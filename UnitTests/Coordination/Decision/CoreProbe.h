#pragma once

#include "Hemlockglade/Coordination/Coordination.h"

#include <string>

namespace hemlockglade::test {

/// Drives one core by hand and writes its actions down as short words:
/// `admit 1@2`, `refuse 1 shed`, `load 3@2`, `evict 3@2`, `cancel 3@2`.
class CoreProbe {
public:
  explicit CoreProbe(const CellCoreSettings &settings = {}) : Core(settings) {
    send(LeaseChanged{LeaseMode::Held});
  }

  /// Adds replicas with the numbers 1 to `n`, each in a domain of its own.
  CoreProbe &replicas(std::uint32_t n, std::uint32_t slots = 2,
                      std::uint32_t batch = 4) {
    for (ReplicaKey it = 1; it <= n; ++it)
      send(ReplicaAdded{it, it, slots, batch});
    return *this;
  }

  /// Sends one event and returns what the core did.
  std::string send(const Event &event) {
    Actions.clear();
    Core.handle(event, Now, Actions);
    std::string out;
    for (const auto &it : Actions)
      out +=
          (out.empty() ? "" : ", ") +
          std::visit([this](const auto &action) { return word(action); }, it);
    return out;
  }

  std::string arrive(RequestKey request, AdapterKey adapter,
                     std::uint8_t priority = 1, Span due = Long) {
    RequestArrived event;
    event.Request = request;
    event.Adapter = adapter;
    event.Priority = priority;
    event.Deadline = Now + due;
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
  /// Lets time pass in ticks of 100 ms and returns what was done meanwhile.
  std::string pass(Span span) {
    std::string out;
    for (Instant end = Now + span; Now < end;) {
      Now = std::min(end, Now + std::chrono::milliseconds(100));
      auto done = send(Tick{});
      out += (out.empty() || done.empty() ? "" : ", ") + done;
    }
    return out;
  }
  /// Loads the adapter on the replica by an operator's order, and lets the
  /// least residency pass.
  void place(AdapterKey adapter, ReplicaKey replica = 1) {
    send(OperatorLoad{replica, adapter});
    Now += std::chrono::seconds(1);
    loaded(adapter, replica);
    Now += std::chrono::seconds(2);
  }
  /// Requests for the adapter that run on it, one at a time.
  void use(AdapterKey adapter, int times) {
    for (int it = 0; it < times; ++it) {
      arrive(++LastUse, adapter);
      finish(LastUse);
    }
  }

  static constexpr Span Long = std::chrono::seconds(18);
  Instant Now = std::chrono::seconds(1000);
  CellCore Core;
  /// Retry-After of the last refusal.
  Span RetryAfter{};
  std::vector<Action> Actions;

private:
  static std::string at(AdapterKey adapter, ReplicaKey replica) {
    return std::to_string(adapter) + "@" + std::to_string(replica);
  }
  std::string word(const Admit &action) {
    return "admit " + std::to_string(action.Request) + "@" +
           std::to_string(action.Replica);
  }
  std::string word(const Refuse &action) {
    RetryAfter = action.RetryAfter;
    return "refuse " + std::to_string(action.Request) + " " +
           std::string(reasonName(action.Why));
  }
  std::string word(const Load &action) {
    return "load " + at(action.Adapter, action.Replica);
  }
  std::string word(const Evict &action) {
    return "evict " + at(action.Adapter, action.Replica);
  }
  std::string word(const CancelLoad &action) {
    return "cancel " + at(action.Adapter, action.Replica);
  }

  RequestKey LastUse = 1'000'000;
};

} // namespace hemlockglade::test
