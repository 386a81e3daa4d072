#pragma once

#include "Hemlockglade/Protocol/ProtocolError.h"
#include "Hemlockglade/State/Catalog.h"

#include <tl/expected.hpp>

namespace hemlockglade {

/// Reads the operators' declarations (YAML) into a catalog.
tl::expected<Catalog, ProtocolError> readDeclarations(const std::string &text);

/// Writes a catalog as declarations, in a fixed order.
std::string writeDeclarations(const Catalog &catalog);

} // namespace hemlockglade
