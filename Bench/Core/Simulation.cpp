#include "Bench/Core/Simulation.h"

#include <array>
#include <chrono>
#include <xxhash.h>

namespace hemlockglade::bench {

namespace {

constexpr Span NetworkDelay = std::chrono::microseconds(500);
constexpr Span DrainStep = std::chrono::seconds(1);
constexpr Span OrderTimeout = std::chrono::seconds(5);
constexpr Span TickPeriod = std::chrono::milliseconds(100);

FakeWeightStoreSettings storeSettings(const Workload &work) {
  FakeWeightStoreSettings out;
  out.LoadsPerS = work.LoadsPerS;
  out.Failures = work.LoadFailures;
  out.BrokenAdapters = work.BrokenAdapters;
  return out;
}

} // namespace

Simulation::Simulation(const Workload &workload, const PolicyEntry &policy,
                       std::uint64_t seed)
    : Work(workload), Entry(policy), Seed(seed),
      Requests(makeTrace(Work, seed)), Store(Loop, storeSettings(Work), seed),
      Residency(Work.Adapters), Correctness(Out),
      Callers(Loop, Work, Requests, Residency, Correctness, seed,
              {[this](const RequestArrived &event) { drive(event); },
               [this](RequestKey request) {
                 driveLater(RequestFinished{request});
               }}),
      Draw(seed) {
  for (const auto &group : Work.Engines)
    addEngines(group);
}

void Simulation::addEngines(const EngineGroup &group) {
  for (std::uint32_t n = 0; n < group.Count; ++n) {
    FakeEngineHooks hooks;
    hooks.FirstToken = [this](RequestKey it) { Callers.firstToken(it); };
    hooks.Finished = [this](RequestKey it) { Callers.finished(it); };
    hooks.Broken = [this](RequestKey it) { Callers.broken(it); };
    hooks.Resident = [this](AdapterKey it, bool there) {
      Residency.change(it, there, Loop.now());
    };
    Node node;
    node.Properties.Replica = static_cast<ReplicaKey>(Nodes.size() + 1);
    node.Properties.Domain = node.Properties.Replica % Work.Domains + 1;
    node.Properties.Slots = group.Slots;
    node.Properties.Batch = group.Batch;
    node.Engine =
        std::make_unique<FakeEngine>(Loop, Store, group, std::move(hooks));
    Nodes.push_back(std::move(node));
  }
}

Figures Simulation::run() {
  Decide = Entry.Make(Work, Requests);
  beginOwnership(LeaseMode::Held);
  Callers.start();
  scheduleTick();
  scheduleReports();
  for (const auto &fault : Work.Faults)
    scheduleFault(fault);
  Loop.run(seconds(Work.DurationS));
  recordBatchFill();
  drain();
  Callers.report(Out);
  Out.Loads = Store.started();
  return std::move(Out);
}

void Simulation::drain() {
  Instant end = seconds(Work.DurationS + Work.DrainS);
  while (Callers.pending() && Loop.now() < end)
    Loop.run(Loop.now() + DrainStep);
}

void Simulation::beginOwnership(LeaseMode mode) {
  for (auto &it : Nodes) {
    it.Known = 0;
    drive(it.Properties);
  }
  for (AdapterKey it = 1; it <= Work.Adapters; ++it) {
    if (DomainKey domain = Work.ruledDomain(it))
      drive(RuleChanged{it, {domain}});
  }
  drive(LoadLimitChanged{1, Work.LoadsPerS});
  for (ReplicaKey it = 1; it <= Nodes.size(); ++it)
    sendReport(it);
  setLease(mode);
}

void Simulation::setLease(LeaseMode mode) {
  Lease = mode;
  drive(LeaseChanged{mode});
}

void Simulation::drive(const Event &event) {
  using Clock = std::chrono::steady_clock;
  Actions.clear();
  auto before = Clock::now();
  Decide(event, Loop.now(), Actions);
  auto spent = std::chrono::nanoseconds(Clock::now() - before);
  Out.DecisionNs.push_back(static_cast<std::uint32_t>(spent.count()));
  ++Out.Decisions;
  for (const auto &action : Actions) {
    hashAction(action);
    std::visit([this](const auto &it) { apply(it); }, action);
  }
}

void Simulation::driveLater(const Event &event) {
  driveAfter(NetworkDelay, event);
}

void Simulation::driveAfter(Span delay, const Event &event) {
  Loop.after(delay, [this, event, owner = Owner] {
    bool release = std::holds_alternative<RequestFinished>(event);
    // The end of a request is sent to the node that is the owner by then.
    if (owner == Owner || release)
      drive(event);
  });
}

void Simulation::hashAction(const Action &action) {
  std::array<std::uint64_t, 6> words{};
  words[0] = Out.DecisionHash;
  words[1] = static_cast<std::uint64_t>(Loop.now().count());
  words[2] = action.index();
  std::visit(
      [&words](const auto &it) {
        using Kind = std::decay_t<decltype(it)>;
        words[3] = static_cast<std::uint64_t>(it.Why);
        if constexpr (requires { it.Request; })
          words[4] = it.Request;
        else
          words[4] = it.Adapter;
        if constexpr (std::is_same_v<Kind, Refuse>)
          words[5] = static_cast<std::uint64_t>(it.RetryAfter.count());
        else
          words[5] = it.Replica;
      },
      action);
  Out.DecisionHash = XXH64(words.data(), sizeof(words), 0);
}

void Simulation::apply(const Admit &action) {
  if (!Correctness.decided(action.Request))
    return;
  Callers.admitted(action.Request);
  std::uint64_t known = node(action.Replica).Known;
  Loop.after(NetworkDelay, [this, action, known] {
    startOn(action.Replica, action.Request, known);
  });
}

void Simulation::startOn(ReplicaKey replica, RequestKey request,
                         std::uint64_t known) {
  auto &engine = *node(replica).Engine;
  auto details = Callers.engineRequest(request);
  auto answer = engine.start(details);
  if (answer == EngineAnswer::Runs)
    return checkRule(replica, details.Adapter);
  bool policyKnew =
      answer == EngineAnswer::NotLoaded && known == engine.incarnation();
  if (policyKnew)
    Correctness.wrongAdapter();
  else
    ++Out.StaleAdmits;
  Callers.notRun(request);
}

void Simulation::checkRule(ReplicaKey replica, AdapterKey adapter) {
  DomainKey domain = Work.ruledDomain(adapter);
  if (domain && domain != node(replica).Properties.Domain)
    Correctness.outsideRule();
}

void Simulation::apply(const Refuse &action) {
  if (!Correctness.decided(action.Request))
    return;
  Callers.refused(action.Request, action.RetryAfter);
}

void Simulation::apply(const Load &action) {
  LoadFailed noAnswer{action.Replica, action.Adapter, action.Order, true};
  if (orderLost())
    return driveAfter(OrderTimeout, noAnswer);
  Loop.after(NetworkDelay, [this, action, noAnswer, owner = Owner] {
    auto done = [this, action, noAnswer, owner](bool worked) {
      if (!worked)
        ++Out.LoadsFailed;
      if (owner != Owner)
        return;
      if (orderLost())
        driveAfter(OrderTimeout, noAnswer);
      else if (worked)
        driveLater(LoadDone{action.Replica, action.Adapter, action.Order});
      else
        driveLater(LoadFailed{action.Replica, action.Adapter, action.Order});
    };
    node(action.Replica).Engine->load(action.Adapter, done);
  });
}

void Simulation::apply(const Evict &action) {
  ++Out.Evictions;
  EvictDone refused{action.Replica, action.Adapter, true, action.Order};
  if (Lease != LeaseMode::Held) {
    // The sender checks its lease before sending, and so doesn't send this
    // command.
    Correctness.evicted(0, false);
    return driveLater(refused);
  }
  EvictDone noAnswer{action.Replica, action.Adapter, false, action.Order, true};
  if (orderLost())
    return driveAfter(OrderTimeout, noAnswer);
  Loop.after(NetworkDelay, [this, action, refused, noAnswer, owner = Owner] {
    auto &engine = *node(action.Replica).Engine;
    if (engine.up())
      Correctness.evicted(engine.evict(action.Adapter), true);
    if (owner != Owner)
      return;
    EvictDone done{action.Replica, action.Adapter, false, action.Order};
    if (orderLost())
      driveAfter(OrderTimeout, noAnswer);
    else
      driveLater(engine.up() ? done : refused);
  });
}

bool Simulation::orderLost() {
  return Work.LostOrders > 0 && Draw.uniform() < Work.LostOrders;
}

void Simulation::apply(const CancelLoad &action) {
  ++Out.LoadsCancelled;
  Loop.after(NetworkDelay, [this, action] {
    node(action.Replica).Engine->cancelLoad(action.Adapter);
  });
}

void Simulation::scheduleTick() {
  Loop.after(TickPeriod, [this] {
    drive(Tick{});
    scheduleTick();
  });
}

void Simulation::scheduleReports() {
  for (ReplicaKey it = 1; it <= Nodes.size(); ++it) {
    double phase = static_cast<double>(it) / static_cast<double>(Nodes.size());
    Loop.after(seconds(phase * Work.ReportPeriodS),
               [this, it] { repeatReport(it); });
  }
}

void Simulation::repeatReport(ReplicaKey replica) {
  sendReport(replica);
  Loop.after(seconds(Work.ReportPeriodS),
             [this, replica] { repeatReport(replica); });
}

void Simulation::sendReport(ReplicaKey replica) {
  auto &engine = *node(replica).Engine;
  bool missing = Draw.uniform() < Work.ReportGaps;
  if (!engine.up() || missing) {
    driveLater(ReplicaReportMissed{replica});
    return;
  }
  auto report = engine.report();
  report.Replica = replica;
  Loop.after(seconds(Work.ReportLagS), [this, report, owner = Owner] {
    if (owner != Owner)
      return;
    node(report.Replica).Known = report.Incarnation;
    drive(report);
  });
}

void Simulation::recordBatchFill() {
  EngineWork sum;
  for (auto &it : Nodes) {
    auto work = it.Engine->work();
    sum.StepRoom += work.StepRoom;
    sum.StepRequests += work.StepRequests;
  }
  Out.BatchFill = sum.StepRoom > 0 ? sum.StepRequests / sum.StepRoom : 0;
}

} // namespace hemlockglade::bench
