#pragma once

#include "StandIns/StandInHost.h"

namespace hemlockglade {

/// What a caller expects of the answer to one request.
struct ExpectedAnswer {
  std::string Tag;
  /// As asked, with or without a version; empty for a plain service.
  std::string Model;
  std::int64_t Tokens = 0;
  bool Stream = false;
  /// Body that a plain service has to echo.
  std::string Echo;
};

/// Reads one answer as its caller and checks that it is whole and its own.
class AnswerReader {
public:
  explicit AnswerReader(ExpectedAnswer expected);

  void head(int status, const HttpFields &fields);
  void part(std::string_view text);
  /// Nothing more comes; `whole` if the answer ended as it should.
  void end(bool whole);

  /// `complete`, `not-run`, `unknown`, or `none` if the answer told nothing.
  std::string Outcome = "none";
  /// What is wrong with the answer; empty if nothing is.
  std::string Fault;
  /// All tokens, or a plain service's body.
  std::string Text;
  std::string Request;
  std::string Adapter;
  std::string Replica;
  int Status = 0;
  /// From Retry-After, in seconds; 0 if it isn't there.
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
  /// Not yet a whole line, or the body of an answer that isn't streamed.
  std::string Held;
  std::string EventName;
  std::string EventId;
  std::string EventData;
  std::uint64_t LastId = 0;
  bool Done = false;
};

} // namespace hemlockglade
