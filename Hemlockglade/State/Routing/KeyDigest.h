#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace hemlockglade {

/// A secret's keyed hash (BLAKE2b under a random key of this process), used to
/// look up the secret without storing it. Not comparable between processes.
class KeyDigest {
public:
  static constexpr std::size_t Size = 32;

  explicit KeyDigest(std::string_view secret);

  /// Compares in constant time.
  bool operator==(const KeyDigest &other) const;

  struct Hash {
    std::size_t operator()(const KeyDigest &it) const;
  };

private:
  std::array<std::uint8_t, Size> Bytes{};
};

} // namespace hemlockglade
