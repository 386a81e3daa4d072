#include "Hemlockglade/Transport/Http1/HttpConnection.h"

#include "Hemlockglade/Transport/Time/TimerService.h"

#include <asio/post.hpp>
#include <charconv>

namespace hemlockglade {

namespace {

/// Answers with a lower status are interim ones, which another one follows.
constexpr std::uint16_t FirstFinalStatus = 200;

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
  if (IsDiscarding || !hooks)
    return;
  readKeepAlive(head.Fields);
  if (hooks->OnHead && !hooks->OnHead(head))
    IsDiscarding = true;
}

void HttpConnection::call(const std::string &head, const std::string &body,
                          bool bodiless, HttpCallHooks hooks) {
  Hooks = std::make_shared<HttpCallHooks>(std::move(hooks));
  Outgoing = {};
  Outgoing.append(head);
  Outgoing.append(body);
  IsBodiless = bodiless;
  IsDiscarding = false;
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
  // reported by reading, so that such an answer is not lost.
  if (result == OutgoingBytes::Result::Broken)
    Reusable = false;
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
  if (IsReading || IsPaused || IsClosed)
    return;
  IsReading = true;
  Socket.async_read_some(
      asio::buffer(Buffer),
      [self = shared_from_this()](asio::error_code ec, std::size_t n) {
        self->IsReading = false;
        if (self->IsClosed)
          return;
        if (ec)
          return self->onEnd(ec);
        self->onBytes({self->Buffer.data(), n});
        if (!self->IsClosed)
          self->read();
      });
}

void HttpConnection::onBytes(std::string_view bytes) {
  while (!bytes.empty() && !IsClosed) {
    if (!Hooks) {
      // Without a call these bytes belong to no answer.
      closeSocket();
      if (OnIdleEnd)
        OnIdleEnd();
      return;
    }
    auto n = Reader.feed(bytes);
    bytes.remove_prefix(n);
    if (Reader.state() == HttpReader::State::Broken)
      return fail(HttpFailure::Broken);
    if (Reader.state() == HttpReader::State::Complete)
      onMessage();
    else if (n == 0)
      return fail(HttpFailure::Broken);
  }
}

void HttpConnection::onMessage() {
  if (std::exchange(IsDiscarding, false)) {
    Reader.next(IsBodiless);
    return;
  }
  auto hooks = std::exchange(Hooks, nullptr);
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
  if (ec != asio::error::eof)
    return fail(HttpFailure::Broken);
  Reusable = false;
  Reader.finish();
  if (Reader.state() == HttpReader::State::Complete)
    return onMessage();
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
