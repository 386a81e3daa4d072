#include "Hemlockglade/Transport/Http1/HttpConnection.h"

#include "Hemlockglade/Transport/Time/TimerService.h"

#include <asio/post.hpp>
#include <charconv>

namespace hemlockglade {

namespace {

/// Answers below this status announce another one.
constexpr std::uint16_t FirstFinalStatus = 200;

} // namespace

HttpConnection::HttpConnection(asio::io_context &context,
                               asio::ip::tcp::endpoint address,
                               Settings settings)
    : Context(context), Socket(context), ConnectTimer(context),
      Address(std::move(address)), Setup(settings) {
  Reader.OnHead = [this] { onHead(); };
  Reader.OnBody = [this](std::string_view part) {
    // The hooks may end the call from inside; they live until they return.
    auto hooks = Hooks;
    if (hooks && hooks->OnBody && !Dropping)
      hooks->OnBody(part);
  };
}

void HttpConnection::onHead() {
  auto hooks = Hooks;
  const auto &head = Reader.answer();
  Dropping = head.Status < FirstFinalStatus;
  if (Dropping || !hooks)
    return;
  readKeepAlive(head.Fields);
  if (hooks->OnHead && !hooks->OnHead(head))
    Dropping = true;
}

void HttpConnection::call(const std::string &head, const std::string &body,
                          bool bodiless, HttpCallHooks hooks) {
  Hooks = std::make_shared<HttpCallHooks>(std::move(hooks));
  Outgoing = {};
  Outgoing.append(head);
  Outgoing.append(body);
  Bodiless = bodiless;
  Dropping = false;
  Reusable = true;
  Reader.next(bodiless);
  if (Shut) {
    asio::post(Context, [self = shared_from_this()] {
      self->fail(HttpFailure::NotConnected);
    });
    return;
  }
  if (!Connected)
    return connect();
  write();
}

void HttpConnection::connect() {
  Connecting = true;
  asio::error_code ec;
  Socket.open(Address.protocol(), ec);
  if (ec) {
    asio::post(Context, [self = shared_from_this()] {
      self->fail(HttpFailure::NotConnected);
    });
    return;
  }
  setUpSocket(Socket, Setup.Silence);
  ConnectTimer.expires_after(Setup.ConnectTimeout);
  ConnectTimer.async_wait([self = shared_from_this()](asio::error_code ec) {
    if (!ec && self->Connecting)
      self->fail(HttpFailure::NotConnected);
  });
  Socket.async_connect(
      Address, [self = shared_from_this()](asio::error_code ec) {
        if (!std::exchange(self->Connecting, false) || self->Shut)
          return;
        self->ConnectTimer.cancel();
        if (ec)
          return self->fail(HttpFailure::NotConnected);
        self->Connected = true;
        self->write();
        self->read();
      });
}

void HttpConnection::write() {
  if (Writing || Shut)
    return;
  auto result = Outgoing.writeTo(Socket);
  // An answer may have come before the connection broke; the reading side
  // tells, so that it is not lost.
  if (result == OutgoingBytes::Result::Broken)
    Reusable = false;
  if (result != OutgoingBytes::Result::Waits)
    return;
  Writing = true;
  Socket.async_wait(asio::socket_base::wait_write,
                    [self = shared_from_this()](asio::error_code ec) {
                      self->Writing = false;
                      if (!ec)
                        self->write();
                    });
}

void HttpConnection::pauseReading(bool paused) {
  Paused = paused;
  if (!Paused && Connected && !Shut)
    read();
}

void HttpConnection::read() {
  if (Reading || Paused || Shut)
    return;
  Reading = true;
  Socket.async_read_some(
      asio::buffer(Buffer),
      [self = shared_from_this()](asio::error_code ec, std::size_t n) {
        self->Reading = false;
        if (self->Shut)
          return;
        if (ec)
          return self->onEnd(ec);
        self->onBytes({self->Buffer.data(), n});
        if (!self->Shut)
          self->read();
      });
}

void HttpConnection::onBytes(std::string_view bytes) {
  while (!bytes.empty() && !Shut) {
    if (!Hooks) {
      // Bytes that nobody asked for belong to no call.
      shut();
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
  if (std::exchange(Dropping, false)) {
    Reader.next(Bodiless);
    return;
  }
  auto hooks = std::exchange(Hooks, nullptr);
  if (!hooks)
    return;
  // An answer that came before the request was out leaves the rest of the
  // request on the connection, where the next one would start.
  if (!Reader.keepsAlive() || !Outgoing.empty())
    Reusable = false;
  IdleSince = TimerService::now();
  if (hooks->OnDone)
    hooks->OnDone();
  if (!Reusable && !Hooks)
    shut();
}

void HttpConnection::onEnd(asio::error_code ec) {
  if (!Hooks) {
    shut();
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
  shut();
  if (!Hooks)
    return;
  auto hooks = std::exchange(Hooks, nullptr);
  if (hooks->OnFailed)
    hooks->OnFailed(how);
}

void HttpConnection::abort() {
  Hooks.reset();
  shut();
}

void HttpConnection::shut() {
  if (std::exchange(Shut, true))
    return;
  Connected = false;
  Connecting = false;
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
