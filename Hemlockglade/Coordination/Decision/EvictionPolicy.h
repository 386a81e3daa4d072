#pragma once

#include "Hemlockglade/Coordination/Decision/CellReplicas.h"
#include "Hemlockglade/Coordination/Decision/DemandEstimate.h"

#include <functional>

namespace hemlockglade {

/// Settings of eviction.
struct EvictionSettings {
  /// Minimum time from the load of an adapter to its eviction.
  Span MinResidency = std::chrono::milliseconds(1000);
  /// Time for which an order without a result may still be carried out. Only
  /// after it may a report settle the state or an eviction follow.
  Span UncertainPeriod = std::chrono::seconds(5);
  /// Value of one of several copies, as a fraction of the value of an only
  /// copy.
  double CopyValueFactor = 0.02;
  /// Order victims by the time of their last use instead of by demand.
  bool LeastRecentlyUsed = false;
  /// Maximum number of idle adapters to check for one victim.
  std::uint32_t CandidateLimit = 64;
};

/// Hooks of the eviction policy.
struct EvictionHooks {
  /// Replaces the estimate of demand, if set: the adapter with the lowest value
  /// is evicted first. All idle adapters are then checked.
  std::function<double(AdapterKey, Instant)> ValueOf;
};

/// Keeps the adapters without running requests in the order of eviction: by
/// expected demand times the cost of loading again.
class EvictionPolicy {
public:
  EvictionPolicy(const EvictionSettings &settings, EvictionHooks hooks,
                 const DemandEstimate &demand,
                 std::pmr::memory_resource *memory);

  /// Updates the adapter's position in the order; to be called after each
  /// change of the adapter, its demand, or the number of its copies.
  void refresh(const Replica &replica, Resident &resident, bool copies,
               Instant now);
  /// Removes the adapter from the order; to be called before the resident is
  /// removed.
  void forget(const Replica &replica, Resident &resident);

  /// A victim: an adapter on a replica.
  struct Victim {
    double Value = 0;
    ReplicaKey Replica = 0;
    AdapterKey Adapter = NoAdapter;

    // The linter takes the zero of the comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const Victim &) const = default;
  };

  /// Returns the idle adapter of the lowest value for which `canEvict` returns
  /// true.
  template <typename Predicate>
  std::optional<Victim> victim(Instant now, const Predicate &canEvict) const {
    if (Hooks.ValueOf)
      return victimByHook(now, canEvict);
    std::uint32_t n = 0;
    for (const auto &it : Order) {
      if (++n > Settings.CandidateLimit)
        break;
      if (canEvict(it))
        return it;
    }
    return std::nullopt;
  }

  /// Returns whether time and the engine's report allow the eviction of the
  /// resident; pins and the lease are for the caller to check.
  bool isEvictable(const Replica &replica, const Resident &resident,
                   Instant now, Instant ownerSince) const;

private:
  template <typename Predicate>
  std::optional<Victim> victimByHook(Instant now,
                                     const Predicate &canEvict) const {
    std::optional<Victim> best;
    for (auto it : Order) {
      it.Value = Hooks.ValueOf(it.Adapter, now);
      if ((!best || it < *best) && canEvict(it))
        best = it;
    }
    return best;
  }

  double valueOf(const Resident &resident, bool copies, Instant now) const;

  EvictionSettings Settings;
  EvictionHooks Hooks;
  const DemandEstimate &Demand;
  std::pmr::set<Victim> Order;
};

} // namespace hemlockglade
