#include "UnitTests/Platform/Soak/SoakProxy.h"

#include "Hemlockglade/Transport/Http1/SocketOptions.h"

#include "platform/Names.h"

#include <array>
#include <asio/write.hpp>
#include <cstddef>
#include <deque>
#include <linux/filter.h>
#include <netinet/ip.h>
#include <sys/socket.h>
#include <system_error>

namespace hemlockglade::soak {

namespace {

using asio::ip::tcp;

tcp::endpoint loopback(std::uint16_t port) {
  return {asio::ip::make_address("127.0.0.1"), port};
}

/// Has the kernel drop all packets to a socket from these addresses. Sockets
/// that a listener accepts later inherit this.
void dropPacketsFrom(int descriptor, const std::set<std::string> &addresses) {
  if (addresses.empty()) {
    int unused = 0;
    ::setsockopt(descriptor, SOL_SOCKET, SO_DETACH_FILTER, &unused,
                 sizeof unused);
    return;
  }
  constexpr std::uint32_t SourceAddress = static_cast<std::uint32_t>(
      SKF_NET_OFF + static_cast<int>(offsetof(iphdr, saddr)));
  std::vector<sock_filter> code;
  code.push_back(BPF_STMT(BPF_LD | BPF_W | BPF_ABS, SourceAddress));
  auto left = static_cast<std::uint8_t>(addresses.size());
  for (const auto &it : addresses)
    code.push_back(BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K,
                            asio::ip::make_address_v4(it).to_uint(), left--,
                            0));
  code.push_back(BPF_STMT(BPF_RET | BPF_K, UINT32_MAX));
  code.push_back(BPF_STMT(BPF_RET | BPF_K, 0));
  sock_fprog program{static_cast<unsigned short>(code.size()), code.data()};
  if (::setsockopt(descriptor, SOL_SOCKET, SO_ATTACH_FILTER, &program,
                   sizeof program) != 0)
    throw std::system_error(errno, std::generic_category(), "packet filter");
}

} // namespace

struct SoakProxy::Pipe {
  explicit Pipe(asio::io_context &context) : Caller(context), Server(context) {}

  void reset() {
    resetSocket(Caller);
    resetSocket(Server);
  }

  tcp::socket Caller;
  tcp::socket Server;
  std::array<char, 16384> ToServer{};
  std::array<char, 16384> ToCaller{};
  /// What follows the last answer late; empty for nothing.
  std::string Repeat;
  /// Answers that are late, each with the time at which it is due.
  std::deque<std::pair<Instant, std::string>> Late;
  /// The answer without end that the caller gets; its number is 0 if there is
  /// none.
  EndlessAnswer Endless;
  /// What is written again and again, the first time with the start of the
  /// answer.
  std::string EndlessPart;
  std::size_t EndlessStart = 0;
};

SoakProxy::SoakProxy(asio::io_context &context, std::uint16_t target)
    : SoakProxy(context, loopback(0), loopback(target)) {}

SoakProxy::SoakProxy(asio::io_context &context, const tcp::endpoint &listenAt,
                     tcp::endpoint target)
    : Context(context), Timers(context), Acceptor(context, listenAt),
      Target(std::move(target)) {
  accept();
}

void SoakProxy::setTarget(std::uint16_t target) { Target = loopback(target); }

SoakProxy::~SoakProxy() {
  *Alive = false;
  resetAll();
}

void SoakProxy::resetAll() {
  for (auto &it : std::exchange(Pipes, {}))
    if (auto pipe = it.lock()) {
      endEndless(*pipe, false);
      pipe->reset();
    }
}

void SoakProxy::setFault(Fault fault) {
  bool goOn = CurrentFault == Fault::Late || answersEndlessly();
  if (fault == Fault::Reset || (fault == Fault::None && !goOn))
    resetAll();
  CurrentFault = fault;
  LateSince = TimerService::now();
}

void SoakProxy::forwardLate(const std::shared_ptr<Pipe> &pipe,
                            std::string_view bytes) {
  // Slow enough that the time between two messages stays short.
  constexpr double LagPerSecond = 0.8;
  constexpr Span MaxLag = std::chrono::milliseconds(2500);
  auto now = TimerService::now();
  auto due = now;
  if (CurrentFault == Fault::Late)
    due += std::min(MaxLag, scaled(now - LateSince, LagPerSecond));
  if (!pipe->Late.empty())
    due = std::max(due, pipe->Late.back().first);
  bool isFirst = pipe->Late.empty();
  pipe->Late.emplace_back(due, bytes);
  if (isFirst)
    writeLate(pipe);
}

void SoakProxy::writeLate(const std::shared_ptr<Pipe> &pipe) {
  auto delay = pipe->Late.front().first - TimerService::now();
  Timers.after(std::max(Span(0), delay), [this, pipe, alive = Alive](Instant) {
    if (!*alive)
      return;
    asio::async_write(pipe->Caller, asio::buffer(pipe->Late.front().second),
                      [this, pipe, alive](asio::error_code ec, std::size_t) {
                        if (!*alive)
                          return;
                        if (ec)
                          return pipe->reset();
                        pipe->Late.pop_front();
                        if (!pipe->Late.empty())
                          writeLate(pipe);
                      });
  });
}

void SoakProxy::sendRepeat(const std::shared_ptr<Pipe> &pipe,
                           std::function<void()> next) {
  if (pipe->Repeat.empty())
    return next();
  auto buf = std::make_shared<std::string>(std::exchange(pipe->Repeat, {}));
  asio::async_write(pipe->Caller, asio::buffer(*buf),
                    [this, pipe, buf, next = std::move(next),
                     alive = Alive](asio::error_code ec, std::size_t) {
                      if (!*alive)
                        return;
                      if (ec)
                        return pipe->reset();
                      next();
                    });
}

void SoakProxy::beginEndless(const std::shared_ptr<Pipe> &pipe,
                             std::string_view request) {
  bool isHead = CurrentFault == Fault::EndlessHead;
  bool isStream =
      request.find(platform_name::Weights) != std::string_view::npos;
  auto &answer = pipe->Endless;
  answer.Number = ++EndlessCount;
  asio::error_code ec;
  answer.Caller = pipe->Caller.remote_endpoint(ec).address().to_string();
  answer.Request = request;
  if (OnEndless)
    OnEndless(answer);
  answer.Request = {};
  std::string start = "HTTP/1.1 200 OK\r\n";
  if (!isHead && isStream)
    start += "Content-Type: text/event-stream\r\n";
  if (!isHead)
    start += "Connection: close\r\n\r\n";
  std::string filler(isHead ? "X-Endless: " : "");
  filler += EndlessText;
  filler += isHead ? "\r\n" : " ";
  constexpr std::size_t Repetitions = 1500;
  for (std::size_t it = 0; it < Repetitions; ++it)
    pipe->EndlessPart += filler;
  pipe->EndlessStart = start.size();
  pipe->EndlessPart.insert(0, start);
  writeEndless(pipe);
}

void SoakProxy::writeEndless(const std::shared_ptr<Pipe> &pipe) {
  asio::async_write(
      pipe->Caller, asio::buffer(pipe->EndlessPart),
      [this, pipe, alive = Alive](asio::error_code ec, std::size_t n) {
        if (!*alive)
          return;
        pipe->Endless.Bytes += n;
        if (ec)
          return endEndless(*pipe, true);
        // Only the first part has the start of the answer.
        pipe->EndlessPart.erase(0, std::exchange(pipe->EndlessStart, 0));
        constexpr auto PartInterval = std::chrono::milliseconds(5);
        Timers.after(PartInterval, [this, pipe, alive](Instant) {
          if (*alive && pipe->Endless.Number)
            writeEndless(pipe);
        });
      });
}

void SoakProxy::endEndless(Pipe &pipe, bool byCaller) {
  if (pipe.Endless.Number == 0)
    return;
  pipe.Endless.HasEnded = true;
  pipe.Endless.ByCaller = byCaller;
  if (OnEndless)
    OnEndless(pipe.Endless);
  pipe.Endless = {};
  pipe.reset();
}

void SoakProxy::close(ClosedMode mode) {
  asio::error_code ec;
  if (mode == ClosedMode::NoListener)
    Acceptor.close(ec);
  Forwards = mode != ClosedMode::SilentListener;
  resetAll();
}

void SoakProxy::open() {
  Forwards = true;
  for (auto &it : std::exchange(HeldPipes, {}))
    it->reset();
  if (Acceptor.is_open())
    return;
  Acceptor = tcp::acceptor(Context, loopback(0));
  dropPacketsFrom(Acceptor.native_handle(), CutOffAddresses);
  accept();
}

void SoakProxy::cutOff(std::set<std::string> addresses, bool dropsOpen) {
  CutOffAddresses = std::move(addresses);
  if (Acceptor.is_open())
    dropPacketsFrom(Acceptor.native_handle(), CutOffAddresses);
  bool isHealed = CutOffAddresses.empty();
  for (auto &it : Pipes)
    if (auto pipe = it.lock(); pipe && (dropsOpen || isHealed))
      if (pipe->Caller.is_open())
        dropPacketsFrom(pipe->Caller.native_handle(), CutOffAddresses);
}

void SoakProxy::accept() {
  auto pipe = std::make_shared<Pipe>(Context);
  Acceptor.async_accept(
      pipe->Caller, [this, pipe, alive = Alive](asio::error_code ec) {
        if (!*alive || ec == asio::error::operation_aborted)
          return;
        if (!ec && CurrentFault == Fault::Reset)
          pipe->reset();
        else if (!ec && !Forwards)
          HeldPipes.push_back(pipe);
        else if (!ec)
          pipe->Server.async_connect(
              Target, [this, pipe, alive](asio::error_code ec) {
                if (ec || !*alive)
                  return pipe->reset();
                std::erase_if(Pipes, [](auto &it) { return it.expired(); });
                Pipes.push_back(pipe);
                pump(pipe, true);
                pump(pipe, false);
              });
        accept();
      });
}

void SoakProxy::pump(const std::shared_ptr<Pipe> &pipe, bool toServer) {
  auto &from = toServer ? pipe->Caller : pipe->Server;
  auto &to = toServer ? pipe->Server : pipe->Caller;
  auto &buf = toServer ? pipe->ToServer : pipe->ToCaller;
  from.async_read_some(
      asio::buffer(buf), [this, pipe, toServer, &to, &buf,
                          alive = Alive](asio::error_code ec, std::size_t n) {
        if (!*alive)
          return;
        if (pipe->Endless.Number) {
          // The address has not got the request, and may close its end.
          if (ec && toServer)
            endEndless(*pipe, true);
          return ec ? void() : pump(pipe, toServer);
        }
        if (!ec && toServer && answersEndlessly()) {
          beginEndless(pipe, {buf.data(), n});
          return pump(pipe, toServer);
        }
        bool isDropped = CurrentFault == Fault::Silent ||
                         (CurrentFault == Fault::OneWay && toServer);
        if (isDropped)
          return ec ? void() : pump(pipe, toServer);
        if (ec == asio::error::eof) {
          asio::error_code ignored;
          to.shutdown(tcp::socket::shutdown_send, ignored);
          return;
        }
        if (ec)
          return pipe->reset();
        if (!toServer && (CurrentFault == Fault::Late || !pipe->Late.empty())) {
          forwardLate(pipe, {buf.data(), n});
          return pump(pipe, toServer);
        }
        if (!toServer && RepeatLate)
          pipe->Repeat = RepeatLate({buf.data(), n});
        auto forward = [this, pipe, toServer, &to, &buf, alive, n](Instant) {
          asio::async_write(
              to, asio::buffer(buf.data(), n),
              [this, pipe, toServer, alive](asio::error_code ec, std::size_t) {
                if (!*alive)
                  return;
                if (ec)
                  return pipe->reset();
                pump(pipe, toServer);
              });
        };
        constexpr auto DelayTime = std::chrono::milliseconds(60);
        if (CurrentFault == Fault::Delayed)
          Timers.after(DelayTime, forward);
        else if (toServer)
          sendRepeat(pipe, [forward] { forward(Instant{}); });
        else
          forward(Instant{});
      });
}

} // namespace hemlockglade::soak
