#pragma once

#include "Hemlockglade/Transport/Time/TimerService.h"

#include <asio/ip/tcp.hpp>
#include <functional>
#include <list>
#include <set>

namespace hemlockglade::soak {

/// A TCP proxy on loopback before one address, which can inject faults into its
/// connections.
class SoakProxy {
public:
  /// Text in answers without end, which no other answer contains.
  static constexpr std::string_view EndlessText = "bytes-without-end";

  enum class Fault : std::uint8_t {
    None,
    /// Data arrives 60 ms late.
    Delayed,
    /// Connections are reset, new ones as soon as they are accepted.
    Reset,
    /// Data is dropped in both directions; connections stay open.
    Silent,
    /// Data towards the address is dropped; answers are forwarded.
    OneWay,
    /// Answers arrive later and later, by up to 2.5 s, as behind a queue that
    /// fills up. Nothing is lost.
    Late,
    /// Requests are answered, instead of forwarded, by a head or by a body that
    /// never ends. Such answers outlast the fault: only the caller's end of the
    /// connection ends them, or the end of the process behind the address.
    EndlessHead,
    EndlessBody,
  };

  /// An answer without end, as it begins and as it ends.
  struct EndlessAnswer {
    /// Number of the answer, from 1 on for each proxy.
    std::uint64_t Number = 0;
    /// Start of the request.
    std::string_view Request;
    /// IP address of the caller.
    std::string Caller;
    bool HasEnded = false;
    /// The caller closed the connection.
    bool ByCaller = false;
    std::size_t Bytes = 0;
  };

  /// What accepts connections to an address whose process has ended: nothing, a
  /// proxy that can't reach the process, or a listener that never answers.
  enum class ClosedMode : std::uint8_t {
    NoListener,
    Forwarder,
    SilentListener
  };

  /// Listens at a free port of 127.0.0.1 and forwards to another one.
  SoakProxy(asio::io_context &context, std::uint16_t target);
  SoakProxy(asio::io_context &context, const asio::ip::tcp::endpoint &listenAt,
            asio::ip::tcp::endpoint target);
  ~SoakProxy();

  std::uint16_t port() const { return Acceptor.local_endpoint().port(); }
  std::string address() const { return "127.0.0.1:" + std::to_string(port()); }
  /// Sets the fault. With `None` and `Reset` it also resets all connections:
  /// those whose data was dropped would stay silent forever. Connections whose
  /// data was only late go on, and so do answers without end.
  void setFault(Fault fault);
  Fault fault() const { return CurrentFault; }
  /// Drops packets from these IPv4 addresses, silently: new connections from
  /// there are not established; open ones hang too if `dropsOpen`, else they go
  /// on.
  void cutOff(std::set<std::string> addresses, bool dropsOpen);
  /// Sets the port that new connections are forwarded to.
  void setTarget(std::uint16_t target);
  /// Called when the process behind the address has ended.
  void close(ClosedMode mode = ClosedMode::NoListener);
  /// Called when a process runs again. The proxy listens at a new port if it
  /// was closed with `NoListener`.
  void open();
  /// Called with each answer that arrives in one piece; returns the bytes that
  /// follow it late, where the next answer on the connection is expected.
  std::function<std::string(std::string_view answer)> RepeatLate;
  /// Called when an answer without end begins and when it ends.
  std::function<void(const EndlessAnswer &)> OnEndless;

private:
  struct Pipe;

  void accept();
  void pump(const std::shared_ptr<Pipe> &pipe, bool toServer);
  /// Sends what follows an earlier answer late, if anything does, then calls
  /// `next`.
  void sendRepeat(const std::shared_ptr<Pipe> &pipe,
                  std::function<void()> next);
  /// Forwards an answer after the present lag, and after all before it.
  void forwardLate(const std::shared_ptr<Pipe> &pipe, std::string_view bytes);
  void writeLate(const std::shared_ptr<Pipe> &pipe);
  bool answersEndlessly() const {
    return CurrentFault == Fault::EndlessHead ||
           CurrentFault == Fault::EndlessBody;
  }
  void beginEndless(const std::shared_ptr<Pipe> &pipe,
                    std::string_view request);
  void writeEndless(const std::shared_ptr<Pipe> &pipe);
  void endEndless(Pipe &pipe, bool byCaller);
  void resetAll();

  asio::io_context &Context;
  TimerService Timers;
  asio::ip::tcp::acceptor Acceptor;
  asio::ip::tcp::endpoint Target;
  Fault CurrentFault = Fault::None;
  Instant LateSince{};
  std::uint64_t EndlessCount = 0;
  bool Forwards = true;
  /// Addresses whose packets to the listener are dropped.
  std::set<std::string> CutOffAddresses;
  /// Connections that were accepted but never forwarded (`SilentListener`).
  std::list<std::shared_ptr<Pipe>> HeldPipes;
  std::list<std::weak_ptr<Pipe>> Pipes;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace hemlockglade::soak
