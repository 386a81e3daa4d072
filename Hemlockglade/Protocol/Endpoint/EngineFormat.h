#pragma once

#include "Hemlockglade/Protocol/ProtocolError.h"
#include "Hemlockglade/State/Ids.h"

#include <functional>
#include <tl/expected.hpp>
#include <vector>

namespace hemlockglade {

/// Names of the headers that this system uses beside the standard ones.
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

/// State reported by an engine in its answer to `GET /load`.
struct EngineReport {
  /// Incarnation of the engine; changes with each start.
  std::string Incarnation;
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  /// Loaded adapters as `name@version`, and the number of requests running on
  /// each.
  std::vector<std::pair<std::string, std::uint32_t>> Resident;
  /// Age of the report, in milliseconds.
  std::int64_t AgeMs = 0;
};

/// Encodes and decodes messages of engines: their reports, and the orders to
/// load and unload adapters of vLLM's OpenAI-style API.
namespace engine_format {
std::string reportBody(const EngineReport &report);
tl::expected<EngineReport, ProtocolError> readReport(std::string_view body);
/// Body of `POST /v1/load_lora_adapter`.
std::string loadBody(const std::string &adapter);
/// Body of `POST /v1/unload_lora_adapter`.
std::string unloadBody(const std::string &adapter);
/// Parses the body of either order and returns the adapter.
tl::expected<std::string, ProtocolError> readOrder(std::string_view body);
} // namespace engine_format

/// The contents of a caller's completion request that routing depends on.
struct CompletionRequest {
  AdapterRef Adapter;
  bool Stream = false;
  std::uint64_t PrefixHash = 0;
  std::uint32_t PromptTokens = 0;
  std::uint32_t MaxTokens = 0;
  /// The body as sent to the engine; its `model` includes the version.
  std::string Body;
};

/// Parses the body of an OpenAI-style completion or chat request.
/// `currentVersion` returns the version to use for an adapter name without one,
/// or 0 if there is no such adapter.
tl::expected<CompletionRequest, ProtocolError> readCompletion(
    std::string_view body,
    const std::function<std::uint32_t(const std::string &)> &currentVersion);

/// Returns whether the body of an answer that was not streamed is complete:
/// each choice has a `finish_reason`.
bool isWholeCompletion(std::string_view body);

/// Returns an OpenAI-style error body.
std::string errorBody(std::string_view type, std::string_view message);

} // namespace hemlockglade
