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
  std::array<char, 16384> Towards{};
  std::array<char, 16384> Back{};
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

void SoakProxy::setHarm(Harm harm) {
  if (harm == Harm::Reset || harm == Harm::None)
    resetAll();
  Now = harm;
}

void SoakProxy::close(Remains remains) {
  asio::error_code ec;
  if (remains == Remains::Nothing)
    Acceptor.close(ec);
  Answers = remains != Remains::SilentListener;
  resetAll();
}

void SoakProxy::open() {
  Answers = true;
  for (auto &it : std::exchange(Held, {}))
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
        if (!ec && Now == Harm::Reset)
          pipe->reset();
        else if (!ec && !Answers)
          Held.push_back(pipe);
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

void SoakProxy::pump(const std::shared_ptr<Pipe> &pipe, bool towards) {
  auto &from = towards ? pipe->Caller : pipe->Server;
  auto &to = towards ? pipe->Server : pipe->Caller;
  auto &buf = towards ? pipe->Towards : pipe->Back;
  from.async_read_some(
      asio::buffer(buf), [this, pipe, towards, &to, &buf,
                          alive = Alive](asio::error_code ec, std::size_t n) {
        if (!*alive)
          return;
        bool swallows = Now == Harm::Silent || (Now == Harm::OneWay && towards);
        if (swallows)
          return ec ? void() : pump(pipe, towards);
        if (ec == asio::error::eof) {
          asio::error_code ignored;
          to.shutdown(tcp::socket::shutdown_send, ignored);
          return;
        }
        if (ec)
          return pipe->reset();
        auto pass = [this, pipe, towards, &to, &buf, alive, n](Instant) {
          asio::async_write(
              to, asio::buffer(buf.data(), n),
              [this, pipe, towards, alive](asio::error_code ec, std::size_t) {
                if (!*alive)
                  return;
                if (ec)
                  return pipe->reset();
                pump(pipe, towards);
              });
        };
        constexpr auto Late = std::chrono::milliseconds(60);
        if (Now == Harm::Delayed)
          Timers.after(Late, pass);
        else
          pass(Instant{});
      });
}

} // namespace hemlockglade::soak
