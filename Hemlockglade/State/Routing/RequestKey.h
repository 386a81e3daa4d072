#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hemlockglade {

/// Names a request by what it asks for: the same each time its caller sends
/// it, at whichever node.
class RequestKey {
public:
  static constexpr std::size_t Size = 16;

  RequestKey() = default;
  explicit RequestKey(const std::array<std::uint8_t, Size> &bytes)
      : Bytes(bytes) {}

  bool operator==(const RequestKey &) const = default;
  bool operator<(const RequestKey &other) const { return Bytes < other.Bytes; }

  /// For logs and rows: 32 hexadecimal digits.
  std::string text() const;
  /// Nothing if the text is no key.
  static std::optional<RequestKey> parse(std::string_view text);
  /// A number that is spread evenly over keys.
  std::uint64_t spread() const;

private:
  std::array<std::uint8_t, Size> Bytes{};
};

} // namespace hemlockglade
