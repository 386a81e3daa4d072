#pragma once

#include "Hemlockglade/Coordination/Decision/CoreTypes.h"

#include <deque>
#include <memory_resource>
#include <set>

namespace hemlockglade {

/// A waiting request's place in its adapter's queue; the lowest goes first.
struct WaitKey {
  /// Time of arrival, moved ahead by the class priority.
  Instant Rank{};
  RequestKey Request = 0;

  // The linter takes the zero of the comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const WaitKey &) const = default;
};

/// Copies of an adapter that operators want to stay loaded.
struct PinWish {
  /// 0 for any failure domain.
  DomainKey Domain = 0;
  std::uint32_t Copies = 0;
};

/// An adapter that is loaded, waited for, pinned, bound by a rule or failing.
struct ActiveAdapter {
  explicit ActiveAdapter(std::pmr::memory_resource *memory) : Queue(memory) {}

  AdapterKey Key = NoAdapter;
  /// Replicas whose books name the adapter, in whatever state.
  std::vector<ReplicaKey> Holders;
  std::pmr::set<WaitKey> Queue;
  /// Sum of the class weights of the waiting requests.
  std::uint64_t Weight = 0;
  /// Deadline of the first request in the queue.
  Instant HeadDeadline{};
  std::vector<PinWish> Pins;
  /// Failure domains that a rule allows, sorted; empty for all.
  std::vector<DomainKey> Domains;
  /// No load is tried before.
  Instant NotBefore{};
  /// Loads that failed since the last that did not.
  std::uint32_t Failures = 0;
  /// Whether it stands in the load planner's indexes, and under which keys.
  bool Planned = false;
  /// The load would be a further copy.
  bool Copy = false;
  std::uint64_t PlannedWeight = 0;
  Instant PlannedDeadline{};
  /// Class of the first request at the time of planning.
  std::uint8_t PlannedPriority = 0;

  /// Whether a rule lets the adapter's work run in `domain`.
  bool allows(DomainKey domain) const;
};

/// Finds adapters by key. An idle adapter costs four bytes here.
class AdapterTable {
public:
  explicit AdapterTable(std::pmr::memory_resource *memory) : Memory(memory) {}

  /// The adapter if it is active.
  ActiveAdapter *find(AdapterKey adapter);
  const ActiveAdapter *find(AdapterKey adapter) const;
  /// The adapter, made active.
  ActiveAdapter &obtain(AdapterKey adapter);
  /// Forgets the adapter if nothing is known of it.
  void release(AdapterKey adapter);

private:
  std::pmr::memory_resource *Memory;
  /// Index into `Pool` plus one; 0 if idle.
  std::vector<std::uint32_t> Index;
  std::deque<ActiveAdapter> Pool;
  std::vector<std::uint32_t> Free;
};

} // namespace hemlockglade
