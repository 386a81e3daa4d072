#pragma once

#include <cstdint>
#include <string>
#include <variant>

namespace hemlockglade {

/// One value of a row, or the value that a condition compares with.
using FieldValue = std::variant<std::string, std::int64_t, double, bool>;

/// The value as people read it; strings without quotes.
std::string valueText(const FieldValue &value);

/// The value as a statement has it; strings are quoted, and a decimal number
/// always has a point.
std::string valueLiteral(const FieldValue &value);

/// Whether `left` goes before `right`: numbers by value, and before text.
bool valueLess(const FieldValue &left, const FieldValue &right);

} // namespace hemlockglade
