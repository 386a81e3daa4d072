#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace hemlockglade {

/// One line of a node's log, decoded.
struct LogLine {
  /// Time in seconds: the number that a log collector put before the line, else
  /// the host's clock since its boot. Only collectors' times can be compared
  /// between hosts.
  double AtSeconds = 0;
  /// Whether the time was set by a collector.
  bool Collected = false;
  std::string Node;
  std::string Event;
  /// All fields of the line, as a JSON object.
  std::shared_ptr<const nlohmann::json> Fields;

  /// Returns a field as text; empty if it is missing or not a string.
  std::string text(const char *key) const;
  /// Returns a field as a number; 0 if it is missing or not a number.
  double number(const char *key) const;
  /// Returns a boolean field; false if it is missing or not a boolean.
  bool flag(const char *key) const;
};

/// Parses a line of a node's log, with or without a collector's prefix; returns
/// nothing if it is not such a line.
std::optional<LogLine> readLogLine(std::string_view text);

} // namespace hemlockglade
