#pragma once

#include "StandIns/StandInHost.h"

namespace hemlockglade {

/// One answer that a stand-in engine generates. Each token contains the
/// adapter, its index and the request's tag, so that a reader detects text of
/// another request and missing parts.
class EngineRun {
public:
  EngineRun(const HttpIncoming &in, const nlohmann::json &body,
            std::string replica);

  /// Generates the next token, and sends it if a reader is attached.
  void generate();
  /// Whether all tokens are generated.
  bool generated() const;
  /// Sends the head of the event stream.
  void startStream();
  /// Sends the events that follow event number `seen`.
  void replay(std::uint64_t seen);
  /// Sends the end of the answer, or the whole answer if it isn't streamed.
  void finish();

  std::uint64_t Number = 0;
  std::string Adapter;
  /// X-Request-Id.
  std::string Id;
  /// The caller's own name for the request, `user` in the body.
  std::string Tag;
  std::string Text;
  /// Empty while no reader is attached.
  std::shared_ptr<HttpReply> Reply;
  /// Number of tokens generated.
  std::int64_t Next = 0;
  /// How often the reader has disconnected.
  int Detached = 0;
  /// Number of tokens after which the connection is broken; 0 for never.
  std::int64_t CutAfter = 0;
  bool Stream = false;
  bool Truncated = false;
  bool Doubled = false;
  bool Over = false;

private:
  nlohmann::json chunk(const std::string &text) const;

  std::string Replica;
  std::int64_t Tokens = 0;
  bool Chat = false;
  std::vector<std::string> Events;
};

} // namespace hemlockglade
