#include "LoadClient.h"

#include "WireReader.h"

#include <asio/connect.hpp>
#include <asio/write.hpp>
#include <charconv>

namespace hemlockglade::bench {

namespace {

using Clock = std::chrono::steady_clock;

/// Loopback addresses that connections are bound to, in turn: 127.0.0.2 and
/// those that follow.
constexpr std::uint32_t FirstCaller = 0x7f000002;
constexpr std::uint32_t Callers = 32;

std::int64_t nowNs() { return Clock::now().time_since_epoch().count(); }

/// Returns the number after `mark` in the line, or -1 if there is none.
std::int64_t numberAfter(std::string_view line, std::string_view mark) {
  auto at = line.find(mark);
  if (at == std::string_view::npos)
    return -1;
  std::int64_t n = -1;
  std::from_chars(line.data() + at + mark.size(), line.data() + line.size(), n);
  return n;
}

} // namespace

/// A persistent connection to the target.
class LoadClient::Connection : public std::enable_shared_from_this<Connection> {
public:
  explicit Connection(LoadClient &client)
      : Client(client), Socket(client.Context) {
    Reader.OnLine = [this](std::string_view line) { onLine(line); };
  }

  void send(const std::string &body) {
    Request = "POST /v1/completions HTTP/1.1\r\nHost: bench\r\n"
              "Content-Type: application/json\r\nContent-Length: " +
              std::to_string(body.size()) + "\r\n\r\n" + body;
    Reader.reset();
    Events = 0;
    Done = false;
    Busy = true;
    if (Socket.is_open())
      return write();
    // A node limits the streams of a caller, which it identifies by its
    // address, so connections use several source addresses.
    asio::ip::address_v4 own(FirstCaller + Client.Connections++ % Callers);
    Socket.open(asio::ip::tcp::v4());
    Socket.bind({own, 0});
    Socket.async_connect(Client.Target.Address,
                         [self = shared_from_this()](asio::error_code ec) {
                           if (ec)
                             return self->fail();
                           asio::ip::tcp::no_delay option(true);
                           self->Socket.set_option(option);
                           self->write();
                           self->read();
                         });
  }

  void close() {
    asio::error_code ec;
    Socket.close(ec);
  }

private:
  void write() {
    SentAt = nowNs();
    asio::async_write(
        Socket, asio::buffer(Request),
        [self = shared_from_this()](asio::error_code ec, std::size_t) {
          if (ec)
            self->fail();
        });
  }

  void read() {
    Socket.async_read_some(
        asio::buffer(Buffer),
        [self = shared_from_this()](asio::error_code ec, std::size_t n) {
          if (ec)
            return self->fail();
          self->ArrivedAt = nowNs();
          self->Reader.consume({self->Buffer.data(), n});
          self->checkState();
          if (self->Socket.is_open())
            self->read();
        });
  }

  void checkState() {
    if (Reader.state() == WireReader::State::Broken)
      return fail();
    if (Reader.state() != WireReader::State::Whole || !Busy)
      return;
    Busy = false;
    bool whole =
        Done && Reader.status() == 200 && Events == Client.Target.Tokens;
    Client.Idle.push_back(shared_from_this());
    Client.count(whole);
  }

  void onLine(std::string_view line) {
    if (line == "data: [DONE]") {
      Done = true;
      return;
    }
    auto sent = numberAfter(line, "\"t\":");
    if (sent < 0)
      return;
    bool inOrder = numberAfter(line, "\"text\":\"word") ==
                   static_cast<std::int64_t>(Events);
    if (inOrder)
      ++Events;
    Client.EventCount.fetch_add(1, std::memory_order_relaxed);
    if (Events == 1)
      Client.Result.FirstEvent.push_back(
          static_cast<std::uint32_t>(ArrivedAt - SentAt));
    else
      Client.Result.Delay.push_back(
          static_cast<std::uint32_t>(ArrivedAt - sent));
  }

  void fail() {
    close();
    if (std::exchange(Busy, false))
      Client.count(false);
  }

  LoadClient &Client;
  asio::ip::tcp::socket Socket;
  std::array<char, 16384> Buffer;
  WireReader Reader;
  std::string Request;
  std::int64_t SentAt = 0;
  std::int64_t ArrivedAt = 0;
  std::size_t Events = 0;
  bool Done = false;
  bool Busy = false;
};

LoadClient::LoadClient(asio::io_context &context, const LoadTarget &target,
                       std::atomic<std::uint64_t> &seen)
    : Context(context), Target(target), EventCount(seen), Timer(context) {}

LoadClient::~LoadClient() = default;

void LoadClient::run(std::size_t count, std::chrono::nanoseconds gap,
                     std::chrono::nanoseconds phase) {
  Unsent = count;
  Open += count;
  Gap = gap;
  Timer.expires_after(phase);
  sendNext();
}

void LoadClient::count(bool whole) {
  ++(whole ? Result.Whole : Result.Failed);
  if (--Open)
    return;
  for (auto &connection : std::exchange(Idle, {}))
    connection->close();
}

void LoadClient::sendNext() {
  if (Unsent == 0)
    return;
  Timer.async_wait([this](asio::error_code ec) {
    if (ec)
      return;
    --Unsent;
    std::shared_ptr<Connection> connection;
    while (!connection && !Idle.empty()) {
      connection = std::move(Idle.back());
      Idle.pop_back();
    }
    if (!connection)
      connection = std::make_shared<Connection>(*this);
    connection->send(Target.Bodies[NextBody++ % Target.Bodies.size()]);
    Timer.expires_at(Timer.expiry() + Gap);
    sendNext();
  });
}

} // namespace hemlockglade::bench
