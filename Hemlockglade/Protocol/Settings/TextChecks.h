#pragma once

#include <string_view>

namespace hemlockglade {

/// Returns whether the text is a name: a letter or digit, followed by letters,
/// digits, `.`, `_` or `-`; at most 64 bytes.
bool isName(std::string_view text);

/// Returns whether the text is a numeric IPv4 address.
bool isIpv4Address(std::string_view text);

/// Returns whether the text is a numeric `ip:port` with a port from 1 to 65535;
/// an IPv6 address must be in brackets.
bool isEndpointAddress(std::string_view text);

/// Returns whether the text is `http://` or `https://` followed by at least one
/// byte.
bool isUrl(std::string_view text);

} // namespace hemlockglade
