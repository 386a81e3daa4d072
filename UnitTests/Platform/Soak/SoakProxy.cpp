#include "UnitTests/Platform/Soak/SoakProxy.h"

#include "Hemlockglade/Transport/Http1/SocketOptions.h"

#include <array>
#include <asio/write.hpp>

namespace hemlockglade::soak {

namespace {

using asio::ip::tcp;

tcp::endpoint loopback(std::uint16_t port) {
  return {asio::ip::make_address("127.0.0.1"), port};
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
};

SoakProxy::SoakProxy(asio::io_context &context, std::uint16_t target)
    : Context(context), Timers(context), Acceptor(context, loopback(0)),
      Target(target) {
  accept();
}

SoakProxy::~SoakProxy() {
  *Alive = false;
  resetAll();
}

void SoakProxy::resetAll() {
  for (auto &it : std::exchange(Pipes, {}))
    if (auto pipe = it.lock())
      pipe->reset();
}

void SoakProxy::setFault(Fault fault) {
  if (fault == Fault::Reset || fault == Fault::None)
    resetAll();
  CurrentFault = fault;
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
  accept();
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
              loopback(Target), [this, pipe, alive](asio::error_code ec) {
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
        else
          forward(Instant{});
      });
}

} // namespace hemlockglade::soak
