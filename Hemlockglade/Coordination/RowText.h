#pragma once

#include "Hemlockglade/State/Ids.h"

#include <charconv>
#include <string>
#include <string_view>

namespace hemlockglade {

/// Bases of the numbers in rows of the table.
inline constexpr int Hex = 16;
inline constexpr int Decimal = 10;

/// Removes the text up to the first separator, and the separator, and returns
/// that text; all of it if there is no separator.
std::string_view takeUntil(std::string_view &text, char separator);

void appendNumber(std::string &out, std::uint64_t value, int base);

/// Returns the number that is the whole text; nothing if it is none.
template <typename T>
std::optional<T> parseNumber(std::string_view text, int base) {
  T out{};
  const auto *end = text.data() + text.size();
  auto [at, ec] = std::from_chars(text.data(), end, out, base);
  return !text.empty() && ec == std::errc() && at == end ? std::optional(out)
                                                         : std::nullopt;
}

/// Hash that stands for a text in rows and messages; the same on all nodes.
std::uint64_t digestOf(std::string_view text);

} // namespace hemlockglade
