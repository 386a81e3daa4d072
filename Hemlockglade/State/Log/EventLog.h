#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace hemlockglade {

/// Name and value of one field of a log line.
struct LogField {
  using Value =
      std::variant<std::int64_t, std::uint64_t, double, bool, std::string_view>;

  std::string_view Name;
  Value Content;

  LogField(std::string_view name, std::string_view value)
      : Name(name), Content(value) {}
  LogField(std::string_view name, const std::string &value)
      : Name(name), Content(std::string_view(value)) {}
  LogField(std::string_view name, const char *value)
      : Name(name), Content(std::string_view(value)) {}
  LogField(std::string_view name, bool value) : Name(name), Content(value) {}
  LogField(std::string_view name, double value) : Name(name), Content(value) {}
  LogField(std::string_view name, int value)
      : Name(name), Content(std::int64_t{value}) {}
  LogField(std::string_view name, std::int64_t value)
      : Name(name), Content(value) {}
  LogField(std::string_view name, std::uint32_t value)
      : Name(name), Content(std::uint64_t{value}) {}
  LogField(std::string_view name, std::uint64_t value)
      : Name(name), Content(value) {}
  /// Durations are written in milliseconds.
  LogField(std::string_view name, std::chrono::microseconds value)
      : Name(name), Content(static_cast<double>(value.count()) / 1000) {}
};

/// Class of a line. Each class has a limit of its own, so that many lines of
/// one class do not suppress those of the other.
enum class LogClass : std::uint8_t {
  /// Starts, stops, lost and regained dependencies, and changes of the
  /// state that the node keeps of others.
  State,
  /// A decision about one request.
  Request,
};

/// Writes log lines, each one JSON object. The volume is limited: the lines of
/// one second beyond the limit of their class are dropped, and a later line
/// reports how many.
class EventLog {
public:
  using Sink = std::function<void(std::string_view line)>;
  /// Returns the current time in microseconds. Lines are stamped with it, and
  /// the limits apply per second of it.
  using Clock = std::function<std::chrono::microseconds()>;

  struct Settings {
    std::string Node;
    /// Maximum lines per second of each class; a node that serves 100
    /// requests/s writes about two lines for each.
    std::uint32_t RequestLines = 300;
    std::uint32_t StateLines = 200;
  };

  EventLog(Settings settings, Sink sink, Clock clock);

  void write(LogClass kind, std::string_view event,
             std::initializer_list<LogField> fields);
  /// Number of lines dropped since the start.
  std::uint64_t dropped() const { return Dropped; }

private:
  /// Counts a line of this class; returns false if it is over the limit.
  bool admit(LogClass kind);
  void writeLine(std::string_view event,
                 std::initializer_list<LogField> fields);

  Settings Options;
  Sink Output;
  Clock Now;
  std::int64_t CurrentSecond = -1;
  std::uint32_t LineCounts[2] = {0, 0};
  std::uint64_t UnreportedDrops = 0;
  std::uint64_t Dropped = 0;
};

/// Returns a sink that writes to a descriptor and never blocks. Lines that the
/// reader does not take at once are buffered up to a limit and dropped beyond
/// it.
EventLog::Sink descriptorSink(int descriptor);

} // namespace hemlockglade
