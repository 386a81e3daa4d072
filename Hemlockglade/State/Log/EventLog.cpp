#include "Hemlockglade/State/Log/EventLog.h"

#include <algorithm>
#include <fcntl.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace hemlockglade {

namespace {

/// Bytes buffered for a slow reader: about 1,300 lines of 200 bytes.
constexpr std::size_t MaxBufferedBytes = std::size_t{256} * 1024;

/// Returns whether a text needs no escaping in JSON.
bool isPlain(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char it) {
    constexpr char FirstPrintable = ' ';
    constexpr char LastPrintable = '~';
    return it >= FirstPrintable && it <= LastPrintable && it != '"' &&
           it != '\\';
  });
}

void appendText(std::string &out, std::string_view text) {
  if (isPlain(text))
    out.append("\"").append(text).append("\"");
  else
    out.append(nlohmann::json(text).dump(
        -1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void appendValue(std::string &out, const LogField::Value &value) {
  std::visit(
      [&out](const auto &it) {
        using FieldType = std::decay_t<decltype(it)>;
        if constexpr (std::is_same_v<FieldType, std::string_view>)
          appendText(out, it);
        else if constexpr (std::is_same_v<FieldType, bool>)
          out.append(it ? "true" : "false");
        else
          out.append(nlohmann::json(it).dump());
      },
      value);
}

} // namespace

EventLog::EventLog(Settings settings, Sink sink, Clock clock)
    : Options(std::move(settings)), Output(std::move(sink)),
      Now(std::move(clock)) {}

bool EventLog::admit(LogClass kind) {
  auto second = std::chrono::duration_cast<std::chrono::seconds>(Now()).count();
  if (second != CurrentSecond) {
    CurrentSecond = second;
    LineCounts[0] = LineCounts[1] = 0;
    if (auto n = std::exchange(UnreportedDrops, 0))
      writeLine("log-left-out", {{"lines", n}});
  }
  auto &lines = LineCounts[static_cast<std::size_t>(kind)];
  auto limit =
      kind == LogClass::State ? Options.StateLines : Options.RequestLines;
  if (lines >= limit) {
    ++UnreportedDrops;
    ++Dropped;
    return false;
  }
  ++lines;
  return true;
}

void EventLog::write(LogClass kind, std::string_view event,
                     std::initializer_list<LogField> fields) {
  if (admit(kind))
    writeLine(event, fields);
}

void EventLog::writeLine(std::string_view event,
                         std::initializer_list<LogField> fields) {
  std::string line = "{\"at_ms\":";
  constexpr std::int64_t UsPerMs = 1000;
  line.append(std::to_string(Now().count() / UsPerMs)).append(",\"node\":");
  appendText(line, Options.Node);
  line.append(",\"event\":");
  appendText(line, event);
  for (const auto &it : fields) {
    line.append(",");
    appendText(line, it.Name);
    line.append(":");
    appendValue(line, it.Content);
  }
  line.append("}\n");
  Output(line);
}

EventLog::Sink descriptorSink(int descriptor) {
  ::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) | O_NONBLOCK);
  auto buffered = std::make_shared<std::string>();
  return [descriptor, buffered](std::string_view line) {
    if (buffered->size() + line.size() > MaxBufferedBytes)
      return;
    buffered->append(line);
    auto n = ::write(descriptor, buffered->data(), buffered->size());
    if (n > 0)
      buffered->erase(0, static_cast<std::size_t>(n));
  };
}

} // namespace hemlockglade
