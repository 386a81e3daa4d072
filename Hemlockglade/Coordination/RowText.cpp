#include "Hemlockglade/Coordination/RowText.h"

#include <algorithm>
#include <xxhash.h>

namespace hemlockglade {

std::string_view takeUntil(std::string_view &text, char separator) {
  auto out = text.substr(0, text.find(separator));
  text.remove_prefix(std::min(text.size(), out.size() + 1));
  return out;
}

void appendNumber(std::string &out, std::uint64_t value, int base) {
  constexpr std::size_t Digits = 20;
  char buf[Digits];
  auto end = std::to_chars(std::begin(buf), std::end(buf), value, base).ptr;
  out.append(buf, end);
}

std::uint64_t digestOf(std::string_view text) {
  return XXH3_64bits(text.data(), text.size());
}

} // namespace hemlockglade
