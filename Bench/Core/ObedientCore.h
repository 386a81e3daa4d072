#pragma once

#include "Hemlockglade/Coordination/Decision/CellCore.h"

#include <functional>
#include <limits>
#include <utility>
#include <vector>

namespace hemlockglade::bench {

/// A decision core without limits whose commands all succeed immediately, for
/// measuring the cost of the core itself.
class ObedientCore {
public:
  ObedientCore() : Core(unlimited()) {
    drive(LeaseChanged{LeaseMode::Held});
    drive(LoadLimitChanged{1, 1e6});
  }

  void addReplica(ReplicaKey key, std::uint32_t slots, std::uint32_t batch) {
    ReplicaAdded event;
    event.Replica = key;
    event.Domain = key % 3 + 1;
    event.Slots = slots;
    event.Batch = batch;
    drive(event);
    drive(reportOf(key));
  }

  static ReplicaReport reportOf(ReplicaKey key) {
    ReplicaReport report;
    report.Replica = key;
    report.Incarnation = 1;
    return report;
  }

  /// Sends a request for an adapter. It ends once admitted, unless it is to
  /// keep running.
  void request(AdapterKey adapter, bool keepRunning = false) {
    constexpr Span Timeout = std::chrono::hours(24);
    RequestArrived event;
    event.Request = ++Requests;
    event.Adapter = adapter;
    event.Deadline = Now + Timeout;
    KeepRunning = keepRunning;
    drive(event);
  }

  void advance(Span span) {
    Now += span;
    drive(Tick{});
  }

  void drive(Event event) {
    if (auto *report = std::get_if<ReplicaReport>(&event))
      report->TakenAt = Now;
    Actions.clear();
    if (CallWrapper)
      CallWrapper([&] { Core.handle(event, Now, Actions); });
    else
      Core.handle(event, Now, Actions);
    for (const auto &action : std::vector<Action>(Actions))
      std::visit([this](const auto &it) { apply(it); }, action);
  }

  std::size_t waiting() const { return Core.waiting(); }
  std::size_t running() const { return Core.running(); }

  /// If set, is passed each call of the core and must run it; used for timing.
  std::function<void(const std::function<void()> &call)> CallWrapper;

private:
  static CellCoreSettings unlimited() {
    CellCoreSettings out;
    out.QueueLimit = std::numeric_limits<std::uint32_t>::max();
    out.Queues.AdapterLimit = 0;
    out.Admission.RefuseInfeasible = false;
    return out;
  }

  void apply(const Admit &action) {
    if (!KeepRunning)
      drive(RequestFinished{action.Request});
  }
  void apply(const Load &action) {
    drive(LoadDone{action.Replica, action.Adapter, action.Order});
  }
  void apply(const Evict &action) {
    drive(EvictDone{action.Replica, action.Adapter, false, action.Order});
  }
  void apply(const Refuse &) {}
  void apply(const CancelLoad &) {}

  CellCore Core;
  Instant Now = std::chrono::hours(1);
  RequestKey Requests = 0;
  bool KeepRunning = false;
  std::vector<Action> Actions;
};

} // namespace hemlockglade::bench
