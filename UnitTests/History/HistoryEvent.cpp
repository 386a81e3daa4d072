#include "UnitTests/History/HistoryEvent.h"

#include <nlohmann/json.hpp>

namespace hemlockglade {

using nlohmann::json;

std::optional<HistoryEvent> HistoryEvent::parse(std::string_view line) {
  auto node = json::parse(line, nullptr, false);
  if (!node.is_object() || !node.contains("event") || !node.contains("at_us"))
    return std::nullopt;
  HistoryEvent out;
  out.Line = line;
  try {
    auto span = [&node](const char *name) {
      return Span(node.value(name, std::int64_t{0}));
    };
    auto text = [&node](const char *name) { return node.value(name, ""); };
    out.At = span("at_us");
    out.AskedAt = span("asked_us");
    out.TimeToLive = span("ttl_us");
    out.Who = text("who");
    out.Event = text("event");
    out.Tag = text("tag");
    out.Sending = text("sending");
    out.Key = text("key");
    out.Request = text("request");
    out.Adapter = text("adapter");
    out.Outcome = text("outcome");
    out.Hash = text("hash");
    out.Fault = text("fault");
    out.To = text("to");
    out.Endpoint = text("endpoint");
    out.Change = text("change");
    out.Holder = text("holder");
    out.Fence = node.value("fence", out.Fence);
    out.Current = node.value("current", out.Current);
    out.Run = node.value("run", out.Run);
    out.Revision = node.value("revision", out.Revision);
    out.Running = node.value("running", out.Running);
    out.Status = node.value("status", out.Status);
    out.Code = node.value("code", out.Code);
    out.Whole = node.value("whole", false);
    out.Leaving = node.value("leaving", false);
  } catch (const json::exception &) {
    return std::nullopt;
  }
  return out;
}

} // namespace hemlockglade
