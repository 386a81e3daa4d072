#pragma once

#include "Hemlockglade/Protocol/ProtocolError.h"
#include "Hemlockglade/Protocol/Settings/SettingsFault.h"
#include "Hemlockglade/State/Catalog.h"

#include <tl/expected.hpp>

namespace hemlockglade {

/// Parses the operators' declarations (YAML) into a catalog. `file` is the file
/// name given in faults. If anything in the file is invalid, references
/// included, all faults are returned and no catalog.
tl::expected<Catalog, SettingsFaults>
checkDeclarations(const std::string &text, const std::string &file);

/// Like `checkDeclarations`, but returns the faults as the text of one error.
tl::expected<Catalog, ProtocolError> readDeclarations(const std::string &text);

/// Writes a catalog as declarations, in a fixed order. Reading them back gives
/// an equal catalog, except for the revision, which is not written.
std::string writeDeclarations(const Catalog &catalog);

} // namespace hemlockglade
