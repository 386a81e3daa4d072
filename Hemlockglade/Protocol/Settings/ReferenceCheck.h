#pragma once

#include "Hemlockglade/Protocol/Settings/SchemaReader.h"
#include "Hemlockglade/State/Catalog.h"

namespace hemlockglade {

/// What a reference in the declarations must name.
enum class ReferenceKind : std::uint8_t {
  Service,
  /// A service of kind `engine`.
  EngineService,
  Replica,
  Adapter,
  /// `name@version` of a declared adapter that has this version.
  AdapterVersion,
  /// The failure domain of at least one declared replica.
  FailureDomain,
};

/// One reference and its position in the file.
struct Reference {
  ReferenceKind Kind = ReferenceKind::Service;
  std::string Value;
  YAML::Mark Mark;
  /// Path of the key whose value is the reference.
  std::string Key;
};

/// Collects references while a file is read, and checks them once the whole
/// catalog is known, since a reference may precede what it names.
class ReferenceCheck {
public:
  void add(Reference reference) { References.push_back(std::move(reference)); }
  /// Adds a fault for each reference that names nothing in the catalog.
  void check(const Catalog &catalog, FaultList &faults) const;

private:
  std::vector<Reference> References;
};

} // namespace hemlockglade
