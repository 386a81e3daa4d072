#pragma once

#include "Hemlockglade/Coordination/Orders/EngineOrder.h"
#include "Hemlockglade/Coordination/Registry/Registry.h"
#include "Hemlockglade/Coordination/Table.h"
#include "Hemlockglade/Protocol/Exchange/RequestLabels.h"

namespace hemlockglade {

/// Who asks for addresses, and from where.
struct AddressQuery {
  std::string FailureDomain;
};

/// How a caller's question for addresses is read and answered.
struct DirectoryHooks {
  /// Nothing if the target is no such question.
  std::function<std::optional<AddressQuery>(std::string_view target)> Read;
  std::function<std::string(const std::vector<std::string> &addresses,
                            Span timeToLive)>
      Write;
  /// Whether a target asks for readiness.
  std::function<bool(std::string_view target)> AsksReadiness;
};

/// Everything that the gateway needs of the outside, in its own terms.
struct PlatformPort {
  RegistryHooks Registry;
  TableHooks Table;
  EngineHooks Engines;
  LabelHooks Labels;
  DirectoryHooks Directory;
  /// Drops connections that rested too long.
  std::function<void()> Tidy;
  /// Calls made to the registry and table so far.
  std::function<RegistryCalls()> Calls;
};

} // namespace hemlockglade
