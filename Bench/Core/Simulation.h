#pragma once

#include "Bench/Core/FakeCallers.h"
#include "Bench/Core/Policy.h"

#include <memory>

namespace hemlockglade::bench {

/// One run in virtual time: a policy decides for a cell of fake engines with a
/// fake weight store and fake callers.
class Simulation {
public:
  Simulation(const Workload &workload, const PolicyEntry &policy,
             std::uint64_t seed);

  /// Runs to the end and returns the figures.
  Figures run();

private:
  struct Node {
    ReplicaAdded Properties;
    std::unique_ptr<FakeEngine> Engine;
    /// The incarnation that the policy has received in a report.
    std::uint64_t Known = 0;
  };

  void drain();
  void addEngines(const EngineGroup &group);
  void beginOwnership(LeaseMode mode);
  void setLease(LeaseMode mode);
  void drive(const Event &event);
  /// Passes the event to the policy after the network delay, unless the owner
  /// has changed by then.
  void driveLater(const Event &event);
  void driveAfter(Span delay, const Event &event);
  /// Draws whether a command or its answer is lost.
  bool orderLost();
  void apply(const Admit &action);
  void apply(const Refuse &action);
  void apply(const Load &action);
  void apply(const Evict &action);
  void apply(const CancelLoad &action);
  void startOn(ReplicaKey replica, RequestKey request, std::uint64_t known);
  void checkRule(ReplicaKey replica, AdapterKey adapter);
  void hashAction(const Action &action);

  void scheduleTick();
  void scheduleReports();
  void repeatReport(ReplicaKey replica);
  void sendReport(ReplicaKey replica);
  void scheduleFault(const Fault &fault);
  void takeEnginesDown(const Fault &fault);
  void takeOver(const Fault &fault);
  void adoptRunning();
  void recordBatchFill();
  Node &node(ReplicaKey replica) { return Nodes[replica - 1]; }

  Workload Work;
  const PolicyEntry &Entry;
  std::uint64_t Seed;
  Trace Requests;
  Figures Out;
  VirtualLoop Loop;
  FakeWeightStore Store;
  ResidencyClock Residency;
  Checker Correctness;
  FakeCallers Callers;
  Random Draw;
  std::vector<Node> Nodes;
  Policy Decide;
  LeaseMode Lease = LeaseMode::None;
  /// Incremented when another node takes over; callbacks compare it to detect
  /// that they are stale.
  std::uint64_t Owner = 0;
  std::vector<Action> Actions;
};

} // namespace hemlockglade::bench
