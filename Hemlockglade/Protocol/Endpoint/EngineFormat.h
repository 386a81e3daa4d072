#pragma once

#include "Hemlockglade/Protocol/ProtocolError.h"
#include "Hemlockglade/State/Ids.h"

#include <functional>
#include <tl/expected.hpp>
#include <vector>

namespace hemlockglade {

/// Header names that this system adds to the usual protocols.
namespace header {
inline constexpr std::string_view Fence = "X-Fencing-Epoch";
inline constexpr std::string_view RequestId = "X-Request-Id";
inline constexpr std::string_view Attempt = "X-Attempt";
inline constexpr std::string_view Outcome = "X-Outcome";
inline constexpr std::string_view Deadline = "X-Deadline-Ms";
inline constexpr std::string_view Class = "X-Service-Class";
inline constexpr std::string_view Replica = "X-Replica";
inline constexpr std::string_view Adapter = "X-Adapter";
inline constexpr std::string_view IdempotencyKey = "Idempotency-Key";
inline constexpr std::string_view Repeatable = "X-Repeatable";
} // namespace header

/// What an engine says of itself, `GET /load`.
struct EngineReport {
  /// Changes with each start of the engine.
  std::string Incarnation;
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  /// Adapters that are loaded, `name@version`, and requests running on each.
  std::vector<std::pair<std::string, std::uint32_t>> Resident;
  /// Age of the report, in milliseconds.
  std::int64_t AgeMs = 0;
};

/// Engines on the wire: the OpenAI-style API, with the orders to load and
/// unload adapters as vLLM publishes them.
namespace engine_format {
std::string reportBody(const EngineReport &report);
tl::expected<EngineReport, ProtocolError> readReport(std::string_view body);
/// Body of `POST /v1/load_lora_adapter`.
std::string loadBody(const std::string &adapter);
/// Body of `POST /v1/unload_lora_adapter`.
std::string unloadBody(const std::string &adapter);
/// Adapter named in either body.
tl::expected<std::string, ProtocolError> readOrder(std::string_view body);
} // namespace engine_format

/// What a caller's completion request says that matters for routing.
struct CompletionRequest {
  AdapterRef Adapter;
  bool Stream = false;
  std::uint64_t PrefixHash = 0;
  std::uint32_t PromptTokens = 0;
  std::uint32_t MaxTokens = 0;
  /// The body as it goes to the engine; it names the exact version.
  std::string Body;
};

/// Reads an OpenAI-style completion or chat body. `currentVersion` turns a
/// name without a version into one with it; 0 if it knows no such adapter.
tl::expected<CompletionRequest, ProtocolError> readCompletion(
    std::string_view body,
    const std::function<std::uint32_t(const std::string &)> &currentVersion);

/// Whether the body of an answer that was not streamed came to its end: each
/// choice says why the engine finished it.
bool isWholeCompletion(std::string_view body);

/// An OpenAI-style error body.
std::string errorBody(std::string_view type, std::string_view message);

} // namespace hemlockglade
