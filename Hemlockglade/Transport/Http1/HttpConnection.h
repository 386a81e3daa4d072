#pragma once

#include "Hemlockglade/State/Ids.h"
#include "Hemlockglade/Transport/Http1/HttpReader.h"
#include "Hemlockglade/Transport/Http1/OutgoingBytes.h"
#include "Hemlockglade/Transport/Http1/SocketOptions.h"

#include <array>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <optional>

namespace hemlockglade {

/// How a call over a connection failed.
enum class HttpFailure : std::uint8_t {
  /// No connection came about; nothing was sent.
  NotConnected,
  /// The connection broke, or its answer was no HTTP, after bytes were sent.
  Broken,
  /// The other side ended the connection where an answer was due.
  Ended,
};

/// What the caller of a connection wants to hear of one answer.
struct HttpCallHooks {
  /// The answer's head. Returning false drops this answer and waits for the
  /// next one on the connection.
  std::function<bool(const HttpAnswerHead &head)> OnHead;
  std::function<void(std::string_view part)> OnBody;
  /// The answer is complete.
  std::function<void()> OnDone;
  /// There will be no complete answer.
  std::function<void(HttpFailure how)> OnFailed;
};

/// A client's connection to one address. It carries one call at a time and is
/// used by the thread of its io_context only.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
public:
  struct Settings {
    /// Time for a connection to come about.
    Span ConnectTimeout = std::chrono::milliseconds(400);
    SilenceBounds Silence;
  };

  HttpConnection(asio::io_context &context, asio::ip::tcp::endpoint address,
                 Settings settings);
  HttpConnection(const HttpConnection &) = delete;
  HttpConnection &operator=(const HttpConnection &) = delete;

  /// Sends a request, connecting first if needed. The hooks are called later,
  /// never from inside, until OnDone or OnFailed.
  void call(const std::string &head, const std::string &body, bool bodiless,
            HttpCallHooks hooks);
  /// Ends the connection at once; no hook is called any more.
  void abort();
  /// Stops and resumes reading of the answer, for a slow receiver.
  void pauseReading(bool paused);

  /// Called when an idle connection ends, or answers unasked.
  std::function<void()> OnIdleEnd;

  bool open() const { return Connected; }
  /// A request goes out, or its answer is not complete yet.
  bool calling() const { return Connected && Hooks; }
  /// Whether another call may follow: the last answer was complete, all of the
  /// request was sent, and neither side has said that it closes.
  bool reusable() const { return Connected && Reusable && !Hooks; }
  /// When the connection became idle.
  Instant idleSince() const { return IdleSince; }
  /// How long the other side keeps an idle connection, if it said so.
  std::optional<Span> keepAlive() const { return KeepAlive; }
  const asio::ip::tcp::endpoint &address() const { return Address; }

private:
  void connect();
  void write();
  void read();
  void onBytes(std::string_view bytes);
  void onHead();
  void onMessage();
  void onEnd(asio::error_code ec);
  void fail(HttpFailure how);
  void shut();
  void readKeepAlive(const HeaderFields &fields);

  asio::io_context &Context;
  asio::ip::tcp::socket Socket;
  asio::steady_timer ConnectTimer;
  asio::ip::tcp::endpoint Address;
  Settings Setup;
  HttpReader Reader{HttpReader::Side::Answers};
  std::shared_ptr<HttpCallHooks> Hooks;
  OutgoingBytes Outgoing;
  std::array<char, 8192> Buffer{};
  bool Connected = false;
  bool Connecting = false;
  bool Reading = false;
  bool Paused = false;
  bool Writing = false;
  bool Bodiless = false;
  bool Reusable = true;
  bool Dropping = false;
  bool Shut = false;
  Instant IdleSince{};
  std::optional<Span> KeepAlive;
};

} // namespace hemlockglade
