#include "Hemlockglade/Protocol/JsonText.h"

namespace hemlockglade {

namespace {

/// Returns the maximum nesting depth of brackets outside of strings.
std::size_t depthOf(std::string_view text) {
  std::size_t depth = 0;
  std::size_t deepest = 0;
  bool quoted = false;
  for (std::size_t it = 0; it < text.size(); ++it) {
    char c = text[it];
    if (c == '"')
      quoted = !quoted;
    else if (quoted && c == '\\')
      ++it;
    else if (!quoted && (c == '[' || c == '{'))
      deepest = std::max(deepest, ++depth);
    else if (!quoted && (c == ']' || c == '}') && depth)
      --depth;
  }
  return deepest;
}

} // namespace

nlohmann::json parseJson(std::string_view text) {
  constexpr int TooDeepErrorId = 501;
  if (depthOf(text) > MaxJsonDepth)
    throw nlohmann::json::other_error::create(TooDeepErrorId,
                                              "nested too deeply", nullptr);
  return nlohmann::json::parse(text);
}

std::string writeJson(const nlohmann::json &node) {
  return node.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace hemlockglade
