#pragma once

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hemlockglade::bench {

/// Engine for load tests that streams completions at little cost: it accepts
/// any adapter and sends `max_tokens` events at intervals of `interval_us`,
/// both from the request's body. Each event contains the time at which it was
/// sent, so that the receiver can compute its delay. Not thread-safe: runs on
/// one thread.
class LeanEngine {
public:
  explicit LeanEngine(asio::io_context &context);
  std::uint16_t port() const { return Acceptor.local_endpoint().port(); }

  class Session;

private:
  friend class Session;

  void accept();
  void tick();
  void schedule(std::shared_ptr<Session> session, std::size_t ticks);

  static constexpr std::size_t WheelSlots = 1U << 16U;

  asio::io_context &Context;
  asio::ip::tcp::acceptor Acceptor;
  asio::steady_timer Timer;
  std::size_t Tick = 0;
  /// Resident adapters, and the number of requests running on each.
  std::map<std::string, std::uint32_t> Resident;
  std::vector<std::vector<std::shared_ptr<Session>>> Wheel;
};

} // namespace hemlockglade::bench
