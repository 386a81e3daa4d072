#include "Hemlockglade/State/Log/EventLog.h"

#include <algorithm>
#include <fcntl.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace hemlockglade {

namespace {

/// Bytes that wait for a reader that is slow; at 200 bytes a line some 1,300
/// lines.
constexpr std::size_t MaxWaiting = std::size_t{256} * 1024;

/// Whether a text stands in JSON as it is.
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
        using Kind = std::decay_t<decltype(it)>;
        if constexpr (std::is_same_v<Kind, std::string_view>)
          appendText(out, it);
        else if constexpr (std::is_same_v<Kind, bool>)
          out.append(it ? "true" : "false");
        else
          out.append(nlohmann::json(it).dump());
      },
      value);
}

} // namespace

EventLog::EventLog(Settings settings, Sink sink, Clock clock)
    : Setup(std::move(settings)), Out(std::move(sink)), Now(std::move(clock)) {}

bool EventLog::admit(LogClass kind) {
  auto second = std::chrono::duration_cast<std::chrono::seconds>(Now()).count();
  if (second != Second) {
    Second = second;
    Lines[0] = Lines[1] = 0;
    if (auto n = std::exchange(LeftOut, 0))
      put("log-left-out", {{"lines", n}});
  }
  auto &lines = Lines[static_cast<std::size_t>(kind)];
  auto bound = kind == LogClass::State ? Setup.StateLines : Setup.RequestLines;
  if (lines >= bound) {
    ++LeftOut;
    ++Dropped;
    return false;
  }
  ++lines;
  return true;
}

void EventLog::write(LogClass kind, std::string_view event,
                     std::initializer_list<LogField> fields) {
  if (admit(kind))
    put(event, fields);
}

void EventLog::put(std::string_view event,
                   std::initializer_list<LogField> fields) {
  std::string line = "{\"at_ms\":";
  constexpr std::int64_t UsPerMs = 1000;
  line.append(std::to_string(Now().count() / UsPerMs)).append(",\"node\":");
  appendText(line, Setup.Node);
  line.append(",\"event\":");
  appendText(line, event);
  for (const auto &it : fields) {
    line.append(",");
    appendText(line, it.Name);
    line.append(":");
    appendValue(line, it.Content);
  }
  line.append("}\n");
  Out(line);
}

EventLog::Sink descriptorSink(int descriptor) {
  ::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) | O_NONBLOCK);
  auto waiting = std::make_shared<std::string>();
  return [descriptor, waiting](std::string_view line) {
    if (waiting->size() + line.size() > MaxWaiting)
      return;
    waiting->append(line);
    auto n = ::write(descriptor, waiting->data(), waiting->size());
    if (n > 0)
      waiting->erase(0, static_cast<std::size_t>(n));
  };
}

} // namespace hemlockglade
