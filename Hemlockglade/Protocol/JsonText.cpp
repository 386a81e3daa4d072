#include "Hemlockglade/Protocol/JsonText.h"

namespace hemlockglade {

namespace {

/// Levels of brackets outside of strings.
std::size_t depthOf(std::string_view text) {
  std::size_t depth = 0;
  std::size_t deepest = 0;
  bool quoted = false;
  for (std::size_t it = 0; it < text.size(); ++it) {
    char sign = text[it];
    if (sign == '"')
      quoted = !quoted;
    else if (quoted && sign == '\\')
      ++it;
    else if (!quoted && (sign == '[' || sign == '{'))
      deepest = std::max(deepest, ++depth);
    else if (!quoted && (sign == ']' || sign == '}') && depth)
      --depth;
  }
  return deepest;
}

} // namespace

nlohmann::json parseJson(std::string_view text) {
  constexpr int TooDeep = 501;
  if (depthOf(text) > MaxJsonDepth)
    throw nlohmann::json::other_error::create(TooDeep, "nested too deeply",
                                              nullptr);
  return nlohmann::json::parse(text);
}

std::string writeJson(const nlohmann::json &node) {
  return node.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace hemlockglade
