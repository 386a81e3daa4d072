#pragma once

#include "Hemlockglade/Coordination/Decision/CellReplicas.h"
#include "Hemlockglade/Coordination/Decision/DemandEstimate.h"

#include <functional>

namespace hemlockglade {

/// When and what to evict.
struct EvictionSettings {
  /// An adapter stays at least this long after it was loaded.
  Span MinResidency = std::chrono::milliseconds(1000);
  /// An order without a result may still be carried out for this long; only
  /// then may a report settle it or an eviction follow.
  Span UncertainFor = std::chrono::seconds(5);
  /// What one of several copies is worth, as a part of the only one.
  double CopyWorth = 0.02;
  /// Order victims by the time of their last use instead of by demand.
  bool LeastRecentlyUsed = false;
  /// Idle adapters looked at for one victim.
  std::uint32_t LookAt = 64;
};

/// Hooks of the eviction policy.
struct EvictionHooks {
  /// Stands in for the estimate of demand, if set: the adapter with the
  /// lowest value goes first. All idle adapters are then looked at.
  std::function<double(AdapterKey, Instant)> ValueOf;
};

/// Keeps the adapters that run nothing in the order in which they would be
/// evicted: by expected demand times the cost of loading again.
class EvictionPolicy {
public:
  EvictionPolicy(const EvictionSettings &settings, EvictionHooks hooks,
                 const DemandEstimate &demand,
                 std::pmr::memory_resource *memory);

  /// Brings the adapter's place in the order up to date; to be called after
  /// each change of it, its demand, or the number of its copies.
  void refresh(const Replica &replica, Resident &resident, bool copies,
               Instant now);
  /// Takes the adapter out of the order, before it is struck out.
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

  /// The idle adapter of least value that `may` lets go.
  template <typename MayEvict>
  std::optional<Victim> victim(Instant now, const MayEvict &may) const {
    if (Hooks.ValueOf)
      return victimByHook(now, may);
    std::uint32_t n = 0;
    for (const auto &it : Order) {
      if (++n > Settings.LookAt)
        break;
      if (may(it))
        return it;
    }
    return std::nullopt;
  }

  /// Whether the resident may go as far as time and the engine's report are
  /// concerned; pins and leases are the caller's to look at.
  bool mayGo(const Replica &replica, const Resident &resident, Instant now,
             Instant ownerSince) const;

private:
  template <typename MayEvict>
  std::optional<Victim> victimByHook(Instant now, const MayEvict &may) const {
    std::optional<Victim> best;
    for (auto it : Order) {
      it.Value = Hooks.ValueOf(it.Adapter, now);
      if ((!best || it < *best) && may(it))
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
