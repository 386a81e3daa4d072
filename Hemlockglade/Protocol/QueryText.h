#pragma once

#include <string>
#include <string_view>

namespace hemlockglade {

/// Percent-encodes a query value.
std::string urlEncode(std::string_view text);
/// Value of a query parameter, decoded; empty if it is not there.
std::string queryValue(std::string_view query, std::string_view name);
/// What stands behind the question mark of a request target.
std::string_view queryOf(std::string_view target);

} // namespace hemlockglade
