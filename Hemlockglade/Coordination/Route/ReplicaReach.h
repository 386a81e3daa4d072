#pragma once

#include "Hemlockglade/State/Routing/ReplicaRecord.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace hemlockglade {

/// What one node knows of its own connectivity to replicas: whether it is cut
/// off from all replicas of a service, which is not the same as these having
/// failed.
///
/// Evidence is the node's own connections only. A service counts as cut off if
/// connections to several of its replicas fail and none succeeds. Data on older
/// connections prove nothing, since a cut may affect new ones only, but the
/// replicas that sent them have to be tried before the verdict. Deterministic:
/// time is passed in, and it does no I/O.
class ReplicaReach {
public:
  struct Settings {
    /// Number of replicas that must be unreachable, or all if there are fewer:
    /// fewer than this may well have failed themselves.
    std::size_t MinFailed = 3;
    /// Number of replicas that must be connected to again, or all if there are
    /// fewer, before the service counts as reached.
    std::size_t MinRecovered = 2;
    /// How long a failed connection counts as evidence.
    Span FailureMemory = std::chrono::milliseconds(3000);
    /// Data of a service's replicas within this time make it unlikely that the
    /// node is cut off from them.
    Span HeardMemory = std::chrono::milliseconds(500);
    /// Time between two rounds of probes, before and after the verdict.
    Span SuspectedProbeInterval = std::chrono::milliseconds(150);
    Span CutOffProbeInterval = std::chrono::milliseconds(500);
    /// Time after which requests to several replicas without any data from the
    /// service make it suspected, and the time between probes for that.
    Span SilenceTimeout = std::chrono::milliseconds(500);
    Span SilenceProbeInterval = std::chrono::milliseconds(1000);
    /// For how long a connection or data show that a service is reached.
    Span ReachedMemory = std::chrono::seconds(10);
  };
  /// Change of the verdict on a service.
  struct Change {
    std::string Service;
    bool IsCutOff = false;
    /// Number of replicas that could not be connected to.
    std::size_t Failed = 0;
    /// Time since the first of these failures, or for how long the service was
    /// cut off.
    Span Since{0};
  };
  using ReplicasOf =
      std::function<std::vector<ReplicaPtr>(const std::string &service)>;

  /// `replicasOf` returns the usable replicas of a service.
  ReplicaReach(Settings settings, ReplicasOf replicasOf)
      : Options(settings), Replicas(std::move(replicasOf)) {}

  /// Called when a new connection to a replica was established.
  void onConnected(const ReplicaRecord &replica, Instant now);
  /// Called when a request is sent to a replica, on any connection.
  void onSent(const ReplicaRecord &replica, Instant now);
  /// Called when a connection to a replica broke while a request was there.
  void onBroken(const ReplicaRecord &replica, Instant now);
  /// Called when data from a replica have arrived.
  void onHeard(const ReplicaRecord &replica, Instant now);
  /// Called when no connection to a replica could be established.
  void onConnectFailed(const ReplicaRecord &replica, Instant now);

  /// Returns whether the node is cut off from all replicas of the service.
  bool isCutOff(const std::string &service) const;
  /// Returns the services that the node is cut off from.
  std::vector<std::string> cutOff() const;
  /// Returns the services that the node has reached lately.
  std::vector<std::string> reached(Instant now) const;
  /// Returns the replicas to which a connection should be tried now. Called
  /// several times a second.
  std::vector<ReplicaPtr> takeProbes(Instant now);
  /// Returns the changes of verdicts since the last call.
  std::vector<Change> takeChanges();

private:
  struct ServiceState {
    /// Replicas that could not be connected to since a connection to any of the
    /// service was last established, and when.
    std::map<std::string, Instant> Failed;
    std::optional<Instant> FirstFailureAt;
    /// When each replica last sent data or accepted a connection.
    std::map<std::string, Instant> HeardAt;
    /// Replicas that requests were sent to since data of the service were last
    /// received, and since when.
    std::set<std::string> Awaited;
    Instant AwaitedSince{};
    Instant ReachedAt{-3'600'000'000};
    Instant ProbedAt{-3'600'000'000};
    std::optional<Instant> CutOffSince;
    /// Replicas that were connected to while the service was cut off.
    std::set<std::string> Recovered;
  };

  void evaluate(const std::string &service, ServiceState &state, Instant now);
  /// Removes what has expired and replicas that are not usable any more.
  void prune(ServiceState &state, const std::vector<ReplicaPtr> &usable,
             Instant now) const;
  /// Whether several replicas were sent requests and none has sent data since.
  bool isSilent(const ServiceState &state, Instant now) const;
  bool needsProbe(const ServiceState &state, Instant now) const;
  std::vector<ReplicaPtr> chooseProbes(const ServiceState &state,
                                       const std::vector<ReplicaPtr> &usable,
                                       std::size_t count);

  Settings Options;
  ReplicasOf Replicas;
  std::map<std::string, ServiceState> Services;
  std::vector<Change> Changes;
  /// Rotates the replicas that are probed.
  std::size_t NextProbe = 0;
};

} // namespace hemlockglade
