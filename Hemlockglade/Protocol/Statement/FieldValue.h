#pragma once

#include <cstdint>
#include <string>
#include <variant>

namespace hemlockglade {

/// One value of a row, or the right operand of a condition.
using FieldValue = std::variant<std::string, std::int64_t, double, bool>;

/// Formats a value for display; strings are not quoted.
std::string valueText(const FieldValue &value);

/// Formats a value as a literal of a statement: strings are quoted, and a
/// decimal number always has a point.
std::string valueLiteral(const FieldValue &value);

/// Returns whether `left` is ordered before `right`: numbers by value, and all
/// numbers before text.
bool valueLess(const FieldValue &left, const FieldValue &right);

} // namespace hemlockglade
