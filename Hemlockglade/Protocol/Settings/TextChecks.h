#pragma once

#include <string_view>

namespace hemlockglade {

/// Whether the text is a name: a letter or digit, then letters, digits, `.`,
/// `_` or `-`; at most 64 bytes.
bool isName(std::string_view text);

/// Whether the text is a numeric IPv4 address.
bool isIpv4Address(std::string_view text);

/// Whether the text is a numeric `ip:port` with a port from 1 to 65535; an
/// IPv6 address stands in brackets.
bool isEndpointAddress(std::string_view text);

/// Whether the text starts with `http://` or `https://` and goes on.
bool isUrl(std::string_view text);

} // namespace hemlockglade
