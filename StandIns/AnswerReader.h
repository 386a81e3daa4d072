#pragma once

#include "StandIns/StandInHost.h"

namespace hemlockglade {

/// What a caller expects of the answer to one request.
struct ExpectedAnswer {
  std::string Tag;
  /// As in the request, with or without a version; empty for a plain service.
  std::string Model;
  std::int64_t Tokens = 0;
  bool Stream = false;
  /// Body that a plain service has to echo.
  std::string Echo;
};

/// Reads one answer on the caller's side, and checks that it is complete and
/// belongs to the request.
class AnswerReader {
public:
  explicit AnswerReader(ExpectedAnswer expected);

  void head(int status, const HttpFields &fields);
  void part(std::string_view text);
  /// Called at the end of the answer; `whole` if the connection delivered all
  /// of it.
  void end(bool whole);

  /// `complete`, `not-run`, `unknown`, or `none` if the answer contains no
  /// outcome.
  std::string Outcome = "none";
  /// What is wrong with the answer; empty if nothing is.
  std::string Fault;
  /// All tokens, or a plain service's body.
  std::string Text;
  std::string Request;
  std::string Adapter;
  std::string Replica;
  int Status = 0;
  /// From the Retry-After field, in seconds; 0 if the answer has none.
  std::int64_t RetryAfter = 0;

private:
  void line(std::string_view text);
  void event();
  void token(const nlohmann::json &chunk);
  void checkText(bool complete);
  void checkEcho();
  void fault(std::string text);
  bool streamed() const;

  ExpectedAnswer Expected;
  /// The received part of an incomplete line, or the body of an answer that
  /// isn't streamed.
  std::string Pending;
  std::string EventName;
  std::string EventId;
  std::string EventData;
  std::uint64_t LastId = 0;
  bool Done = false;
};

} // namespace hemlockglade
