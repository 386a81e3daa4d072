#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace hemlockglade {

/// One named value of a log line.
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
  /// Spans are written in milliseconds.
  LogField(std::string_view name, std::chrono::microseconds value)
      : Name(name), Content(static_cast<double>(value.count()) / 1000) {}
};

/// How much a line matters when there are too many.
enum class LogClass : std::uint8_t {
  /// Starts, stops, lost and regained dependencies, changes of belief.
  State,
  /// One decision about one request.
  Request,
};

/// Writes one JSON object a line. The volume is bounded: lines of one second
/// beyond the bound are left out, and a line says how many.
class EventLog {
public:
  using Sink = std::function<void(std::string_view line)>;
  /// Microseconds on the process's own clock, and the time of day.
  using Clock = std::function<std::chrono::microseconds()>;

  struct Settings {
    std::string Node;
    /// Lines a second of each class; a node that serves 100 requests/s writes
    /// about two lines for each.
    std::uint32_t RequestLines = 300;
    std::uint32_t StateLines = 200;
  };

  EventLog(Settings settings, Sink sink, Clock clock);

  void write(LogClass kind, std::string_view event,
             std::initializer_list<LogField> fields);
  std::uint64_t dropped() const { return Dropped; }

private:
  bool admit(LogClass kind);
  void put(std::string_view event, std::initializer_list<LogField> fields);

  Settings Setup;
  Sink Out;
  Clock Now;
  std::int64_t Second = -1;
  std::uint32_t Lines[2] = {0, 0};
  std::uint64_t LeftOut = 0;
  std::uint64_t Dropped = 0;
};

/// A sink on a descriptor that never blocks: what the reader does not take in
/// time is kept up to a bound and dropped beyond it.
EventLog::Sink descriptorSink(int descriptor);

} // namespace hemlockglade
