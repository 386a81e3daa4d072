#pragma once

#include "Hemlockglade/Coordination/Decision/CellReplicas.h"
#include "Hemlockglade/Coordination/Decision/PrefixIndex.h"

namespace hemlockglade {

/// How requests are divided among the replicas that may serve them.
struct RoutingSettings {
  /// Compare in flight per unit of capacity; off: the plain number.
  bool PerCapacity = true;
  /// Prefer the replica that has the prompt's prefix cached.
  bool PrefixAffinity = true;
  /// Largest difference in load per unit of capacity for which a prompt of
  /// `FullBoundTokens` or more stays with its prefix; less for a shorter one.
  double AffinityBound = 0.25;
  std::uint32_t FullBoundTokens = 2000;
  /// Ties go to the larger capacity; off: to the lower number.
  bool TiesToCapacity = true;
  /// An engine that started cold counts less until warm.
  bool DerateCold = true;
  double ColdShare = 0.5;
  /// Requests after which an engine counts as warm.
  std::uint32_t ColdRequests = 32;
  /// Correct our books by what lagging reports show beyond them.
  bool CorrectReports = true;
  /// Prompt prefixes that are remembered.
  std::uint32_t Prefixes = 16384;
  /// Reports missed in a row after which a replica gets new work only if no
  /// other can take it, and after which it gets none.
  std::uint32_t SilentSuspect = 1;
  std::uint32_t SilentDown = 4;
};

/// Chooses the replica that serves a request.
class ReplicaChooser {
public:
  ReplicaChooser(const RoutingSettings &settings, double objective,
                 CellReplicas &book);

  /// Whether the replica may get new work at all.
  bool works(const Replica &replica) const;
  /// Whether it may get the adapter's, apart from room in its batch.
  bool serves(const Replica &replica, const ActiveAdapter &active) const;
  /// The best replica with room that has the adapter loaded; null if none.
  Replica *choose(const RequestArrived &request, const ActiveAdapter &active,
                  Reason &why);
  /// The request now runs on the replica.
  void admitted(const RequestArrived &request, const Replica &replica);

  /// Requests in flight per unit of capacity.
  double loadOf(const Replica &replica) const;

  /// 0 for few and short load stalls, 1 for full batches.
  void setObjective(double objective) { Objective = objective; }

private:
  bool better(const Replica &left, const Replica &right) const;
  double capacityOf(const Replica &replica) const;
  Replica *withPrefix(const RequestArrived &request,
                      const ActiveAdapter &active, const Replica &best);
  bool holds(Replica &replica, AdapterKey adapter);

  RoutingSettings Settings;
  double Objective;
  CellReplicas &Book;
  PrefixIndex Prefixes;
};

} // namespace hemlockglade
