#pragma once

#include <string>
#include <string_view>

namespace hemlockglade {

/// Percent-encodes a query value.
std::string urlEncode(std::string_view text);
/// Returns the decoded value of a query parameter; empty if it is missing.
std::string queryValue(std::string_view query, std::string_view name);
/// Returns the part of a request target after the question mark; empty if there
/// is none.
std::string_view queryOf(std::string_view target);

} // namespace hemlockglade
