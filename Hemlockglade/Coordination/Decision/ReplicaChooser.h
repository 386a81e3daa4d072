#pragma once

#include "Hemlockglade/Coordination/Decision/CellReplicas.h"
#include "Hemlockglade/Coordination/Decision/PrefixIndex.h"

namespace hemlockglade {

/// Settings of the distribution of requests over the replicas that can serve
/// them.
struct RoutingSettings {
  /// Compare the requests in flight per unit of capacity; if false, their plain
  /// number.
  bool PerCapacity = true;
  /// Prefer the replica that has the prompt's prefix cached.
  bool PrefixAffinity = true;
  /// Maximum difference in load per unit of capacity at which a prompt of
  /// `FullBoundTokens` or more is sent to the replica that has its prefix;
  /// proportionally less for a shorter one.
  double AffinityBound = 0.25;
  std::uint32_t FullBoundTokens = 2000;
  /// Prefer the larger capacity among equal loads; if false, the lower replica
  /// key.
  bool TiesToCapacity = true;
  /// Reduce the capacity of an engine that started cold until it is warm.
  bool DerateCold = true;
  double ColdCapacityFactor = 0.5;
  /// Number of requests after which an engine counts as warm.
  std::uint32_t WarmupRequests = 32;
  /// Add the requests that reports show beyond those on record.
  bool CountUntracked = true;
  /// Number of prompt prefixes to keep.
  std::uint32_t Prefixes = 16384;
  /// Consecutive missed reports after which a replica gets new work only if no
  /// other replica can take it, and after which it gets none.
  std::uint32_t SuspectAfterMissed = 1;
  std::uint32_t DownAfterMissed = 4;
};

/// Chooses the replica that serves a request.
class ReplicaChooser {
public:
  ReplicaChooser(const RoutingSettings &settings, double objective,
                 CellReplicas &replicas);

  /// Returns whether the replica can get new work at all.
  bool canTakeWork(const Replica &replica) const;
  /// Returns whether the replica can get the adapter's work, regardless of room
  /// in its batch.
  bool canServe(const Replica &replica, const ActiveAdapter &active) const;
  /// Returns the best replica with room that has the adapter loaded; null if
  /// there is none.
  Replica *choose(const RequestArrived &request, const ActiveAdapter &active,
                  Reason &why);
  /// Called when the request was admitted to the replica.
  void onAdmitted(const RequestArrived &request, const Replica &replica);

  /// Returns the requests in flight per unit of capacity.
  double loadOf(const Replica &replica) const;

  /// Sets what is optimised: 0 for few and short load stalls, 1 for full
  /// batches.
  void setObjective(double objective) { Objective = objective; }

private:
  bool isBetter(const Replica &left, const Replica &right) const;
  double capacityOf(const Replica &replica) const;
  Replica *findCached(const RequestArrived &request,
                      const ActiveAdapter &active, const Replica &best);
  bool hasLoaded(Replica &replica, AdapterKey adapter);

  RoutingSettings Settings;
  double Objective;
  CellReplicas &Replicas;
  PrefixIndex Prefixes;
};

} // namespace hemlockglade
