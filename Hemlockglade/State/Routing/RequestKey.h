#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hemlockglade {

/// Identifies a request by its content: the key is the same each time the
/// caller sends it, at any node.
class RequestKey {
public:
  static constexpr std::size_t Size = 16;

  RequestKey() = default;
  explicit RequestKey(const std::array<std::uint8_t, Size> &bytes)
      : Bytes(bytes) {}

  bool operator==(const RequestKey &) const = default;
  bool operator<(const RequestKey &other) const { return Bytes < other.Bytes; }

  /// Returns 32 hexadecimal digits, for logs and rows.
  std::string text() const;
  /// Parses 32 hexadecimal digits; returns nothing if the text is no key.
  static std::optional<RequestKey> parse(std::string_view text);
  /// Returns a number that is distributed evenly over keys.
  std::uint64_t spread() const;

private:
  std::array<std::uint8_t, Size> Bytes{};
};

} // namespace hemlockglade
