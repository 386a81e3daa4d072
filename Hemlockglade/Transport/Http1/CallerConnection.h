#pragma once

#include "Hemlockglade/State/Ids.h"
#include "Hemlockglade/Transport/Http1/BodyBuffer.h"
#include "Hemlockglade/Transport/Http1/HeldMemory.h"
#include "Hemlockglade/Transport/Http1/HttpReader.h"
#include "Hemlockglade/Transport/Http1/OutgoingBytes.h"
#include "Hemlockglade/Transport/Http1/SocketOptions.h"

#include <array>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <optional>

namespace hemlockglade {

class CallerConnection;

/// Limits on the size and duration of a caller's requests.
struct CallerBounds {
  std::size_t MaxHeadBytes = std::size_t{16} * 1024;
  std::size_t MaxBodyBytes = std::size_t{4} * 1024 * 1024;
  /// Timeout from a request's first byte to its last.
  Span RequestTimeout = std::chrono::seconds(3);
  /// Timeout of a connection that is idle between requests.
  Span IdleTimeout = std::chrono::seconds(15);
};

/// A complete request of a caller.
struct CallerRequest {
  HttpRequestHead Head;
  std::string Body;
  Instant ArrivedAt{};
  /// Accounts for its bytes while a copy of it exists; may be null.
  std::shared_ptr<HeldMemory::Share> Held;
};

/// Sends the answer to one request. An answer ends with `finish`, `respond` or
/// `abort`; destroying the reply without any of them aborts the connection.
class CallerReply {
public:
  explicit CallerReply(std::shared_ptr<CallerConnection> connection);
  ~CallerReply();
  CallerReply(const CallerReply &) = delete;
  CallerReply &operator=(const CallerReply &) = delete;

  /// Sends a complete answer and adds its framing.
  void respond(HttpAnswerHead head, std::string_view body);
  /// The same with a body that is shared until it has been written.
  void respond(HttpAnswerHead head,
               const std::shared_ptr<const std::string> &body);
  /// Begins an answer whose body is sent in parts.
  void begin(HttpAnswerHead head);
  void part(std::string_view bytes);
  void finish();
  /// Breaks the connection, so that the caller can't take the answer for
  /// complete.
  void abort();

  /// Returns the number of bytes that are not written to the socket yet.
  std::size_t queued() const;
  /// Called once if the caller disconnects before the answer is complete.
  std::function<void()> OnGone;
  /// Called when all queued bytes have been sent.
  std::function<void()> OnDrained;

private:
  friend class CallerConnection;
  std::shared_ptr<CallerConnection> Connection;
};

/// Hooks of the server for its connections.
struct CallerHooks {
  std::function<CallerBounds()> Bounds;
  std::function<void(CallerRequest request, std::shared_ptr<CallerReply> reply)>
      OnRequest;
  /// Returns whether answers should close their connection.
  std::function<bool()> Closing;
  /// Called when a request was refused with this status before it reached
  /// OnRequest.
  std::function<void(std::uint16_t status, std::string_view why)> OnRefused;
  /// Accounts for what the connections hold; may be null.
  std::shared_ptr<HeldMemory> Memory;
};

/// A caller's connection. It handles one request at a time, so that answers are
/// sent in order.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
  CallerConnection(asio::io_context &context, asio::ip::tcp::socket socket,
                   std::shared_ptr<const CallerHooks> hooks);

  void start();
  /// Closes the connection at once.
  void abort();
  /// Returns whether no request is being read or answered, and nothing is left
  /// to write.
  bool idle() const;
  /// Returns since when the connection is idle.
  Instant idleSince() const { return IdleSince; }
  /// Returns the bytes a second in which a request that is incomplete has come;
  /// nothing if there is none.
  std::optional<double> requestRate() const;
  std::function<void()> OnClosed;

private:
  friend class CallerReply;

  void read();
  void onBytes(std::string_view bytes);
  void parse();
  void startRequest();
  void refuse(std::uint16_t status, std::string_view why,
              HeaderFields fields = {});
  void send(std::string_view bytes);
  void send(const std::shared_ptr<const std::string> &bytes);
  /// Updates the account of what was received, or of what is not written yet.
  void updateReceived();
  void updateUnwritten();
  /// Called later when the account wants the memory of either back.
  void endReceived();
  void endUnwritten();
  void write();
  void onAnswerComplete();
  void onDisconnect();
  void armTimer(Span span, bool betweenRequests);
  void cancelTimer();

  asio::io_context &Context;
  asio::ip::tcp::socket Socket;
  asio::steady_timer Timer;
  std::shared_ptr<const CallerHooks> Hooks;
  HttpReader Reader{HttpReader::Side::Requests};
  CallerBounds Bounds;
  BodyBuffer Body;
  /// Received bytes that are not parsed yet, such as those after the request
  /// that is being answered.
  std::string Unparsed;
  OutgoingBytes Outgoing;
  std::array<char, 8192> Buffer{};
  CallerReply *ActiveReply = nullptr;
  HeldMemory::Share Received{HeldKind::Request};
  HeldMemory::Share Unwritten{HeldKind::Unread};
  Instant IdleSince{};
  /// When the first byte of the request came that is being read, and how many
  /// have come.
  Instant RequestSince{};
  std::size_t RequestBytes = 0;
  /// Identifies the timer that is armed; a handler of an earlier one may still
  /// be called after it was cancelled.
  std::uint64_t TimerNumber = 0;
  bool IsHeadRequest = false;
  bool IsReading = false;
  bool IsWriting = false;
  bool KeepsAlive = true;
  bool ClosesAfterWrite = false;
  /// The first part of the body that is being read has been looked at.
  bool HasSeenBody = false;
  /// What comes is dropped: no further request is taken.
  bool DropsInput = false;
  bool IsClosed = false;
};

} // namespace hemlockglade
