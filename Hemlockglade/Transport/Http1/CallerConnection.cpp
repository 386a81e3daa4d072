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
constexpr std::uint16_t NoMemoryStatus = 503;
constexpr std::string_view NoMemoryRetrySeconds = "1";

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
  respond(std::move(head), std::make_shared<const std::string>(body));
}

void CallerReply::respond(HttpAnswerHead head,
                          const std::shared_ptr<const std::string> &body) {
  if (!Connection)
    return;
  std::erase_if(head.Fields,
                [](const auto &it) { return isConnectionField(it.Name); });
  head.Fields.push_back({"Content-Length", std::to_string(body->size())});
  if (Connection->ClosesAfterWrite)
    head.Fields.push_back({"Connection", "close"});
  auto connection = std::exchange(Connection, nullptr);
  connection->Outgoing.append(writeHead(head));
  connection->send(
      connection->IsHeadRequest ? std::make_shared<const std::string>() : body);
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
  if (!Connection || bytes.empty() || Connection->IsHeadRequest)
    return;
  std::string chunk = toHex(bytes.size());
  chunk.append("\r\n").append(bytes).append("\r\n");
  Connection->send(chunk);
}

void CallerReply::finish() {
  auto connection = std::exchange(Connection, nullptr);
  if (!connection)
    return;
  if (!connection->IsHeadRequest)
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
  auto post = [weak = weak_from_this()](void (CallerConnection::*end)()) {
    if (auto self = weak.lock())
      asio::post(self->Context, [self, end] {
        if (!self->IsClosed)
          (*self.*end)();
      });
  };
  Received.OnEnd = [post] { post(&CallerConnection::endReceived); };
  Unwritten.OnEnd = [post] { post(&CallerConnection::endUnwritten); };
  IdleSince = TimerService::now();
  armTimer(Bounds.IdleTimeout, true);
  read();
}

std::optional<double> CallerConnection::requestRate() const {
  bool isReading = !ActiveReply && !ClosesAfterWrite &&
                   Reader.state() != HttpReader::State::Idle;
  if (!isReading)
    return std::nullopt;
  auto since = std::max(TimerService::now() - RequestSince, Span(1));
  return static_cast<double>(RequestBytes) / inSeconds(since);
}

void CallerConnection::updateReceived() {
  if (!Hooks->Memory || IsClosed)
    return;
  bool isReading = Reader.state() != HttpReader::State::Idle;
  Received.hold(*Hooks->Memory, (isReading ? Reader.heldBytes() : 0) +
                                    Body.heldBytes() + Unparsed.capacity());
}

void CallerConnection::updateUnwritten() {
  if (Hooks->Memory && !IsClosed)
    Unwritten.hold(*Hooks->Memory, Outgoing.size());
}

void CallerConnection::endReceived() {
  if (!Received.isEnding())
    return;
  if (ActiveReply || ClosesAfterWrite) {
    // Only what came behind the request is given up.
    DropsInput = ClosesAfterWrite = true;
    std::string().swap(Unparsed);
    Received.release();
    return read();
  }
  if (Reader.state() != HttpReader::State::Idle)
    refuse(NoMemoryStatus, "all requests together hold too much",
           {{"Retry-After", std::string(NoMemoryRetrySeconds)}});
}

void CallerConnection::endUnwritten() {
  if (Unwritten.isEnding())
    onDisconnect();
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
  if (DropsInput)
    return;
  Unparsed.append(bytes);
  if (!ActiveReply && !ClosesAfterWrite)
    parse();
  updateReceived();
}

void CallerConnection::parse() {
  auto bytes = std::exchange(Unparsed, {});
  std::string_view rest = bytes;
  while (!rest.empty() && !ActiveReply && !IsClosed && !ClosesAfterWrite) {
    if (Reader.state() == HttpReader::State::Idle) {
      Bounds = Hooks->Bounds();
      Reader.setMaxHeadBytes(Bounds.MaxHeadBytes);
      armTimer(Bounds.RequestTimeout, false);
      RequestSince = TimerService::now();
      RequestBytes = 0;
    }
    auto n = Reader.feed(rest);
    RequestBytes += n;
    rest.remove_prefix(n);
    if (Reader.state() == HttpReader::State::Broken)
      return Reader.headTooLarge()
                 ? refuse(HeadTooLargeStatus, "the head is too large")
                 : refuse(BadRequestStatus, "this is no HTTP/1.1 request");
    if (Body.size() > Bounds.MaxBodyBytes ||
        Reader.announcedLength().value_or(0) > Bounds.MaxBodyBytes)
      return refuse(BodyTooLargeStatus, "the body is too large");
    if (Reader.state() == HttpReader::State::InBody && !HasSeenBody) {
      const auto *expect = findField(Reader.request().Fields, "Expect");
      HasSeenBody = true;
      if (expect && sameFieldName(*expect, "100-continue"))
        send("HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (Reader.state() == HttpReader::State::Complete)
      startRequest();
  }
  if (!rest.empty() && !DropsInput)
    Unparsed.insert(0, rest);
}

void CallerConnection::startRequest() {
  cancelTimer();
  KeepsAlive = Reader.keepsAlive();
  auto held = Reader.heldBytes() + Body.size();
  Received.release();
  CallerRequest request{Reader.takeRequest(), Body.take(), TimerService::now(),
                        nullptr};
  if (Hooks->Memory && held > HeldMemory::UncountedBytes) {
    request.Held = std::make_shared<HeldMemory::Share>(HeldKind::Request);
    request.Held->hold(*Hooks->Memory, held);
  }
  HasSeenBody = false;
  Reader.next();
  // With two Host fields, a server further on could use the other one.
  if (countFields(request.Head.Fields, "Host") != 1)
    return refuse(BadRequestStatus, "not one host");
  IsHeadRequest = request.Head.Method == "HEAD";
  ClosesAfterWrite = !KeepsAlive || Hooks->Closing();
  auto reply = std::make_shared<CallerReply>(shared_from_this());
  Hooks->OnRequest(std::move(request), std::move(reply));
}

void CallerConnection::refuse(std::uint16_t status, std::string_view why,
                              HeaderFields fields) {
  cancelTimer();
  DropsInput = true;
  Body.clear();
  std::string().swap(Unparsed);
  Received.release();
  if (Hooks->OnRefused)
    Hooks->OnRefused(status, why);
  HttpAnswerHead head{status, std::move(fields)};
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

void CallerConnection::send(const std::shared_ptr<const std::string> &bytes) {
  if (IsClosed)
    return;
  Outgoing.append(bytes);
  write();
}

void CallerConnection::write() {
  if (IsWriting || IsClosed)
    return;
  auto before = Outgoing.size();
  auto result = Outgoing.writeTo(Socket);
  if (Outgoing.size() < before || Unwritten.bytes() == 0)
    Unwritten.onTaken();
  updateUnwritten();
  // A caller that goes on reading a complete answer is not idle.
  bool isUnread = result == OutgoingBytes::Result::Waits && !ActiveReply &&
                  Reader.state() == HttpReader::State::Idle;
  if (isUnread && Outgoing.size() < before)
    armTimer(Bounds.IdleTimeout, true);
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
  if (ClosesAfterWrite && Outgoing.empty())
    return abort();
  IdleSince = TimerService::now();
  armTimer(Bounds.IdleTimeout, true);
  if (ClosesAfterWrite)
    return;
  if (!Unparsed.empty())
    asio::post(Context, [self = shared_from_this()] {
      if (!self->ActiveReply && !self->IsClosed)
        self->parse();
      self->updateReceived();
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
  Received.release();
  Unwritten.release();
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
