#include "Hemlockglade/Protocol/Exchange/RequestIdentity.h"

#include <sodium/crypto_generichash.h>

namespace hemlockglade {

RequestKey RequestIdentity::key() const {
  static_assert(RequestKey::Size >= crypto_generichash_BYTES_MIN);
  crypto_generichash_state state;
  crypto_generichash_init(&state, nullptr, 0, RequestKey::Size);
  // Each part is preceded by its length, so that different requests never give
  // the same bytes.
  for (auto part : {Caller, Method, Host, Target, Body}) {
    std::array<std::uint8_t, sizeof(std::uint64_t)> size{};
    for (std::size_t it = 0; it < size.size(); ++it)
      size[it] = static_cast<std::uint8_t>(part.size() >> (8 * it));
    crypto_generichash_update(&state, size.data(), size.size());
    crypto_generichash_update(
        &state, reinterpret_cast<const std::uint8_t *>(part.data()),
        part.size());
  }
  std::array<std::uint8_t, RequestKey::Size> out{};
  crypto_generichash_final(&state, out.data(), out.size());
  return RequestKey(out);
}

} // namespace hemlockglade
