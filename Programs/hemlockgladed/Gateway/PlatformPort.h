#pragma once

#include "Hemlockglade/Coordination/Orders/EngineOrder.h"
#include "Hemlockglade/Coordination/Registry/Registry.h"
#include "Hemlockglade/Coordination/Table.h"
#include "Hemlockglade/Protocol/Exchange/RequestLabels.h"
#include "Hemlockglade/Transport/Http1/HeldMemory.h"

#include <memory>

namespace hemlockglade {

/// A caller's request for the addresses of the nodes in service.
struct AddressQuery {
  /// Failure domain that the caller is in; empty if it isn't given.
  std::string FailureDomain;
};

/// Parses and answers callers' requests for addresses and for readiness.
struct DirectoryHooks {
  /// Parses a request target; nothing if it doesn't ask for addresses.
  std::function<std::optional<AddressQuery>(std::string_view target)> Read;
  /// Returns the body of the answer.
  std::function<std::string(const std::vector<std::string> &addresses,
                            Span timeToLive)>
      Write;
  /// Returns whether a request target asks for the node's readiness.
  std::function<bool(std::string_view target)> AsksReadiness;
};

/// What the gateway uses of the platform: the registry, the table, the engines'
/// control calls, and the formats of labels and addresses.
struct PlatformPort {
  RegistryHooks Registry;
  TableHooks Table;
  EngineHooks Engines;
  LabelHooks Labels;
  DirectoryHooks Directory;
  /// Sets what is called with each answer of an engine to an order or a report.
  /// May be unset.
  std::function<void(OnReplicaAnswer hook)> ObserveEngines;
  /// Closes connections that were idle for too long.
  std::function<void()> Tidy;
  /// Accounts for what the port's calls hold of incomplete answers, together
  /// with what the gateway itself holds. May be null.
  std::shared_ptr<HeldMemory> Memory;
  /// Returns the number of calls made to the registry and the table so far.
  std::function<RegistryCalls()> Calls;
};

} // namespace hemlockglade
