#include "Hemlockglade/Transport/Http1/HttpConnection.h"

#include "Hemlockglade/Transport/Time/TimerService.h"

#include <algorithm>
#include <asio/post.hpp>
#include <cerrno>
#include <charconv>
#include <sys/socket.h>

namespace hemlockglade {

namespace {

/// Answers with a lower status are interim ones, which another one follows.
constexpr std::uint16_t FirstFinalStatus = 200;
/// Limits of what is discarded during one call. Servers send at most a few
/// interim answers a second, and an answer to an earlier request has at most
/// the size of a plain one.
constexpr std::size_t MaxDiscardedAnswers = 100;
constexpr std::size_t MaxDiscardedBytes = std::size_t{8} * 1024 * 1024;

ConnectFailure connectFailureOf(asio::error_code ec) {
  if (ec == asio::error::connection_refused)
    return ConnectFailure::Refused;
  if (ec == asio::error::connection_reset)
    return ConnectFailure::Reset;
  if (ec == asio::error::timed_out)
    return ConnectFailure::TimedOut;
  return ConnectFailure::Other;
}

} // namespace

std::string_view connectFailureName(ConnectFailure why) {
  switch (why) {
  case ConnectFailure::None:
    return "none";
  case ConnectFailure::TimedOut:
    return "timed-out";
  case ConnectFailure::Refused:
    return "refused";
  case ConnectFailure::Reset:
    return "reset";
  case ConnectFailure::Other:
    return "other";
  }
  return "unknown";
}

HttpConnection::HttpConnection(asio::io_context &context,
                               asio::ip::tcp::endpoint address,
                               Settings settings)
    : Context(context), Socket(context), ConnectTimer(context),
      Address(std::move(address)), Options(std::move(settings)) {
  Reader.OnHead = [this] { onHead(); };
  Held.OnEnd = [this] {
    IsEnding = true;
    asio::post(Context, [weak = weak_from_this()] {
      auto self = weak.lock();
      if (self && self->IsEnding && self->Hooks)
        self->fail(HttpFailure::Endless);
    });
  };
  Reader.OnBody = [this](std::string_view part) {
    // A hook may end the call; this copy keeps the hooks alive until it
    // returns.
    auto hooks = Hooks;
    if (hooks && hooks->OnBody && !IsDiscarding)
      hooks->OnBody(part);
  };
}

void HttpConnection::onHead() {
  auto hooks = Hooks;
  const auto &head = Reader.answer();
  IsDiscarding = head.Status < FirstFinalStatus;
  DiscardedAnswers += IsDiscarding ? 1 : 0;
  if (IsDiscarding || !hooks)
    return;
  readKeepAlive(head.Fields);
  if (hooks->OnHead && !hooks->OnHead(head)) {
    IsDiscarding = true;
    ++DiscardedAnswers;
    // The other side may send more answers that nobody asked for.
    Reusable = false;
  }
}

void HttpConnection::excludeKey(std::uint64_t key) {
  // A new connection costs less than to remember more.
  constexpr std::size_t MaxKeys = 64;
  if (ExcludedKeys.size() < MaxKeys)
    ExcludedKeys.push_back(key);
  else
    Reusable = false;
}

bool HttpConnection::isExcluded(std::uint64_t key) const {
  return std::find(ExcludedKeys.begin(), ExcludedKeys.end(), key) !=
         ExcludedKeys.end();
}

bool HttpConnection::quiet() {
  char first = 0;
  auto n = ::recv(Socket.native_handle(), &first, sizeof first,
                  MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

std::uint16_t HttpConnection::localPort() const {
  asio::error_code ec;
  auto local = Socket.local_endpoint(ec);
  return ec ? std::uint16_t{0} : local.port();
}

void HttpConnection::call(const std::string &head, const std::string &body,
                          bool bodiless, HttpCallHooks hooks) {
  call(head, std::make_shared<const std::string>(body), bodiless,
       std::move(hooks));
}

void HttpConnection::call(const std::string &head,
                          const std::shared_ptr<const std::string> &body,
                          bool bodiless, HttpCallHooks hooks) {
  Hooks = std::make_shared<HttpCallHooks>(std::move(hooks));
  ++CallCount;
  Outgoing = {};
  Outgoing.append(head);
  Outgoing.append(body);
  IsBodiless = bodiless;
  IsDiscarding = false;
  IsEnding = false;
  DiscardedAnswers = DiscardedBytes = 0;
  BodyBytes = 0;
  Reusable = true;
  Reader.next(bodiless);
  if (IsClosed) {
    asio::post(Context, [self = shared_from_this()] {
      self->failToConnect(ConnectFailure::Other);
    });
    return;
  }
  if (!Connected)
    return connect();
  write();
}

void HttpConnection::connect() {
  IsConnecting = true;
  asio::error_code ec;
  Socket.open(Address.protocol(), ec);
  if (ec) {
    asio::post(Context, [self = shared_from_this()] {
      self->failToConnect(ConnectFailure::Other);
    });
    return;
  }
  setUpSocket(Socket, Options.Silence);
  if (Options.LocalAddress && !bindLocal(Socket, *Options.LocalAddress)) {
    asio::post(Context, [self = shared_from_this()] {
      self->failToConnect(ConnectFailure::Other);
    });
    return;
  }
  ConnectTimer.expires_after(Options.ConnectTimeout);
  ConnectTimer.async_wait([self = shared_from_this()](asio::error_code ec) {
    if (!ec && self->IsConnecting)
      self->failToConnect(ConnectFailure::TimedOut);
  });
  Socket.async_connect(
      Address, [self = shared_from_this()](asio::error_code ec) {
        if (!std::exchange(self->IsConnecting, false) || self->IsClosed)
          return;
        self->ConnectTimer.cancel();
        if (ec)
          return self->failToConnect(connectFailureOf(ec));
        // Kept alive: the hook may end the call.
        auto hooks = self->Hooks;
        if (hooks && hooks->OnConnected)
          hooks->OnConnected();
        if (self->IsClosed)
          return;
        self->Connected = true;
        self->write();
        self->read();
      });
}

void HttpConnection::write() {
  if (IsWriting || IsClosed)
    return;
  auto result = Outgoing.writeTo(Socket);
  // An answer may have arrived before the connection broke. The failure is
  // reported by reading, so that such an answer is not lost. The kernel reports
  // it only once: reading finds what looks like a regular end.
  if (result == OutgoingBytes::Result::Broken) {
    Reusable = false;
    HasWriteFailed = true;
  }
  if (result != OutgoingBytes::Result::Waits)
    return;
  IsWriting = true;
  Socket.async_wait(asio::socket_base::wait_write,
                    [self = shared_from_this()](asio::error_code ec) {
                      self->IsWriting = false;
                      if (!ec)
                        self->write();
                    });
}

void HttpConnection::pauseReading(bool paused) {
  IsPaused = paused;
  if (!IsPaused && Connected && !IsClosed)
    read();
}

void HttpConnection::read() {
  if (IsReading || IsPaused || IsClosed || IsEnding)
    return;
  IsReading = true;
  Socket.async_read_some(
      asio::buffer(Buffer),
      [self = shared_from_this()](asio::error_code ec, std::size_t n) {
        if (!ec && !self->IsClosed && !self->IsEnding)
          self->onBytes({self->Buffer.data(), n});
        // A hook may resume reading while the buffer is still parsed; the next
        // read would overwrite it.
        self->IsReading = false;
        if (self->IsClosed || self->IsEnding)
          return;
        if (ec)
          return self->onEnd(ec);
        self->read();
      });
}

void HttpConnection::onBytes(std::string_view bytes) {
  while (!bytes.empty() && !IsClosed && !IsEnding) {
    if (!Hooks) {
      // Without a call these bytes belong to no answer.
      closeSocket();
      if (OnIdleEnd)
        OnIdleEnd();
      return;
    }
    auto n = Reader.feed(bytes);
    bytes.remove_prefix(n);
    DiscardedBytes += IsDiscarding ? n : 0;
    if (Hooks && Reader.headTooLarge())
      return failEndless(EndlessKind::Head);
    if (Reader.state() == HttpReader::State::Broken)
      return fail(HttpFailure::Broken);
    if (Hooks && discardsTooMuch())
      return failEndless(EndlessKind::Interim);
    if (Reader.state() == HttpReader::State::Complete) {
      // What follows the answer would be taken for the next one.
      if (!IsDiscarding && !bytes.empty())
        Reusable = false;
      onMessage();
    } else if (n == 0) {
      return fail(HttpFailure::Broken);
    } else {
      updateHeld();
    }
  }
}

bool HttpConnection::discardsTooMuch() const {
  return DiscardedAnswers > MaxDiscardedAnswers ||
         DiscardedBytes > MaxDiscardedBytes;
}

void HttpConnection::holdBody(std::size_t bytes) {
  BodyBytes = bytes;
  if (Hooks)
    updateHeld();
}

void HttpConnection::updateHeld() {
  if (Options.Memory && !IsClosed)
    Held.hold(*Options.Memory, Reader.heldBytes() + BodyBytes);
}

void HttpConnection::countEndless(EndlessKind kind) {
  if (Options.Memory)
    Options.Memory->count(kind);
}

void HttpConnection::failEndless(EndlessKind kind) {
  countEndless(kind);
  fail(HttpFailure::Endless);
}

void HttpConnection::onMessage() {
  if (std::exchange(IsDiscarding, false)) {
    Reader.next(IsBodiless);
    return;
  }
  auto hooks = std::exchange(Hooks, nullptr);
  Held.release();
  // The answer was complete before it could be ended.
  IsEnding = false;
  if (!hooks)
    return;
  // If the answer arrived before the whole request was sent, the rest of the
  // request would be sent in front of the next one.
  if (!Reader.keepsAlive() || !Outgoing.empty())
    Reusable = false;
  IdleSince = TimerService::now();
  if (hooks->OnDone)
    hooks->OnDone();
  if (!Reusable && !Hooks)
    closeSocket();
}

void HttpConnection::onEnd(asio::error_code ec) {
  if (!Hooks) {
    closeSocket();
    if (OnIdleEnd)
      OnIdleEnd();
    return;
  }
  if (ec != asio::error::eof || HasWriteFailed)
    return fail(HttpFailure::Broken);
  // An answer whose end is that of the connection is whole only if the other
  // side had the whole request when it closed.
  if (!Outgoing.empty())
    return fail(HttpFailure::Ended);
  Reusable = false;
  Reader.finish();
  // The end of a discarded answer is not that of the call's own.
  if (Reader.state() == HttpReader::State::Complete && !IsDiscarding) {
    HasEndedAnswer = true;
    return onMessage();
  }
  fail(HttpFailure::Ended);
}

void HttpConnection::fail(HttpFailure how) {
  closeSocket();
  if (!Hooks)
    return;
  auto hooks = std::exchange(Hooks, nullptr);
  if (hooks->OnFailed)
    hooks->OnFailed(how);
}

void HttpConnection::failToConnect(ConnectFailure why) {
  WhyNotConnected = why;
  fail(HttpFailure::NotConnected);
}

void HttpConnection::abort() {
  Hooks.reset();
  closeSocket();
}

void HttpConnection::closeSocket() {
  if (std::exchange(IsClosed, true))
    return;
  Held.release();
  Connected = false;
  IsConnecting = false;
  Reusable = false;
  ConnectTimer.cancel();
  resetSocket(Socket);
}

void HttpConnection::readKeepAlive(const HeaderFields &fields) {
  constexpr std::string_view Key = "timeout=";
  const auto *value = findField(fields, "Keep-Alive");
  if (!value)
    return;
  auto at = value->find(Key);
  if (at == std::string::npos)
    return;
  unsigned seconds = 0;
  const auto *first = value->data() + at + Key.size();
  auto [end, ec] =
      std::from_chars(first, value->data() + value->size(), seconds);
  if (ec == std::errc())
    KeepAlive = std::chrono::seconds(seconds);
}

} // namespace hemlockglade
