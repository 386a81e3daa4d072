#pragma once

#include "Hemlockglade/State/Routing/ReplicaRecord.h"
#include "Hemlockglade/State/Routing/RoutePlan.h"

#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <tl/expected.hpp>

namespace hemlockglade {

/// Error of a poll of the registry.
enum class RegistryError : std::uint8_t {
  /// The registry did not answer, or rejected the call.
  Unavailable,
  /// Changes since the position are no longer available: everything has to be
  /// read again.
  HistoryLost,
};

/// What operators have declared, or the changes to it.
struct OperatorChanges {
  /// The newest plan, if it changed.
  std::shared_ptr<const RoutePlan> Plan;
  std::vector<WeightsVersion> Versions;
  /// Position after these changes, for the next poll.
  std::uint64_t Position = 0;
  /// Whether anything changed, including entries that are neither plans nor
  /// versions.
  bool HasChanges = false;
};

/// The replicas that are registered, or the changes to them.
struct ReplicaChanges {
  /// Whether this is the complete list rather than changes.
  bool Complete = false;
  std::vector<ReplicaRecord> Present;
  /// Ids of replicas whose entries were removed.
  std::vector<std::string> Removed;
  std::uint64_t Position = 0;
  /// Ids whose entries can't be parsed as a replica. The last known state of
  /// these replicas stays.
  std::vector<std::string> Unreadable = {};
  /// The registry was restored to an older state: entries that are missing may
  /// be written again.
  bool RolledBack = false;
};

template <typename T>
using RegistryCallback = std::function<void(tl::expected<T, RegistryError>)>;

/// Access to operators' declarations and to replicas. Every asynchronous
/// function returns immediately and calls back later.
struct RegistryHooks {
  /// Reads everything that operators have declared.
  std::function<void(RegistryCallback<OperatorChanges>)> ReadOperator;
  /// Waits up to `wait` for changes after the position.
  std::function<void(std::uint64_t position, Span wait,
                     RegistryCallback<OperatorChanges>)>
      WatchOperator;
  std::function<void(RegistryCallback<ReplicaChanges>)> ReadReplicas;
  std::function<void(std::uint64_t position, RegistryCallback<ReplicaChanges>)>
      WatchReplicas;
  /// Parse the `Source` of a plan or a replica that another node forwarded.
  std::function<std::shared_ptr<const RoutePlan>(std::string_view source)>
      ParsePlan;
  std::function<std::optional<ReplicaRecord>(std::string_view id,
                                             std::string_view source)>
      ParseReplica;
};

/// Number of calls to the registry and the table, by purpose.
struct RegistryCalls {
  /// Polls of operators' declarations, and of replicas.
  std::uint64_t Operator = 0;
  std::uint64_t Replicas = 0;
  /// Reads and writes of lease rows.
  std::uint64_t LeaseReads = 0;
  std::uint64_t LeaseWrites = 0;
};

} // namespace hemlockglade
