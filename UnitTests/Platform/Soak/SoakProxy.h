#pragma once

#include "Hemlockglade/Transport/Time/TimerService.h"

#include <asio/ip/tcp.hpp>
#include <list>

namespace hemlockglade::soak {

/// A TCP proxy on loopback before one address, which can harm what goes
/// through it.
class SoakProxy {
public:
  enum class Harm : std::uint8_t {
    None,
    /// Bytes come 60 ms late.
    Delayed,
    /// Connections are reset, new ones at once.
    Reset,
    /// Nothing comes through, either way; connections stay.
    Silent,
    /// Nothing comes through towards the address; answers do.
    OneWay,
  };

  /// What meets connections to an address whose process is gone.
  enum class Remains : std::uint8_t { Nothing, Forwarder, SilentListener };

  SoakProxy(asio::io_context &context, std::uint16_t target);
  ~SoakProxy();

  std::uint16_t port() const { return Acceptor.local_endpoint().port(); }
  std::string address() const { return "127.0.0.1:" + std::to_string(port()); }
  /// Also ends the connections that the last harm has held up: they would stay
  /// silent for good.
  void setHarm(Harm harm);
  Harm harm() const { return Now; }
  /// From now on another port is meant.
  void setTarget(std::uint16_t target) { Target = target; }
  /// The process behind the address is gone.
  void close(Remains remains = Remains::Nothing);
  /// One is there again; at a new port, if nothing has remained.
  void open();

private:
  struct Pipe;

  void accept();
  void pump(const std::shared_ptr<Pipe> &pipe, bool towards);
  void resetAll();

  asio::io_context &Context;
  TimerService Timers;
  asio::ip::tcp::acceptor Acceptor;
  std::uint16_t Target;
  Harm Now = Harm::None;
  bool Answers = true;
  /// Connections that a listener has accepted for nobody.
  std::list<std::shared_ptr<Pipe>> Held;
  std::list<std::weak_ptr<Pipe>> Pipes;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace hemlockglade::soak
