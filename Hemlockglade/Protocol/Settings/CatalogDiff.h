#pragma once

#include "Hemlockglade/State/Catalog.h"

namespace hemlockglade {

/// Returns the differences between two catalogs, one readable line each: `+`
/// marks what was added, `-` what was removed, and `~` what was changed, with
/// the old and the new values. The result is empty if the catalogs are equal;
/// their revisions are not compared.
std::vector<std::string> diffCatalogs(const Catalog &before,
                                      const Catalog &after);

} // namespace hemlockglade
