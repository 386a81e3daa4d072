#include "Hemlockglade/Protocol/QueryText.h"

#include <cctype>
#include <charconv>
#include <cstdint>

namespace hemlockglade {

std::string urlEncode(std::string_view text) {
  constexpr std::string_view Digits = "0123456789ABCDEF";
  std::string out;
  for (char it : text) {
    auto byte = static_cast<unsigned char>(it);
    if (std::isalnum(byte) || it == '-' || it == '_' || it == '.') {
      out += it;
      continue;
    }
    out += '%';
    out += Digits[byte >> 4U];
    out += Digits[byte & 15U];
  }
  return out;
}

std::string queryValue(std::string_view query, std::string_view name) {
  while (!query.empty()) {
    auto end = std::min(query.find('&'), query.size());
    auto pair = query.substr(0, end);
    query.remove_prefix(std::min(end + 1, query.size()));
    auto equals = std::min(pair.find('='), pair.size());
    if (pair.substr(0, equals) != name)
      continue;
    auto value = pair.substr(std::min(equals + 1, pair.size()));
    std::string out;
    for (std::size_t it = 0; it < value.size(); ++it) {
      unsigned byte = 0;
      bool escaped = value[it] == '%' && it + 2 < value.size();
      auto digits = value.data() + it + 1;
      auto [end, ec] = escaped ? std::from_chars(digits, digits + 2, byte, 16)
                               : std::from_chars_result{digits, std::errc()};
      if (escaped && ec == std::errc() && end == digits + 2) {
        out += static_cast<char>(byte);
        it += 2;
      } else {
        out += value[it] == '+' ? ' ' : value[it];
      }
    }
    return out;
  }
  return {};
}

std::string_view queryOf(std::string_view target) {
  auto mark = target.find('?');
  return mark == std::string_view::npos ? std::string_view()
                                        : target.substr(mark + 1);
}

} // namespace hemlockglade
