#pragma once

#include "Hemlockglade/State/Ids.h"
#include "Hemlockglade/Transport/Http1/HeldMemory.h"
#include "Hemlockglade/Transport/Http1/HttpReader.h"
#include "Hemlockglade/Transport/Http1/OutgoingBytes.h"
#include "Hemlockglade/Transport/Http1/SocketOptions.h"

#include <array>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <vector>

namespace hemlockglade {

/// Reason for which a call over a connection failed.
enum class HttpFailure : std::uint8_t {
  /// No connection was established; nothing was sent.
  NotConnected,
  /// The connection broke, or the answer was not HTTP, after bytes were sent.
  Broken,
  /// The other side closed the connection before the answer was complete.
  Ended,
  /// The answer went beyond a limit, so that it was ended by this side.
  Endless,
};

/// Why no connection was established.
enum class ConnectFailure : std::uint8_t {
  None,
  TimedOut,
  Refused,
  /// Reset while it was established.
  Reset,
  /// The connection was pooled and had ended, or no socket could be opened.
  Other,
};

std::string_view connectFailureName(ConnectFailure why);

/// Hooks of one call.
struct HttpCallHooks {
  /// Called when a new connection is open, before anything is written. The
  /// caller may abort the connection; then nothing is sent.
  std::function<void()> OnConnected;
  /// Called with the answer's head. Returning false discards this answer; the
  /// call then waits for the next one on the connection, which carries no
  /// further call.
  std::function<bool(const HttpAnswerHead &head)> OnHead;
  std::function<void(std::string_view part)> OnBody;
  /// Called when the answer is complete.
  std::function<void()> OnDone;
  /// Called when there will be no complete answer.
  std::function<void(HttpFailure how)> OnFailed;
};

/// A client's connection to one address. It carries one call at a time and is
/// used by the thread of its io_context only.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
public:
  struct Settings {
    /// Timeout for establishing the connection.
    Span ConnectTimeout = std::chrono::milliseconds(400);
    /// Local address that it is made from; the kernel's choice if unset.
    std::optional<asio::ip::address> LocalAddress;
    SilenceTimeouts Silence;
    /// Accounts for the bytes that incomplete answers hold; may be null.
    std::shared_ptr<HeldMemory> Memory;
  };

  HttpConnection(asio::io_context &context, asio::ip::tcp::endpoint address,
                 Settings settings);
  HttpConnection(const HttpConnection &) = delete;
  HttpConnection &operator=(const HttpConnection &) = delete;

  /// Sends a request, connecting first if needed. The hooks are called later,
  /// never from within this call; OnDone or OnFailed is the last one.
  /// `bodiless` says that the answer has no body whatever its head says, as to
  /// HEAD.
  void call(const std::string &head, const std::string &body, bool bodiless,
            HttpCallHooks hooks);
  /// The same with a body that is shared until it has been written.
  void call(const std::string &head,
            const std::shared_ptr<const std::string> &body, bool bodiless,
            HttpCallHooks hooks);
  /// Closes the connection at once; no hook is called any more.
  void abort();
  /// Sets how many bytes of the answer's body its receiver holds. The answer,
  /// or another one, may be ended later because of it.
  void holdBody(std::size_t bytes);
  /// Counts an answer that its receiver ends because it has no end.
  void countEndless(EndlessKind kind);
  /// Pauses or resumes reading of the answer, for a slow receiver.
  void pauseReading(bool paused);

  /// Excludes calls with this key, such as a hash of their request's id, from
  /// this connection: an answer to one of them could not be told from a late
  /// repeat of an answer that has come. With too many keys the connection is
  /// not reusable.
  void excludeKey(std::uint64_t key);
  bool isExcluded(std::uint64_t key) const;

  /// Called when an idle connection is closed by the other side or receives
  /// bytes that no request asked for.
  std::function<void()> OnIdleEnd;

  bool open() const { return Connected; }
  /// Returns whether a request is being sent or its answer is incomplete.
  bool calling() const { return Connected && Hooks; }
  /// Returns whether another call may follow: the last answer was complete, its
  /// whole request was sent, and neither side closes the connection.
  bool reusable() const { return Connected && Reusable && !Hooks; }
  /// Returns whether the last answer's end was that of the connection. It may
  /// then have been cut off: the end of a process closes its connections as
  /// regularly.
  bool endedAnswer() const { return HasEndedAnswer; }
  /// Returns whether neither bytes nor the connection's end wait to be read.
  bool quiet();
  /// Returns the number of calls so far, that under way included.
  std::uint64_t calls() const { return CallCount; }
  /// Returns the local port; 0 if the connection isn't open.
  std::uint16_t localPort() const;
  /// Returns when the connection became idle.
  Instant idleSince() const { return IdleSince; }
  /// Returns how long the other side keeps an idle connection open, if it has
  /// announced it.
  std::optional<Span> keepAlive() const { return KeepAlive; }
  const asio::ip::tcp::endpoint &address() const { return Address; }
  /// Returns why a call failed with `NotConnected`.
  ConnectFailure connectFailure() const { return WhyNotConnected; }

private:
  void connect();
  void write();
  void read();
  void onBytes(std::string_view bytes);
  void onHead();
  void onMessage();
  /// Whether the limits of answers that are discarded are exceeded.
  bool discardsTooMuch() const;
  void updateHeld();
  void failEndless(EndlessKind kind);
  void onEnd(asio::error_code ec);
  void fail(HttpFailure how);
  void failToConnect(ConnectFailure why);
  void closeSocket();
  void readKeepAlive(const HeaderFields &fields);

  asio::io_context &Context;
  asio::ip::tcp::socket Socket;
  asio::steady_timer ConnectTimer;
  asio::ip::tcp::endpoint Address;
  Settings Options;
  HttpReader Reader{HttpReader::Side::Answers};
  std::shared_ptr<HttpCallHooks> Hooks;
  OutgoingBytes Outgoing;
  std::array<char, 8192> Buffer{};
  bool Connected = false;
  bool IsConnecting = false;
  bool IsReading = false;
  bool IsPaused = false;
  bool IsWriting = false;
  bool HasWriteFailed = false;
  bool HasEndedAnswer = false;
  bool IsBodiless = false;
  bool Reusable = true;
  bool IsDiscarding = false;
  /// The answer is ended because of the memory that all answers hold.
  bool IsEnding = false;
  /// Answers discarded during this call, and the bytes received for them.
  std::size_t DiscardedAnswers = 0;
  std::size_t DiscardedBytes = 0;
  std::size_t BodyBytes = 0;
  HeldMemory::Share Held;
  std::uint64_t CallCount = 0;
  std::vector<std::uint64_t> ExcludedKeys;
  bool IsClosed = false;
  ConnectFailure WhyNotConnected = ConnectFailure::None;
  Instant IdleSince{};
  std::optional<Span> KeepAlive;
};

} // namespace hemlockglade
