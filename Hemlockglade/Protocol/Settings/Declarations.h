#pragma once

#include "Hemlockglade/Protocol/ProtocolError.h"
#include "Hemlockglade/Protocol/Settings/SettingsFault.h"
#include "Hemlockglade/State/Catalog.h"

#include <tl/expected.hpp>

namespace hemlockglade {

/// Reads the operators' declarations (YAML) into a catalog; `file` is the name
/// that faults give. Either the whole file is right, references included, or
/// all its faults are reported.
tl::expected<Catalog, SettingsFaults>
checkDeclarations(const std::string &text, const std::string &file);

/// As `checkDeclarations`, with the faults as the text of one error.
tl::expected<Catalog, ProtocolError> readDeclarations(const std::string &text);

/// Writes a catalog as declarations, in a fixed order: reading them gives an
/// equal catalog, but for the revision.
std::string writeDeclarations(const Catalog &catalog);

} // namespace hemlockglade
