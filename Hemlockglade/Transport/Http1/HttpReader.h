#pragma once

#include "Hemlockglade/Transport/Http1/HttpMessage.h"

#include <functional>
#include <http_parser.h>
#include <memory>
#include <optional>

namespace hemlockglade {

/// Parses the HTTP/1.1 messages of one direction of a connection with
/// http_parser, one at a time. It stops after each message, so that the bytes
/// after it are never taken for a part of it. Trailers are read and dropped:
/// fields among them that frame, route or authenticate must not count.
class HttpReader {
public:
  enum class Side : std::uint8_t { Requests, Answers };
  enum class State : std::uint8_t {
    /// No byte of the next message has been fed.
    Idle,
    /// The head is not complete.
    InHead,
    /// The head is complete, the body is not.
    InBody,
    /// The message is complete; `next` must be called before more is fed.
    Complete,
    /// The bytes are not HTTP/1.1, or the head is too large.
    Broken,
  };

  explicit HttpReader(Side side);

  /// Called when a head is complete, before any part of its body.
  std::function<void()> OnHead;
  /// Called with each part of a body, in order.
  std::function<void(std::string_view part)> OnBody;

  /// Parses bytes up to the end of the message; returns how many it consumed.
  std::size_t feed(std::string_view bytes);
  /// Called when the connection has ended. Completes an answer whose body is
  /// delimited by that; any other incomplete message becomes `Broken`.
  void finish();
  /// Prepares for the next message. `bodiless` says that an answer has no
  /// body whatever its head says, as to HEAD.
  void next(bool bodiless = false);

  State state() const { return Current; }
  bool headComplete() const {
    return Current == State::InBody || Current == State::Complete;
  }
  /// Returns the length of the body that a complete head announces; nothing if
  /// it announces none.
  std::optional<std::uint64_t> announcedLength() const {
    return AnnouncedLength;
  }
  /// Returns the approximate memory taken by the head so far.
  std::size_t heldBytes() const;
  /// Returns the approximate number of bytes of the head so far.
  std::size_t headBytes() const { return HeadBytes; }
  void setMaxHeadBytes(std::size_t bytes) { MaxHeadBytes = bytes; }
  /// Returns whether the size of the head, not its syntax, was the reason for
  /// `Broken`.
  bool headTooLarge() const { return IsHeadTooLarge; }

  const HttpRequestHead &request() const { return Request; }
  const HttpAnswerHead &answer() const { return Answer; }
  HttpRequestHead takeRequest() { return std::move(Request); }
  HttpAnswerHead takeAnswer() { return std::move(Answer); }
  /// Returns whether the other side keeps the connection open after this
  /// message.
  bool keepsAlive() const { return KeepsAlive; }

private:
  struct Callbacks;

  HeaderFields &fields();
  Side Direction;
  State Current = State::Idle;
  http_parser Parser{};
  HttpRequestHead Request;
  HttpAnswerHead Answer;
  std::optional<std::uint64_t> AnnouncedLength;
  std::size_t HeadBytes = 0;
  std::size_t MaxHeadBytes = std::size_t{64} * 1024;
  bool IsHeadTooLarge = false;
  bool KeepsAlive = false;
  bool IsBodiless = false;
  bool IsInValue = false;
};

} // namespace hemlockglade
