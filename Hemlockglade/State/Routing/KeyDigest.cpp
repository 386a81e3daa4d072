#include "Hemlockglade/State/Routing/KeyDigest.h"

#include <cstring>
#include <sodium/crypto_generichash.h>
#include <sodium/randombytes.h>
#include <sodium/utils.h>

namespace hemlockglade {

namespace {

using HashKey = std::array<std::uint8_t, crypto_generichash_KEYBYTES>;

/// Generated once for each process, so that nobody outside can choose secrets
/// whose hashes collide.
const HashKey &processKey() {
  static const HashKey Key = [] {
    HashKey out{};
    randombytes_buf(out.data(), out.size());
    return out;
  }();
  return Key;
}

} // namespace

KeyDigest::KeyDigest(std::string_view secret) {
  const auto &key = processKey();
  crypto_generichash(Bytes.data(), Bytes.size(),
                     reinterpret_cast<const std::uint8_t *>(secret.data()),
                     secret.size(), key.data(), key.size());
}

bool KeyDigest::operator==(const KeyDigest &other) const {
  return sodium_memcmp(Bytes.data(), other.Bytes.data(), Bytes.size()) == 0;
}

std::size_t KeyDigest::Hash::operator()(const KeyDigest &it) const {
  std::size_t out = 0;
  std::memcpy(&out, it.Bytes.data(), sizeof(out));
  return out;
}

} // namespace hemlockglade
