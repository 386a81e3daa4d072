#pragma once

#include "StandIns/StandInHost.h"

namespace hemlockglade {

/// One answer that a stand-in engine generates. Its tokens name the adapter,
/// their number and the request, so that a foreign or torn text shows.
class EngineRun {
public:
  EngineRun(const HttpIncoming &in, const nlohmann::json &body,
            std::string replica);

  /// Makes the next token and sends it if somebody reads.
  void generate();
  /// Whether all tokens are made.
  bool generated() const;
  /// Begins the event stream.
  void startStream();
  /// Sends the events after the one with this number.
  void replay(std::uint64_t seen);
  /// Sends the end of the answer.
  void finish();

  std::uint64_t Number = 0;
  std::string Adapter;
  /// X-Request-Id.
  std::string Id;
  /// The caller's own name for the request, `user` in the body.
  std::string Tag;
  std::string Text;
  /// Empty while nobody reads.
  std::shared_ptr<HttpReply> Reply;
  /// Tokens made.
  std::int64_t Next = 0;
  /// How often the reader went away.
  int Detached = 0;
  /// Break off after so many tokens; 0 for never.
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
