#pragma once

#include "Hemlockglade/State/Ids.h"
#include "Hemlockglade/Transport/Http1/HttpReader.h"
#include "Hemlockglade/Transport/Http1/OutgoingBytes.h"
#include "Hemlockglade/Transport/Http1/SocketOptions.h"

#include <array>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <memory>

namespace hemlockglade {

class CallerConnection;

/// Bounds on what a caller may send and how long it may take.
struct CallerBounds {
  std::size_t MaxHeadBytes = std::size_t{16} * 1024;
  std::size_t MaxBodyBytes = std::size_t{4} * 1024 * 1024;
  /// Time from a request's first byte to its last.
  Span RequestTimeout = std::chrono::seconds(3);
  /// Time that a connection may rest between requests.
  Span IdleTimeout = std::chrono::seconds(15);
};

/// A whole request of a caller.
struct CallerRequest {
  HttpRequestHead Head;
  std::string Body;
  Instant ArrivedAt{};
};

/// Where a request's answer goes. It ends with `finish`, `respond` or `abort`;
/// one that is dropped without any of them aborts the connection.
class CallerReply {
public:
  explicit CallerReply(std::shared_ptr<CallerConnection> connection);
  ~CallerReply();
  CallerReply(const CallerReply &) = delete;
  CallerReply &operator=(const CallerReply &) = delete;

  /// Sends a whole answer; its framing is added.
  void respond(HttpAnswerHead head, std::string_view body);
  /// Begins an answer whose body comes in parts.
  void begin(HttpAnswerHead head);
  void part(std::string_view bytes);
  void finish();
  /// Breaks the connection, so that the answer can't look complete.
  void abort();

  /// Bytes that wait for the caller to read.
  std::size_t queued() const;
  /// Called once if the caller leaves before the answer is complete.
  std::function<void()> OnGone;
  /// Called when all queued bytes have been sent.
  std::function<void()> OnDrained;

private:
  friend class CallerConnection;
  std::shared_ptr<CallerConnection> Connection;
};

/// What the server of a connection does with requests.
struct CallerHooks {
  std::function<CallerBounds()> Bounds;
  std::function<void(CallerRequest request, std::shared_ptr<CallerReply> reply)>
      OnRequest;
  /// Whether answers should end their connection.
  std::function<bool()> Closing;
  /// A request was refused before it was complete, with this status.
  std::function<void(std::uint16_t status, std::string_view why)> OnRefused;
};

/// A caller's connection: reads requests one at a time, answers in order.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
  CallerConnection(asio::io_context &context, asio::ip::tcp::socket socket,
                   std::shared_ptr<const CallerHooks> hooks);

  void start();
  /// Ends the connection at once.
  void abort();
  /// Whether no request is being read or answered.
  bool idle() const;
  std::function<void()> OnClosed;

private:
  friend class CallerReply;

  void read();
  void onBytes(std::string_view bytes);
  void parse();
  void startRequest();
  void refuse(std::uint16_t status, std::string_view why);
  void send(std::string_view bytes);
  void write();
  void answered();
  void onGone();
  void armTimer(Span span, bool betweenRequests);

  asio::io_context &Context;
  asio::ip::tcp::socket Socket;
  asio::steady_timer Timer;
  std::shared_ptr<const CallerHooks> Hooks;
  HttpReader Reader{HttpReader::Side::Requests};
  CallerBounds Bounds;
  std::string Body;
  /// Bytes that came behind the request that is being answered.
  std::string Ahead;
  OutgoingBytes Outgoing;
  std::array<char, 8192> Buffer{};
  CallerReply *Active = nullptr;
  bool HeadRequest = false;
  bool Reading = false;
  bool Writing = false;
  bool KeepsAlive = true;
  bool EndsAfterWrite = false;
  bool SentContinue = false;
  bool Timed = false;
  bool Shut = false;
};

} // namespace hemlockglade
