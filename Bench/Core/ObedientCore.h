#pragma once

#include "Hemlockglade/Coordination/Decision/CellCore.h"

#include <functional>
#include <limits>
#include <utility>
#include <vector>

namespace hemlockglade::bench {

/// A decision core without limits whose orders are all carried out at once, for
/// measuring what the core itself costs.
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

  /// Asks for an adapter; the request ends at once unless it is to run on.
  void request(AdapterKey adapter, bool runsOn = false) {
    constexpr Span Patience = std::chrono::hours(24);
    RequestArrived event;
    event.Request = ++Requests;
    event.Adapter = adapter;
    event.Deadline = Now + Patience;
    RunsOn = runsOn;
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
    if (Around)
      Around([&] { Core.handle(event, Now, Actions); });
    else
      Core.handle(event, Now, Actions);
    for (const auto &action : std::vector<Action>(Actions))
      std::visit([this](const auto &it) { apply(it); }, action);
  }

  std::size_t waiting() const { return Core.waiting(); }
  std::size_t running() const { return Core.running(); }

  /// Makes each call of the core, if set, so that it can be timed.
  std::function<void(const std::function<void()> &call)> Around;

private:
  static CellCoreSettings unlimited() {
    CellCoreSettings out;
    out.QueueLimit = std::numeric_limits<std::uint32_t>::max();
    out.Queues.AdapterLimit = 0;
    out.Admission.RefuseInfeasible = false;
    return out;
  }

  void apply(const Admit &action) {
    if (!RunsOn)
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
  bool RunsOn = false;
  std::vector<Action> Actions;
};

} // namespace hemlockglade::bench
