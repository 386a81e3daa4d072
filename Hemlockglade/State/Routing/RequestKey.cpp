#include "Hemlockglade/State/Routing/RequestKey.h"

#include <charconv>
#include <cstring>

namespace hemlockglade {

std::string RequestKey::text() const {
  constexpr std::string_view Digits = "0123456789abcdef";
  constexpr unsigned BitsPerDigit = 4;
  constexpr unsigned DigitMask = 15;
  std::string out;
  out.reserve(2 * Size);
  for (unsigned it : Bytes) {
    out.push_back(Digits[it >> BitsPerDigit]);
    out.push_back(Digits[it & DigitMask]);
  }
  return out;
}

std::optional<RequestKey> RequestKey::parse(std::string_view text) {
  if (text.size() != 2 * Size)
    return std::nullopt;
  RequestKey out;
  for (std::size_t it = 0; it < Size; ++it) {
    constexpr int Base = 16;
    const auto *first = text.data() + 2 * it;
    auto [end, ec] = std::from_chars(first, first + 2, out.Bytes[it], Base);
    if (ec != std::errc() || end != first + 2)
      return std::nullopt;
  }
  return out;
}

std::uint64_t RequestKey::spread() const {
  std::uint64_t out = 0;
  std::memcpy(&out, Bytes.data(), sizeof(out));
  return out;
}

} // namespace hemlockglade
