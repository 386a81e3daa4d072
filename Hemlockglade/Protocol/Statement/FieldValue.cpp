#include "Hemlockglade/Protocol/Statement/FieldValue.h"

#include <array>
#include <cassert>
#include <charconv>
#include <optional>

namespace hemlockglade {

namespace {

/// Buffer size for the longest `double` written without an exponent.
constexpr std::size_t NumberBytes = 512;

std::string decimalText(double number) {
  std::array<char, NumberBytes> buf{};
  auto [end, ec] = std::to_chars(buf.data(), buf.data() + buf.size(), number,
                                 std::chars_format::fixed);
  assert(ec == std::errc());
  std::string text(buf.data(), end);
  if (text.find('.') == std::string::npos)
    text += ".0";
  return text;
}

std::string quoted(const std::string &text) {
  std::string out = "\"";
  for (char c : text) {
    if (c == '"' || c == '\\')
      out += '\\';
    out += c;
  }
  return out + '"';
}

std::optional<double> asNumber(const FieldValue &value) {
  if (const auto *whole = std::get_if<std::int64_t>(&value))
    return static_cast<double>(*whole);
  if (const auto *decimal = std::get_if<double>(&value))
    return *decimal;
  return std::nullopt;
}

} // namespace

std::string valueText(const FieldValue &value) {
  if (const auto *text = std::get_if<std::string>(&value))
    return *text;
  return valueLiteral(value);
}

std::string valueLiteral(const FieldValue &value) {
  if (const auto *text = std::get_if<std::string>(&value))
    return quoted(*text);
  if (const auto *whole = std::get_if<std::int64_t>(&value))
    return std::to_string(*whole);
  if (const auto *decimal = std::get_if<double>(&value))
    return decimalText(*decimal);
  return std::get<bool>(value) ? "true" : "false";
}

bool valueLess(const FieldValue &left, const FieldValue &right) {
  const auto *wholeLeft = std::get_if<std::int64_t>(&left);
  const auto *wholeRight = std::get_if<std::int64_t>(&right);
  if (wholeLeft && wholeRight)
    return *wholeLeft < *wholeRight;
  auto numberLeft = asNumber(left);
  auto numberRight = asNumber(right);
  if (numberLeft && numberRight)
    return *numberLeft < *numberRight;
  if (numberLeft || numberRight)
    return numberLeft.has_value();
  return valueText(left) < valueText(right);
}

} // namespace hemlockglade
