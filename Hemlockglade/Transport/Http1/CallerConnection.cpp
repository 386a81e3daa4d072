#include "Hemlockglade/Transport/Http1/CallerConnection.h"

#include "Hemlockglade/Transport/Time/TimerService.h"

#include <asio/post.hpp>

namespace hemlockglade {

namespace {

/// Bytes that a caller may send ahead while its request is being answered.
/// Beyond it the connection is not read, so a disconnect is not noticed.
constexpr std::size_t MaxUnparsedBytes = std::size_t{64} * 1024;
constexpr std::uint16_t BadRequestStatus = 400;
constexpr std::uint16_t RequestTimeout = 408;
constexpr std::uint16_t BodyTooLargeStatus = 413;
constexpr std::uint16_t HeadTooLargeStatus = 431;

std::string toHex(std::size_t n) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string out;
  do {
    out.insert(out.begin(), Digits[n % Digits.size()]);
    n /= Digits.size();
  } while (n);
  return out;
}

std::size_t countFields(const HeaderFields &fields, std::string_view name) {
  std::size_t n = 0;
  for (const auto &it : fields)
    n += sameFieldName(it.Name, name) ? 1 : 0;
  return n;
}

} // namespace

CallerReply::CallerReply(std::shared_ptr<CallerConnection> connection)
    : Connection(std::move(connection)) {
  Connection->ActiveReply = this;
}

CallerReply::~CallerReply() {
  try {
    abort();
  } catch (const std::exception &) {
    // Memory has run out. The connection closes with its last reference.
  }
}

void CallerReply::respond(HttpAnswerHead head, std::string_view body) {
  if (!Connection)
    return;
  std::erase_if(head.Fields,
                [](const auto &it) { return isConnectionField(it.Name); });
  head.Fields.push_back({"Content-Length", std::to_string(body.size())});
  if (Connection->ClosesAfterWrite)
    head.Fields.push_back({"Connection", "close"});
  auto text = writeHead(head);
  if (!Connection->IsHeadRequest)
    text.append(body);
  auto connection = std::exchange(Connection, nullptr);
  connection->send(text);
  connection->onAnswerComplete();
}

void CallerReply::begin(HttpAnswerHead head) {
  if (!Connection)
    return;
  std::erase_if(head.Fields,
                [](const auto &it) { return isConnectionField(it.Name); });
  head.Fields.push_back({"Transfer-Encoding", "chunked"});
  if (Connection->ClosesAfterWrite)
    head.Fields.push_back({"Connection", "close"});
  Connection->send(writeHead(head));
}

void CallerReply::part(std::string_view bytes) {
  if (!Connection || bytes.empty())
    return;
  std::string chunk = toHex(bytes.size());
  chunk.append("\r\n").append(bytes).append("\r\n");
  Connection->send(chunk);
}

void CallerReply::finish() {
  auto connection = std::exchange(Connection, nullptr);
  if (!connection)
    return;
  connection->send("0\r\n\r\n");
  connection->onAnswerComplete();
}

void CallerReply::abort() {
  auto connection = std::exchange(Connection, nullptr);
  if (!connection)
    return;
  connection->ActiveReply = nullptr;
  connection->abort();
}

std::size_t CallerReply::queued() const {
  return Connection ? Connection->Outgoing.size() : 0;
}

CallerConnection::CallerConnection(asio::io_context &context,
                                   asio::ip::tcp::socket socket,
                                   std::shared_ptr<const CallerHooks> hooks)
    : Context(context), Socket(std::move(socket)), Timer(context),
      Hooks(std::move(hooks)) {
  Reader.OnBody = [this](std::string_view part) {
    if (Body.size() <= Bounds.MaxBodyBytes)
      Body.append(part);
  };
}

void CallerConnection::start() {
  setUpSocket(Socket, {});
  Bounds = Hooks->Bounds();
  Reader.setMaxHeadBytes(Bounds.MaxHeadBytes);
  armTimer(Bounds.IdleTimeout, true);
  read();
}

bool CallerConnection::idle() const {
  return !ActiveReply && Reader.state() == HttpReader::State::Idle &&
         !IsWriting;
}

void CallerConnection::armTimer(Span span, bool betweenRequests) {
  Timer.expires_after(span);
  Timer.async_wait([self = shared_from_this(), betweenRequests,
                    number = ++TimerNumber](asio::error_code ec) {
    if (ec || self->IsClosed || number != self->TimerNumber)
      return;
    if (betweenRequests)
      self->abort();
    else
      self->refuse(RequestTimeout, "the request took too long to come");
  });
}

void CallerConnection::cancelTimer() {
  ++TimerNumber;
  Timer.cancel();
}

void CallerConnection::read() {
  if (IsReading || IsClosed || Unparsed.size() > MaxUnparsedBytes)
    return;
  IsReading = true;
  Socket.async_read_some(
      asio::buffer(Buffer),
      [self = shared_from_this()](asio::error_code ec, std::size_t n) {
        self->IsReading = false;
        if (self->IsClosed)
          return;
        if (ec)
          return self->onDisconnect();
        self->onBytes({self->Buffer.data(), n});
        self->read();
      });
}

void CallerConnection::onBytes(std::string_view bytes) {
  Unparsed.append(bytes);
  if (!ActiveReply && !ClosesAfterWrite)
    parse();
}

void CallerConnection::parse() {
  auto bytes = std::exchange(Unparsed, {});
  std::string_view rest = bytes;
  while (!rest.empty() && !ActiveReply && !IsClosed && !ClosesAfterWrite) {
    if (Reader.state() == HttpReader::State::Idle) {
      Bounds = Hooks->Bounds();
      Reader.setMaxHeadBytes(Bounds.MaxHeadBytes);
      armTimer(Bounds.RequestTimeout, false);
    }
    rest.remove_prefix(Reader.feed(rest));
    if (Reader.state() == HttpReader::State::Broken)
      return Reader.headTooLarge()
                 ? refuse(HeadTooLargeStatus, "the head is too large")
                 : refuse(BadRequestStatus, "this is no HTTP/1.1 request");
    if (Body.size() > Bounds.MaxBodyBytes)
      return refuse(BodyTooLargeStatus, "the body is too large");
    if (Reader.state() == HttpReader::State::InBody && !HasSentContinue) {
      const auto *expect = findField(Reader.request().Fields, "Expect");
      HasSentContinue = true;
      if (expect && sameFieldName(*expect, "100-continue"))
        send("HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (Reader.state() == HttpReader::State::Complete)
      startRequest();
  }
  Unparsed.insert(0, rest);
}

void CallerConnection::startRequest() {
  cancelTimer();
  KeepsAlive = Reader.keepsAlive();
  CallerRequest request{Reader.takeRequest(), std::exchange(Body, {}),
                        TimerService::now()};
  HasSentContinue = false;
  Reader.next();
  // With two Host fields, a server further on could use the other one.
  if (countFields(request.Head.Fields, "Host") != 1)
    return refuse(BadRequestStatus, "not one host");
  IsHeadRequest = request.Head.Method == "HEAD";
  ClosesAfterWrite = !KeepsAlive || Hooks->Closing();
  auto reply = std::make_shared<CallerReply>(shared_from_this());
  Hooks->OnRequest(std::move(request), std::move(reply));
}

void CallerConnection::refuse(std::uint16_t status, std::string_view why) {
  cancelTimer();
  if (Hooks->OnRefused)
    Hooks->OnRefused(status, why);
  HttpAnswerHead head{status, {}};
  head.Fields.push_back({"Content-Length", "0"});
  head.Fields.push_back({"Connection", "close"});
  ClosesAfterWrite = true;
  send(writeHead(head));
  onAnswerComplete();
}

void CallerConnection::send(std::string_view bytes) {
  if (IsClosed)
    return;
  Outgoing.append(bytes);
  write();
}

void CallerConnection::write() {
  if (IsWriting || IsClosed)
    return;
  auto result = Outgoing.writeTo(Socket);
  if (result == OutgoingBytes::Result::Broken) {
    asio::post(Context, [self = shared_from_this()] { self->onDisconnect(); });
    return;
  }
  if (result == OutgoingBytes::Result::Done) {
    if (ActiveReply && ActiveReply->OnDrained)
      ActiveReply->OnDrained();
    if (!ActiveReply && ClosesAfterWrite)
      abort();
    return;
  }
  IsWriting = true;
  Socket.async_wait(asio::socket_base::wait_write,
                    [self = shared_from_this()](asio::error_code ec) {
                      self->IsWriting = false;
                      if (!ec)
                        self->write();
                    });
}

void CallerConnection::onAnswerComplete() {
  ActiveReply = nullptr;
  if (IsClosed)
    return;
  if (ClosesAfterWrite) {
    if (Outgoing.empty())
      abort();
    return;
  }
  armTimer(Bounds.IdleTimeout, true);
  if (!Unparsed.empty())
    asio::post(Context, [self = shared_from_this()] {
      if (!self->ActiveReply && !self->IsClosed)
        self->parse();
      self->read();
    });
}

void CallerConnection::onDisconnect() {
  auto *reply = std::exchange(ActiveReply, nullptr);
  std::function<void()> hook;
  std::shared_ptr<CallerConnection> keep;
  if (reply) {
    keep = std::exchange(reply->Connection, nullptr);
    hook = std::exchange(reply->OnGone, nullptr);
  }
  abort();
  if (hook)
    hook();
}

void CallerConnection::abort() {
  if (std::exchange(IsClosed, true))
    return;
  Timer.cancel();
  asio::error_code ec;
  // A regular close still sends the bytes of a complete answer that the kernel
  // has buffered; a reset drops them.
  bool isAnswerComplete = !ActiveReply && Outgoing.empty();
  if (isAnswerComplete) {
    Socket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    Socket.close(ec);
  } else {
    resetSocket(Socket);
  }
  if (auto hook = std::exchange(OnClosed, nullptr))
    hook();
}

} // namespace hemlockglade
