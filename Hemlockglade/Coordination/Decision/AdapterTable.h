#pragma once

#include "Hemlockglade/Coordination/Decision/CoreTypes.h"

#include <deque>
#include <memory_resource>
#include <set>

namespace hemlockglade {

/// A waiting request's position in its adapter's queue, in ascending order.
struct WaitKey {
  /// Time of arrival, made earlier by the class priority.
  Instant Rank{};
  RequestKey Request = 0;

  // The linter takes the zero of the comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const WaitKey &) const = default;
};

/// Number of copies of an adapter that operators want to keep loaded.
struct PinTarget {
  /// 0 for any failure domain.
  DomainKey Domain = 0;
  std::uint32_t Copies = 0;
};

/// An adapter that has residents, waiting requests, pins, a placement rule or
/// recent load failures.
struct ActiveAdapter {
  explicit ActiveAdapter(std::pmr::memory_resource *memory) : Queue(memory) {}

  AdapterKey Key = NoAdapter;
  /// Replicas on which the adapter has a resident, in whatever state.
  std::vector<ReplicaKey> Holders;
  std::pmr::set<WaitKey> Queue;
  /// Sum of the class weights of the waiting requests.
  std::uint64_t Weight = 0;
  /// Deadline of the first request in the queue.
  Instant HeadDeadline{};
  std::vector<PinTarget> Pins;
  /// Failure domains that a rule allows, sorted; empty for all.
  std::vector<DomainKey> Domains;
  /// No load is ordered before this time.
  Instant NotBefore{};
  /// Consecutive failed loads.
  std::uint32_t Failures = 0;
  /// Whether it is in the load planner's indexes; the `Planned...` members
  /// below are its keys there.
  bool Planned = false;
  /// The load would add a copy to those that serve already.
  bool Copy = false;
  std::uint64_t PlannedWeight = 0;
  Instant PlannedDeadline{};
  /// Class of the first waiting request when the adapter was entered.
  std::uint8_t PlannedPriority = 0;

  /// Returns whether the placement rule allows the adapter in `domain`.
  bool isAllowedIn(DomainKey domain) const;
};

/// Maps adapter keys to the state of active adapters. An idle adapter costs
/// four bytes.
class AdapterTable {
public:
  explicit AdapterTable(std::pmr::memory_resource *memory) : Memory(memory) {}

  /// Returns the adapter, or null if it is not active.
  ActiveAdapter *find(AdapterKey adapter);
  const ActiveAdapter *find(AdapterKey adapter) const;
  /// Returns the adapter; makes it active if it is not.
  ActiveAdapter &obtain(AdapterKey adapter);
  /// Makes the adapter idle if none of its state is worth keeping.
  void release(AdapterKey adapter);

private:
  std::pmr::memory_resource *Memory;
  /// Index into `Pool` plus one; 0 if idle.
  std::vector<std::uint32_t> Index;
  std::deque<ActiveAdapter> Pool;
  std::vector<std::uint32_t> Free;
};

} // namespace hemlockglade
