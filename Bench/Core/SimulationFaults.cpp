#include "Bench/Core/Simulation.h"

namespace hemlockglade::bench {

namespace {

constexpr Span AdoptDelay = std::chrono::milliseconds(500);

} // namespace

void Simulation::scheduleFault(const Fault &fault) {
  Instant begin = seconds(fault.AtS);
  Instant end = seconds(fault.AtS + fault.ForS);
  switch (fault.Kind) {
  case FaultKind::Shift:
  case FaultKind::Wake:
  case FaultKind::Scan:
    // The trace contains the effects of these faults.
    return;
  case FaultKind::Down:
    Loop.at(begin, [this, fault] { takeEnginesDown(fault); });
    return;
  case FaultKind::Store:
    Loop.at(begin, [this, fault] { Store.setRate(fault.Value); });
    Loop.at(end, [this] { Store.setRate(Work.LoadsPerS); });
    return;
  case FaultKind::Doubtful:
    Loop.at(begin, [this] { setLease(LeaseMode::Doubtful); });
    Loop.at(end, [this] { setLease(LeaseMode::Held); });
    return;
  case FaultKind::Takeover:
    Loop.at(begin, [this, fault] { takeOver(fault); });
    return;
  case FaultKind::Drain:
    Loop.at(begin, [this, fault] {
      drive(ReplicaDraining{fault.Replica, true});
    });
    Loop.at(end, [this, fault] {
      drive(ReplicaDraining{fault.Replica, false});
    });
    return;
  }
}

void Simulation::takeEnginesDown(const Fault &fault) {
  for (auto &it : Nodes) {
    const auto &properties = it.Properties;
    bool matchesReplica =
        fault.Replica == 0 || fault.Replica == properties.Replica;
    bool matchesDomain = fault.Domain == 0 || fault.Domain == properties.Domain;
    if (!matchesReplica || !matchesDomain)
      continue;
    auto *engine = it.Engine.get();
    engine->stop();
    Loop.after(seconds(fault.ForS), [engine] { engine->restart(); });
  }
}

void Simulation::takeOver(const Fault &fault) {
  ++Owner;
  Decide = Entry.Make(Work, Requests);
  Callers.resendWaiting();
  beginOwnership(LeaseMode::Recovering);
  Loop.after(AdoptDelay, [this] { adoptRunning(); });
  Loop.after(seconds(fault.ForS), [this] { setLease(LeaseMode::Held); });
}

void Simulation::adoptRunning() {
  for (auto &it : Nodes) {
    for (const auto &request : it.Engine->requests()) {
      drive(RequestAdopted{request.Request, request.Adapter,
                           it.Properties.Replica});
    }
  }
}

} // namespace hemlockglade::bench
