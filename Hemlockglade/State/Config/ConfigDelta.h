#pragma once

#include "Hemlockglade/State/Catalog.h"

#include <variant>

namespace hemlockglade {

/// A pin under the name that operators gave it.
struct PinEntry {
  std::string Name;
  PinConfig Pin;
  bool operator==(const PinEntry &) const = default;
};

/// A placement rule; its name is its position, as six digits.
struct RuleEntry {
  std::string Name;
  PlacementRule Rule;
  bool operator==(const RuleEntry &) const = default;
};

/// A replica that the operators are draining.
struct DrainEntry {
  /// Name of the replica.
  std::string Name;
  bool operator==(const DrainEntry &) const = default;
};

/// One entry of the configuration, of any kind.
using ConfigEntry = std::variant<ServiceConfig, ReplicaConfig, AdapterConfig,
                                 ServiceClass, PinEntry, RuleEntry, DrainEntry>;

/// One changed entry.
struct ConfigChange {
  /// The entry as it is from now on; of a removed one only the name counts.
  ConfigEntry Entry;
  bool Removed = false;
  bool operator==(const ConfigChange &) const = default;
};

/// What one accepted commit changed.
struct ConfigDelta {
  /// Revision that the configuration has once this is applied.
  Revision Number = 0;
  /// Id of the operator's command; a repeat has the same id.
  std::string CommandId;
  /// Who gave the command.
  std::string Operator;
  std::vector<ConfigChange> Changes;
  bool operator==(const ConfigDelta &) const = default;
};

/// Name of an entry within its kind.
const std::string &entryName(const ConfigEntry &entry);

} // namespace hemlockglade
