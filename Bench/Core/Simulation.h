#pragma once

#include "Bench/Core/FakeCallers.h"
#include "Bench/Core/Policy.h"

#include <memory>

namespace hemlockglade::bench {

/// One run: a policy that decides for a cell of fake engines, a fake weight
/// store and fake callers, in virtual time.
class Simulation {
public:
  Simulation(const Workload &workload, const PolicyEntry &policy,
             std::uint64_t seed);

  /// Runs to the end and gives what was measured.
  Figures run();

private:
  struct Node {
    ReplicaAdded Properties;
    std::unique_ptr<FakeEngine> Engine;
    /// The incarnation that the policy has been told of.
    std::uint64_t Known = 0;
  };

  void drain();
  void addEngines(const EngineGroup &group);
  void beginOwnership(LeaseMode mode);
  void setLease(LeaseMode mode);
  void drive(const Event &event);
  /// Drives the event after the network's delay, unless the owner changed.
  void driveLater(const Event &event);
  void driveAfter(Span delay, const Event &event);
  /// Draws whether an order or its answer is lost.
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
  void noteBatchFill();
  Node &node(ReplicaKey replica) { return Nodes[replica - 1]; }

  Workload Work;
  const PolicyEntry &Entry;
  std::uint64_t Seed;
  Trace Requests;
  Figures Out;
  VirtualLoop Loop;
  FakeWeightStore Store;
  ResidencyClock Residency;
  Checker Judge;
  FakeCallers Callers;
  Random Draw;
  std::vector<Node> Nodes;
  Policy Decide;
  LeaseMode Lease = LeaseMode::None;
  /// Rises when another node takes over; stale callbacks compare it.
  std::uint64_t Owner = 0;
  std::vector<Action> Actions;
};

} // namespace hemlockglade::bench
