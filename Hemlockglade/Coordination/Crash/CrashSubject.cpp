#include "Hemlockglade/Coordination/Crash/CrashSubject.h"

#include "Hemlockglade/Coordination/RowText.h"

namespace hemlockglade {

RequestKey partKeyOf(std::string_view service, std::uint64_t part) {
  constexpr std::size_t Half = RequestKey::Size / 2;
  constexpr unsigned BitsPerByte = 8;
  std::array<std::uint8_t, RequestKey::Size> bytes{};
  auto digest = digestOf(service);
  for (std::size_t it = 0; it < Half; ++it) {
    auto shift = BitsPerByte * (Half - 1 - it);
    bytes[it] = static_cast<std::uint8_t>(digest >> shift);
    bytes[Half + it] = static_cast<std::uint8_t>(part >> shift);
  }
  return RequestKey(bytes);
}

} // namespace hemlockglade
