#pragma once

#include "Hemlockglade/State/Catalog.h"

namespace hemlockglade {

/// What changes from one catalog to another, one readable line each: `+` is
/// added, `-` is removed, `~` is changed and gives the values before and after.
/// No line means that they are equal, but for the revision.
std::vector<std::string> diffCatalogs(const Catalog &before,
                                      const Catalog &after);

} // namespace hemlockglade
