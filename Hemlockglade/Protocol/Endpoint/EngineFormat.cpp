#include "Hemlockglade/Protocol/Endpoint/EngineFormat.h"

#include "Hemlockglade/Protocol/JsonText.h"

#include <xxhash.h>

namespace hemlockglade {

using nlohmann::json;

namespace {

tl::unexpected<ProtocolError> malformed(std::string text) {
  return tl::unexpected(
      ProtocolError{ProtocolErrorKind::Malformed, std::move(text)});
}

/// Returns the text that an engine starts from: the prompt or all messages.
std::string promptText(const json &node) {
  if (auto it = node.find("prompt"); it != node.end())
    return it->is_string() ? it->get<std::string>() : it->dump();
  std::string text;
  if (auto it = node.find("messages"); it != node.end() && it->is_array()) {
    for (const auto &message : *it)
      text += message.dump();
  }
  return text;
}

} // namespace

namespace engine_format {

std::string reportBody(const EngineReport &report) {
  json resident = json::array();
  for (const auto &[adapter, running] : report.Resident)
    resident.push_back({{"adapter", adapter}, {"running", running}});
  return json{{"incarnation", report.Incarnation},
              {"running", report.Running},
              {"waiting", report.Waiting},
              {"resident", resident},
              {"age_ms", report.AgeMs}}
      .dump();
}

tl::expected<EngineReport, ProtocolError> readReport(std::string_view body) {
  try {
    auto node = parseJson(body);
    EngineReport report;
    report.Incarnation = node.at("incarnation").get<std::string>();
    report.Running = node.at("running").get<std::uint32_t>();
    report.Waiting = node.at("waiting").get<std::uint32_t>();
    report.AgeMs = node.at("age_ms").get<std::int64_t>();
    for (const auto &it : node.at("resident"))
      report.Resident.emplace_back(it.at("adapter").get<std::string>(),
                                   it.at("running").get<std::uint32_t>());
    return report;
  } catch (const json::exception &error) {
    return malformed(error.what());
  }
}

std::string loadBody(const std::string &adapter) {
  return json{{"lora_name", adapter}, {"lora_path", "/adapters/" + adapter}}
      .dump();
}

std::string unloadBody(const std::string &adapter) {
  return json{{"lora_name", adapter}}.dump();
}

tl::expected<std::string, ProtocolError> readOrder(std::string_view body) {
  try {
    return parseJson(body).at("lora_name").get<std::string>();
  } catch (const json::exception &error) {
    return malformed(error.what());
  }
}

} // namespace engine_format

tl::expected<CompletionRequest, ProtocolError> readCompletion(
    std::string_view body,
    const std::function<std::uint32_t(const std::string &)> &currentVersion) {
  constexpr std::size_t PrefixBytes = 1024;
  constexpr std::size_t BytesPerToken = 4;
  constexpr std::uint32_t DefaultMaxTokens = 16;
  try {
    auto node = parseJson(body);
    if (!node.is_object())
      return malformed("the body is not a JSON object");
    auto model = node.find("model");
    if (model == node.end() || !model->is_string())
      return malformed("`model` is missing or not a string");
    auto adapter = AdapterRef::parse(model->get<std::string>());
    if (!adapter)
      return malformed("`model` is not `name@version`");
    CompletionRequest request;
    request.Adapter = *adapter;
    if (request.Adapter.Version == 0)
      request.Adapter.Version = currentVersion(adapter->Name);
    if (request.Adapter.Version == 0)
      return tl::unexpected(ProtocolError{ProtocolErrorKind::Unknown,
                                          "no adapter " + adapter->Name});
    request.Stream = node.value("stream", false);
    request.MaxTokens = node.value("max_tokens", DefaultMaxTokens);
    auto prompt = promptText(node);
    auto prefix = std::min(prompt.size(), PrefixBytes);
    request.PrefixHash = prefix ? XXH3_64bits(prompt.data(), prefix) : 0;
    request.PromptTokens =
        static_cast<std::uint32_t>(prompt.size() / BytesPerToken);
    node["model"] = request.Adapter.text();
    request.Body = node.dump();
    return request;
  } catch (const json::exception &error) {
    return malformed(error.what());
  }
}

bool isWholeCompletion(std::string_view body) {
  try {
    auto node = parseJson(body);
    const auto &choices = node.at("choices");
    return !choices.empty() &&
           std::all_of(choices.begin(), choices.end(), [](const json &it) {
             return it.at("finish_reason").is_string();
           });
  } catch (const json::exception &) {
    return false;
  }
}

std::string errorBody(std::string_view type, std::string_view message) {
  return writeJson({{"error", {{"type", type}, {"message", message}}}});
}

} // namespace hemlockglade
