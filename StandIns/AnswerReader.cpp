#include "StandIns/AnswerReader.h"

#include <strings.h>

namespace hemlockglade {

using nlohmann::json;

namespace {

constexpr int FirstError = 400;

} // namespace

AnswerReader::AnswerReader(ExpectedAnswer expected)
    : Expected(std::move(expected)) {}

bool AnswerReader::streamed() const {
  return Expected.Stream && Status < FirstError;
}

void AnswerReader::fault(std::string text) {
  if (Fault.empty())
    Fault = std::move(text);
}

void AnswerReader::head(int status, const HttpFields &fields) {
  Status = status;
  HttpIncoming in;
  in.Fields = fields;
  Outcome = in.field(header::Outcome).value_or("none");
  Request = in.field(header::RequestId).value_or("");
  Adapter = in.field(header::Adapter).value_or("");
  Replica = in.field(header::Replica).value_or("");
  RetryAfter = std::atoll(in.field("Retry-After").value_or("0").c_str());
}

void AnswerReader::part(std::string_view text) {
  Pending.append(text);
  if (!streamed())
    return;
  for (auto it = Pending.find('\n'); it != std::string::npos;
       it = Pending.find('\n')) {
    line(std::string_view(Pending).substr(0, it));
    Pending.erase(0, it + 1);
  }
}

void AnswerReader::line(std::string_view text) {
  auto value = [&text](std::string_view name, std::string &out) {
    if (text.starts_with(name))
      out = text.substr(name.size());
  };
  if (text.empty())
    return event();
  value("event: ", EventName);
  value("id: ", EventId);
  value("data: ", EventData);
}

void AnswerReader::event() {
  auto name = std::exchange(EventName, "");
  auto id = std::exchange(EventId, "");
  auto data = std::exchange(EventData, "");
  if (data.empty())
    return;
  if (data == "[DONE]") {
    Done = true;
    return;
  }
  auto node = json::parse(data, nullptr, false);
  if (!node.is_object())
    return fault("an event that is no JSON");
  if (name == "outcome") {
    Outcome = node.value("outcome", "none");
    return;
  }
  if (Done)
    fault("a token after [DONE]");
  if (std::strtoull(id.c_str(), nullptr, 10) != ++LastId)
    fault("event " + id + " where " + std::to_string(LastId) + " was due");
  token(node);
}

void AnswerReader::token(const json &chunk) {
  const auto choices = chunk.value("choices", json::array());
  if (choices.empty())
    return fault("a token without a choice");
  const auto &choice = choices.front();
  for (const char *field : {"delta", "message"}) {
    if (choice.contains(field))
      Text += choice[field].value("content", "");
  }
  Text += choice.value("text", "");
  Adapter = chunk.value("model", Adapter);
}

void AnswerReader::end(bool whole) {
  bool complete = Outcome == "complete" && Status < FirstError;
  if (!Expected.Echo.empty()) {
    Text = std::exchange(Pending, "");
    if (complete && whole)
      checkEcho();
  } else {
    auto node = json::parse(Pending, nullptr, false);
    if (!Expected.Stream && complete && whole && node.is_object())
      token(node);
    checkText(complete);
  }
  if (!whole && !Expected.Stream)
    Outcome = "none";
  if (!whole && complete && Expected.Stream)
    fault("complete, but the connection broke");
}

void AnswerReader::checkText(bool complete) {
  if (Text.empty() && !complete)
    return;
  bool matches =
      Adapter == Expected.Model || Adapter.starts_with(Expected.Model + '@');
  if (!matches)
    fault("asked " + Expected.Model + ", was answered by " + Adapter);
  std::string expectedText;
  for (std::int64_t it = 0; it < Expected.Tokens; ++it)
    expectedText +=
        Adapter + '#' + std::to_string(it) + '/' + Expected.Tag + ' ';
  if (!expectedText.starts_with(Text))
    fault("a text that isn't the request's own");
  if (complete && Text.size() != expectedText.size())
    fault("complete, but the text is short");
  if (complete && Expected.Stream && !Done)
    fault("complete, but without [DONE]");
}

void AnswerReader::checkEcho() {
  auto node = json::parse(Text, nullptr, false);
  if (!node.is_object() || node.value("echo", "") != Expected.Echo)
    fault("an answer that isn't the request's own");
}

} // namespace hemlockglade
