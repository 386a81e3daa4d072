#pragma once

#include "Hemlockglade/Coordination/Decision/CellState.h"

#include <list>

namespace hemlockglade {

/// Gives the load, evict and cancel orders of one cell: for waiting requests,
/// for operators, for pins, and ahead of demand.
class OrderPlanner {
public:
  explicit OrderPlanner(CellState &state) : State(state) {}

  /// Gives all orders that are due now.
  void run();
  /// Takes back loads that nobody waits for any more.
  void cancelUnwanted();

  void pinChanged(const PinChanged &event);
  void ruleChanged(const RuleChanged &event);
  void operatorLoad(const OperatorLoad &event);

private:
  /// Where a load or an eviction may take place.
  struct Bounds {
    /// 0 for any failure domain.
    DomainKey Domain = 0;
    /// 0 for any replica.
    ReplicaKey Replica = 0;
  };
  struct OperatorWish {
    OperatorLoad Load;
    Instant Since{};
  };

  void endBackoffs();
  void loadForOperators();
  void loadForDemand();
  void loadForPins();
  void prefetch();
  void makeRoom();
  /// Takes back a prefetch that stands in the way of demand.
  void cancelPrefetch();

  /// The best replica for a load that needs no eviction; null if none.
  Replica *target(const ActiveAdapter &active, Bounds bounds);
  bool mayTake(Replica &replica, const ActiveAdapter &active, Bounds bounds);
  bool betterTarget(Replica &left, Replica &right,
                    const ActiveAdapter &active) const;
  std::size_t copiesIn(DomainKey domain, const ActiveAdapter &active) const;
  bool roomComes(const ActiveAdapter &active, Bounds bounds);
  void load(Replica &replica, AdapterKey adapter, Reason why);
  bool evictFor(const ActiveAdapter &active, Bounds bounds);
  bool mayEvict(const EvictionPolicy::Victim &victim,
                const ActiveAdapter &active, Bounds bounds);
  bool isPinned(const Replica &replica, const ActiveAdapter &active) const;
  /// The pin's wish that is not met yet; null if all are.
  const PinWish *unmetPin(const ActiveAdapter &active) const;
  /// Copies that count for the pin; `loading`: with those on their way.
  std::uint32_t copiesFor(const PinWish &pin, const ActiveAdapter &active,
                          bool loading) const;
  bool demandWaits() const { return State.Planner.size() != 0; }
  void cancel(const OpenOrder &open);

  CellState &State;
  std::list<OperatorWish> Wishes;
  /// Nothing could be evicted; not tried again before.
  Instant NoVictimBefore{};
  Instant NoPinBefore{};
  /// Loads for demand since the last for a pin.
  std::uint32_t SincePin = 0;
};

} // namespace hemlockglade
