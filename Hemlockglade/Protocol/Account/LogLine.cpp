#include "Hemlockglade/Protocol/Account/LogLine.h"

#include "Hemlockglade/Protocol/JsonText.h"

#include <cstdlib>

namespace hemlockglade {

namespace {

/// Returns the number before the JSON object, if the line begins with one that
/// is followed by a space or tab.
std::optional<double> leadingNumber(std::string_view text) {
  std::string prefix(text.substr(0, text.find('{')));
  char *end = nullptr;
  double out = std::strtod(prefix.c_str(), &end);
  bool hasNumber = end != prefix.c_str() && (*end == ' ' || *end == '\t');
  return hasNumber ? std::optional(out) : std::nullopt;
}

} // namespace

std::string LogLine::text(const char *key) const {
  auto it = Fields->find(key);
  return it != Fields->end() && it->is_string() ? it->get<std::string>() : "";
}

double LogLine::number(const char *key) const {
  auto it = Fields->find(key);
  return it != Fields->end() && it->is_number() ? it->get<double>() : 0;
}

bool LogLine::flag(const char *key) const {
  auto it = Fields->find(key);
  return it != Fields->end() && it->is_boolean() && it->get<bool>();
}

std::optional<LogLine> readLogLine(std::string_view text) {
  constexpr double MsPerSecond = 1000;
  auto begin = text.find('{');
  if (begin == std::string_view::npos)
    return std::nullopt;
  LogLine line;
  try {
    line.Fields =
        std::make_shared<const nlohmann::json>(parseJson(text.substr(begin)));
  } catch (const nlohmann::json::exception &) {
    return std::nullopt;
  }
  if (!line.Fields->is_object())
    return std::nullopt;
  line.Node = line.text("node");
  line.Event = line.text("event");
  if (line.Node.empty() || line.Event.empty())
    return std::nullopt;
  auto collected = leadingNumber(text);
  line.Collected = collected.has_value();
  line.AtSeconds = collected.value_or(line.number("at_ms") / MsPerSecond);
  return line;
}

} // namespace hemlockglade
