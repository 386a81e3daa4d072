#pragma once

#include "Hemlockglade/State/Routing/ReplicaRecord.h"
#include "Hemlockglade/State/Routing/RoutePlan.h"

#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <tl/expected.hpp>

namespace hemlockglade {

/// How a look at the registry failed.
enum class RegistryError : std::uint8_t {
  /// The registry did not answer, or turned the call away.
  Unavailable,
  /// Changes since the position are no longer known: read everything anew.
  HistoryGone,
};

/// What operators have declared, or what has changed of it.
struct OperatorChanges {
  /// The newest plan, if it is among the changes.
  std::shared_ptr<const RoutePlan> Plan;
  std::vector<WeightsVersion> Versions;
  /// Position behind these changes, for the next look.
  std::uint64_t Position = 0;
  /// Whether anything had changed, also what is none of these.
  bool Any = false;
};

/// The replicas that are registered, or what has changed of them.
struct ReplicaChanges {
  /// Whether this is the whole list rather than changes.
  bool Complete = false;
  std::vector<ReplicaRecord> Present;
  /// Ids of replicas whose entries were removed.
  std::vector<std::string> Removed;
  std::uint64_t Position = 0;
  /// Ids under which something lies that is no replica's entry. Nothing new is
  /// known of these replicas.
  std::vector<std::string> Unreadable = {};
  /// The registry has come back older than it was: entries that are missing may
  /// be written again.
  bool RolledBack = false;
};

template <typename T>
using RegistryCallback = std::function<void(tl::expected<T, RegistryError>)>;

/// Where operators' declarations and replicas are found. Every function returns
/// at once and calls back later.
struct RegistryHooks {
  /// Everything that operators have declared.
  std::function<void(RegistryCallback<OperatorChanges>)> ReadOperator;
  /// Waits up to `wait` for changes behind the position.
  std::function<void(std::uint64_t position, Span wait,
                     RegistryCallback<OperatorChanges>)>
      WatchOperator;
  std::function<void(RegistryCallback<ReplicaChanges>)> ReadReplicas;
  std::function<void(std::uint64_t position, RegistryCallback<ReplicaChanges>)>
      WatchReplicas;
  /// Read what another node passes on: `Source` of a plan or a replica.
  std::function<std::shared_ptr<const RoutePlan>(std::string_view source)>
      ParsePlan;
  std::function<std::optional<ReplicaRecord>(std::string_view id,
                                             std::string_view source)>
      ParseReplica;
};

/// Calls to the registry and the table, by what they were for.
struct RegistryCalls {
  /// Looks at operators' declarations, and at replicas.
  std::uint64_t Operator = 0;
  std::uint64_t Replicas = 0;
  /// Reads and writes of lease rows.
  std::uint64_t LeaseReads = 0;
  std::uint64_t LeaseWrites = 0;
};

} // namespace hemlockglade
