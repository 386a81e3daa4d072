#pragma once

#include "Hemlockglade/Coordination/Decision/CellState.h"

#include <list>

namespace hemlockglade {

/// Issues the load, evict and cancel orders of one cell: for waiting requests,
/// for operators, for pins, and for prefetch.
class OrderPlanner {
public:
  explicit OrderPlanner(CellState &state) : State(state) {}

  /// Issues all orders that are due.
  void run();
  /// Cancels loads that no request waits for any more.
  void cancelUnwanted();

  void onPinChanged(const PinChanged &event);
  void onRuleChanged(const RuleChanged &event);
  void onOperatorLoad(const OperatorLoad &event);

private:
  /// Restricts where a load or an eviction may take place.
  struct Constraint {
    /// 0 for any failure domain.
    DomainKey Domain = 0;
    /// 0 for any replica.
    ReplicaKey Replica = 0;
  };
  struct PendingOperatorLoad {
    OperatorLoad Load;
    Instant Since{};
  };

  void endBackoffs();
  void loadForOperators();
  void loadForDemand();
  void loadForPins();
  void prefetch();
  void makeRoom();
  /// Cancels a prefetch that delays loads for waiting requests.
  void cancelPrefetch();

  /// Returns the best replica for a load that needs no eviction; null if there
  /// is none.
  Replica *findTarget(const ActiveAdapter &active, Constraint constraint);
  bool canTake(Replica &replica, const ActiveAdapter &active,
               Constraint constraint);
  bool isBetterTarget(Replica &left, Replica &right,
                      const ActiveAdapter &active) const;
  std::size_t countCopiesIn(DomainKey domain,
                            const ActiveAdapter &active) const;
  bool isSlotExpected(const ActiveAdapter &active, Constraint constraint);
  void load(Replica &replica, AdapterKey adapter, Reason why);
  bool evictFor(const ActiveAdapter &active, Constraint constraint);
  bool canEvict(const EvictionPolicy::Victim &victim,
                const ActiveAdapter &active, Constraint constraint);
  bool isPinned(const Replica &replica, const ActiveAdapter &active) const;
  /// Returns a pin that lacks copies; null if none does.
  const PinTarget *findUnmetPin(const ActiveAdapter &active) const;
  /// Returns the number of copies that count for the pin; with `loading`, those
  /// that are being loaded count too.
  std::uint32_t countCopies(const PinTarget &pin, const ActiveAdapter &active,
                            bool loading) const;
  bool hasDemand() const { return State.Planner.size() != 0; }
  void cancel(const OpenOrder &open);

  CellState &State;
  std::list<PendingOperatorLoad> OperatorLoads;
  /// No eviction is attempted before this time, because the last one found no
  /// victim.
  Instant NextEvictionAt{};
  Instant NextPinLoadAt{};
  /// Loads for waiting requests since the last load for a pin.
  std::uint32_t DemandLoadsSincePin = 0;
};

} // namespace hemlockglade
