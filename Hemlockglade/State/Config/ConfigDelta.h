#pragma once

#include "Hemlockglade/State/Catalog.h"

#include <variant>

namespace hemlockglade {

/// A pin and the name that operators gave it.
struct PinEntry {
  std::string Name;
  PinConfig Pin;
  bool operator==(const PinEntry &) const = default;
};

/// A placement rule. Its name is its position in the order of rules, as six
/// digits.
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
  /// The entry after the change; of a removed one only the name is used.
  ConfigEntry Entry;
  bool Removed = false;
  bool operator==(const ConfigChange &) const = default;
};

/// The changes of one accepted commit.
struct ConfigDelta {
  /// Revision of the configuration after this delta is applied.
  Revision Number = 0;
  /// Id of the operator's command; a retry has the same id.
  std::string CommandId;
  /// The operator who gave the command.
  std::string Operator;
  std::vector<ConfigChange> Changes;
  bool operator==(const ConfigDelta &) const = default;
};

/// Returns the name of an entry, which is unique within its kind.
const std::string &entryName(const ConfigEntry &entry);

} // namespace hemlockglade
