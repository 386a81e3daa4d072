#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace hemlockglade {

/// Maximum nesting depth of arrays and objects in a received JSON text. Writing
/// a value needs stack for each level.
inline constexpr std::size_t MaxJsonDepth = 100;

/// Parses a received JSON text. Throws nlohmann::json::exception if it is
/// malformed or nested too deeply.
nlohmann::json parseJson(std::string_view text);

/// Serializes a value; bytes that are not UTF-8 are replaced by U+FFFD.
std::string writeJson(const nlohmann::json &node);

} // namespace hemlockglade
