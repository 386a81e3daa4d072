#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace hemlockglade {

/// One line of a node's log, decoded.
struct LogLine {
  /// Seconds; from the number that a collector put before the line if there is
  /// one, else the host's clock since its boot. Only the first kind compares
  /// between hosts.
  double AtSeconds = 0;
  /// Whether the time comes from a collector.
  bool Collected = false;
  std::string Node;
  std::string Event;
  /// All fields of the line; an object.
  std::shared_ptr<const nlohmann::json> Fields;

  /// A field as text; empty if it is not there.
  std::string text(const char *key) const;
  /// A field as a number; 0 if it is not there or is none.
  double number(const char *key) const;
  bool flag(const char *key) const;
};

/// Reads a line as a node writes it, with or without what a collector put
/// before it; nothing if it is no such line.
std::optional<LogLine> readLogLine(std::string_view text);

} // namespace hemlockglade
