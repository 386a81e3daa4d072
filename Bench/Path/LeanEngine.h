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

/// A cheap source of streamed completions for load: it takes any adapter and
/// sends `max_tokens` events, `interval_us` apart as the request's body says.
/// Each event carries the time it was sent, so that the receiver knows how
/// long it was under way. One thread runs it.
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
  /// Adapters that were loaded, and requests running on each.
  std::map<std::string, std::uint32_t> Resident;
  std::vector<std::vector<std::shared_ptr<Session>>> Wheel;
};

} // namespace hemlockglade::bench
