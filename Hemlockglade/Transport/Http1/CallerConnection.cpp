#include "Hemlockglade/Transport/Http1/CallerConnection.h"

#include "Hemlockglade/Transport/Time/TimerService.h"

#include <asio/post.hpp>

namespace hemlockglade {

namespace {

/// Bytes that a caller may send ahead while its request is being answered;
/// beyond it the connection is not read, and its end not seen.
constexpr std::size_t MaxAhead = std::size_t{64} * 1024;
constexpr std::uint16_t BadRequest = 400;
constexpr std::uint16_t RequestTimeout = 408;
constexpr std::uint16_t BodyTooLarge = 413;
constexpr std::uint16_t HeadTooLarge = 431;

std::string hexNumber(std::size_t n) {
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
  Connection->Active = this;
}

CallerReply::~CallerReply() {
  try {
    abort();
  } catch (const std::exception &) {
    // Memory has run out; the connection ends with its last owner.
  }
}

void CallerReply::respond(HttpAnswerHead head, std::string_view body) {
  if (!Connection)
    return;
  std::erase_if(head.Fields,
                [](const auto &it) { return isConnectionField(it.Name); });
  head.Fields.push_back({"Content-Length", std::to_string(body.size())});
  if (Connection->EndsAfterWrite)
    head.Fields.push_back({"Connection", "close"});
  auto text = writeHead(head);
  if (!Connection->HeadRequest)
    text.append(body);
  auto connection = std::exchange(Connection, nullptr);
  connection->send(text);
  connection->answered();
}

void CallerReply::begin(HttpAnswerHead head) {
  if (!Connection)
    return;
  std::erase_if(head.Fields,
                [](const auto &it) { return isConnectionField(it.Name); });
  head.Fields.push_back({"Transfer-Encoding", "chunked"});
  if (Connection->EndsAfterWrite)
    head.Fields.push_back({"Connection", "close"});
  Connection->send(writeHead(head));
}

void CallerReply::part(std::string_view bytes) {
  if (!Connection || bytes.empty())
    return;
  std::string chunk = hexNumber(bytes.size());
  chunk.append("\r\n").append(bytes).append("\r\n");
  Connection->send(chunk);
}

void CallerReply::finish() {
  auto connection = std::exchange(Connection, nullptr);
  if (!connection)
    return;
  connection->send("0\r\n\r\n");
  connection->answered();
}

void CallerReply::abort() {
  auto connection = std::exchange(Connection, nullptr);
  if (!connection)
    return;
  connection->Active = nullptr;
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
  Reader.limitHead(Bounds.MaxHeadBytes);
  armTimer(Bounds.IdleTimeout, true);
  read();
}

bool CallerConnection::idle() const {
  return !Active && Reader.state() == HttpReader::State::Idle && !Writing;
}

void CallerConnection::armTimer(Span span, bool betweenRequests) {
  Timed = true;
  Timer.expires_after(span);
  Timer.async_wait(
      [self = shared_from_this(), betweenRequests](asio::error_code ec) {
        if (ec || self->Shut || !self->Timed)
          return;
        if (betweenRequests)
          self->abort();
        else
          self->refuse(RequestTimeout, "the request took too long to come");
      });
}

void CallerConnection::read() {
  if (Reading || Shut || Ahead.size() > MaxAhead)
    return;
  Reading = true;
  Socket.async_read_some(
      asio::buffer(Buffer),
      [self = shared_from_this()](asio::error_code ec, std::size_t n) {
        self->Reading = false;
        if (self->Shut)
          return;
        if (ec)
          return self->onGone();
        self->onBytes({self->Buffer.data(), n});
        self->read();
      });
}

void CallerConnection::onBytes(std::string_view bytes) {
  Ahead.append(bytes);
  if (!Active && !EndsAfterWrite)
    parse();
}

void CallerConnection::parse() {
  auto bytes = std::exchange(Ahead, {});
  std::string_view rest = bytes;
  while (!rest.empty() && !Active && !Shut && !EndsAfterWrite) {
    if (Reader.state() == HttpReader::State::Idle) {
      Bounds = Hooks->Bounds();
      Reader.limitHead(Bounds.MaxHeadBytes);
      armTimer(Bounds.RequestTimeout, false);
    }
    rest.remove_prefix(Reader.feed(rest));
    if (Reader.state() == HttpReader::State::Broken)
      return Reader.headTooLarge()
                 ? refuse(HeadTooLarge, "the head is too large")
                 : refuse(BadRequest, "this is no HTTP/1.1 request");
    if (Body.size() > Bounds.MaxBodyBytes)
      return refuse(BodyTooLarge, "the body is too large");
    if (Reader.state() == HttpReader::State::InBody && !SentContinue) {
      const auto *expect = findField(Reader.request().Fields, "Expect");
      SentContinue = true;
      if (expect && sameFieldName(*expect, "100-continue"))
        send("HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (Reader.state() == HttpReader::State::Complete)
      startRequest();
  }
  Ahead.insert(0, rest);
}

void CallerConnection::startRequest() {
  Timed = false;
  Timer.cancel();
  KeepsAlive = Reader.keepsAlive();
  CallerRequest request{Reader.takeRequest(), std::exchange(Body, {}),
                        TimerService::now()};
  SentContinue = false;
  Reader.next();
  // A host named twice would be another one further on.
  if (countFields(request.Head.Fields, "Host") != 1)
    return refuse(BadRequest, "not one host");
  HeadRequest = request.Head.Method == "HEAD";
  EndsAfterWrite = !KeepsAlive || Hooks->Closing();
  auto reply = std::make_shared<CallerReply>(shared_from_this());
  Hooks->OnRequest(std::move(request), std::move(reply));
}

void CallerConnection::refuse(std::uint16_t status, std::string_view why) {
  Timed = false;
  Timer.cancel();
  if (Hooks->OnRefused)
    Hooks->OnRefused(status, why);
  HttpAnswerHead head{status, {}};
  head.Fields.push_back({"Content-Length", "0"});
  head.Fields.push_back({"Connection", "close"});
  EndsAfterWrite = true;
  send(writeHead(head));
  answered();
}

void CallerConnection::send(std::string_view bytes) {
  if (Shut)
    return;
  Outgoing.append(bytes);
  write();
}

void CallerConnection::write() {
  if (Writing || Shut)
    return;
  auto result = Outgoing.writeTo(Socket);
  if (result == OutgoingBytes::Result::Broken) {
    asio::post(Context, [self = shared_from_this()] { self->onGone(); });
    return;
  }
  if (result == OutgoingBytes::Result::Done) {
    if (Active && Active->OnDrained)
      Active->OnDrained();
    if (!Active && EndsAfterWrite)
      abort();
    return;
  }
  Writing = true;
  Socket.async_wait(asio::socket_base::wait_write,
                    [self = shared_from_this()](asio::error_code ec) {
                      self->Writing = false;
                      if (!ec)
                        self->write();
                    });
}

void CallerConnection::answered() {
  Active = nullptr;
  if (Shut)
    return;
  if (EndsAfterWrite) {
    if (Outgoing.empty())
      abort();
    return;
  }
  armTimer(Bounds.IdleTimeout, true);
  if (!Ahead.empty())
    asio::post(Context, [self = shared_from_this()] {
      if (!self->Active && !self->Shut)
        self->parse();
      self->read();
    });
}

void CallerConnection::onGone() {
  auto *reply = std::exchange(Active, nullptr);
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
  if (std::exchange(Shut, true))
    return;
  Timer.cancel();
  asio::error_code ec;
  // A plain close sends what the kernel still holds of a finished answer.
  bool finished = !Active && Outgoing.empty();
  if (finished) {
    Socket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    Socket.close(ec);
  } else {
    resetSocket(Socket);
  }
  if (auto hook = std::exchange(OnClosed, nullptr))
    hook();
}

} // namespace hemlockglade
