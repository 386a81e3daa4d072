#include "StandIns/EngineRun.h"

namespace hemlockglade {

using nlohmann::json;

namespace {

constexpr std::int64_t DefaultTokens = 16;

} // namespace

EngineRun::EngineRun(const HttpIncoming &in, const json &body,
                     std::string replica)
    : Adapter(body.value("model", "")),
      Id(in.field(header::RequestId).value_or("")), Tag(body.value("user", "")),
      Stream(body.value("stream", false)), Replica(std::move(replica)),
      Tokens(body.value("max_tokens", DefaultTokens)),
      Chat(in.Path == "/v1/chat/completions") {}

bool EngineRun::generated() const {
  return Next >= (Truncated ? Tokens / 2 : Tokens);
}

void EngineRun::generate() {
  auto token = Adapter + '#' + std::to_string(Next++) +
               (Tag.empty() ? " " : '/' + Tag + ' ');
  Text += token;
  if (!Stream)
    return;
  Events.push_back("id: " + std::to_string(Next) +
                   "\ndata: " + chunk(token).dump() + "\n\n");
  if (!Reply)
    return;
  Reply->sendPart(Events.back(), nullptr);
  if (Doubled)
    Reply->sendPart(Events.back(), nullptr);
}

void EngineRun::startStream() {
  Reply->startStream(200, {{"Content-Type", "text/event-stream"},
                           {std::string(header::RequestId), Id}});
}

void EngineRun::replay(std::uint64_t seen) {
  for (auto it = seen; it < Events.size(); ++it)
    Reply->sendPart(Events[it], nullptr);
}

void EngineRun::finish() {
  if (!Stream)
    return Reply->sendWhole(200,
                            {{"Content-Type", "application/json"},
                             {std::string(header::RequestId), Id}},
                            chunk(Text).dump() + '\n');
  if (!Truncated)
    Reply->sendPart("data: [DONE]\n\n", nullptr);
  Reply->finishStream();
}

json EngineRun::chunk(const std::string &text) const {
  json choice{{"index", 0}};
  if (Chat)
    choice[Stream ? "delta" : "message"] = {{"role", "assistant"},
                                            {"content", text}};
  else
    choice["text"] = text;
  if (!Stream)
    choice["finish_reason"] = Truncated ? json(nullptr) : json("stop");
  return {{"id", Id},
          {"model", Adapter},
          {"replica", Replica},
          {"choices", json::array({choice})}};
}

} // namespace hemlockglade
