#pragma once

#include "Hemlockglade/Transport/Http1/HttpMessage.h"

#include <functional>
#include <http_parser.h>
#include <memory>

namespace hemlockglade {

/// Reads HTTP/1.1 messages of one direction of a connection, one at a time,
/// over http_parser. It stops behind each message, so that what follows is
/// never taken for a part of it.
class HttpReader {
public:
  enum class Side : std::uint8_t { Requests, Answers };
  enum class State : std::uint8_t {
    /// No byte of the next message has come.
    Idle,
    /// The head is not complete.
    InHead,
    /// The head is complete, the body is not.
    InBody,
    /// The message is complete; `next` has to be called before more is fed.
    Complete,
    /// The bytes are no HTTP/1.1, or the head is too large.
    Broken,
  };

  explicit HttpReader(Side side);

  /// Called when a head is complete, before any part of its body.
  std::function<void()> OnHead;
  /// Called with each part of a body, in order.
  std::function<void(std::string_view part)> OnBody;

  /// Takes bytes up to the end of the message; returns how many were taken.
  std::size_t feed(std::string_view bytes);
  /// The connection ended. Completes an answer that is delimited by that.
  void finish();
  /// Gets ready for the next message. `bodiless` says that an answer has no
  /// body whatever its head says, as to HEAD.
  void next(bool bodiless = false);

  State state() const { return Now; }
  bool headComplete() const {
    return Now == State::InBody || Now == State::Complete;
  }
  /// Bytes of the head so far, roughly.
  std::size_t headBytes() const { return HeadBytes; }
  void limitHead(std::size_t bytes) { HeadLimit = bytes; }
  /// Whether the head, not the syntax, was the reason for `Broken`.
  bool headTooLarge() const { return TooLarge; }

  const HttpRequestHead &request() const { return Request; }
  const HttpAnswerHead &answer() const { return Answer; }
  HttpRequestHead takeRequest() { return std::move(Request); }
  HttpAnswerHead takeAnswer() { return std::move(Answer); }
  /// Whether the other side will use the connection again after this message.
  bool keepsAlive() const { return KeepsAlive; }

private:
  struct Callbacks;

  HeaderFields &fields();

  Side Direction;
  State Now = State::Idle;
  http_parser Parser{};
  HttpRequestHead Request;
  HttpAnswerHead Answer;
  std::size_t HeadBytes = 0;
  std::size_t HeadLimit = std::size_t{64} * 1024;
  bool TooLarge = false;
  bool KeepsAlive = false;
  bool Bodiless = false;
  bool InValue = false;
};

} // namespace hemlockglade
