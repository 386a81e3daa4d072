#include "Hemlockglade/Protocol/Settings/TextChecks.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <charconv>
#include <cstdint>
#include <string>

namespace hemlockglade {

namespace {

constexpr std::size_t MaxNameBytes = 64;

bool isPort(std::string_view text) {
  std::uint16_t port = 0;
  auto end = text.data() + text.size();
  auto [at, ec] = std::from_chars(text.data(), end, port);
  return ec == std::errc() && at == end && port != 0;
}

bool isAddressOf(int family, std::string_view text) {
  std::string host(text);
  in6_addr buf{};
  return inet_pton(family, host.c_str(), &buf) == 1;
}

} // namespace

bool isName(std::string_view text) {
  auto isNameChar = [](unsigned char c) {
    return std::isalnum(c) || c == '.' || c == '_' || c == '-';
  };
  return !text.empty() && text.size() <= MaxNameBytes &&
         std::isalnum(static_cast<unsigned char>(text.front())) &&
         std::all_of(text.begin(), text.end(), isNameChar);
}

bool isIpv4Address(std::string_view text) { return isAddressOf(AF_INET, text); }

bool isEndpointAddress(std::string_view text) {
  auto colon = text.rfind(':');
  if (colon == std::string_view::npos || !isPort(text.substr(colon + 1)))
    return false;
  auto host = text.substr(0, colon);
  if (isAddressOf(AF_INET, host))
    return true;
  bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
  return bracketed && isAddressOf(AF_INET6, host.substr(1, host.size() - 2));
}

bool isUrl(std::string_view text) {
  for (std::string_view scheme : {"http://", "https://"}) {
    if (text.starts_with(scheme) && text.size() > scheme.size())
      return true;
  }
  return false;
}

} // namespace hemlockglade
