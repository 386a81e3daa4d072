#pragma once

#include "Hemlockglade/Protocol/Settings/SchemaReader.h"
#include "Hemlockglade/State/Catalog.h"

namespace hemlockglade {

/// What a reference in the declarations names.
enum class ReferenceKind : std::uint8_t {
  Service,
  /// A service of kind `engine`.
  EngineService,
  Replica,
  Adapter,
  /// `name@version` of an adapter that has this version.
  AdapterVersion,
  /// The failure domain of some replica.
  FailureDomain,
};

/// One reference and where it stands.
struct Reference {
  ReferenceKind Kind = ReferenceKind::Service;
  std::string Value;
  YAML::Mark Mark;
  /// Path of the key.
  std::string Key;
};

/// Collects references while a file is read, and checks them when all that
/// they may name is known.
class ReferenceCheck {
public:
  void add(Reference reference) { References.push_back(std::move(reference)); }
  /// Notes a fault for each reference that names nothing in the catalog.
  void check(const Catalog &catalog, FaultList &faults) const;

private:
  std::vector<Reference> References;
};

} // namespace hemlockglade
