#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <atomic>
#include <memory>
#include <string>
#include <vector>

namespace hemlockglade::bench {

/// What is sent, and where to.
struct LoadTarget {
  std::string Name;
  asio::ip::tcp::endpoint Address;
  /// Bodies that are sent in turn.
  std::vector<std::string> Bodies;
  /// Events that a whole answer has.
  std::size_t Tokens = 0;
};

/// What came back. The times are in nanoseconds.
struct LoadResult {
  std::uint64_t Whole = 0;
  std::uint64_t Failed = 0;
  /// From the request's first byte to the first event.
  std::vector<std::uint32_t> First;
  /// How long each later event was under way from the engine.
  std::vector<std::uint32_t> Delay;
};

/// Sends requests at an even rate whatever comes back, and checks that each
/// answer is whole and its events are in order. One thread runs it.
class LoadClient {
public:
  /// `seen` counts events as they arrive, for all clients.
  LoadClient(asio::io_context &context, const LoadTarget &target,
             std::atomic<std::uint64_t> &seen);
  ~LoadClient();

  /// Sends `count` requests, `gap` apart, the first after `phase`. The
  /// connections are closed when all are answered.
  void run(std::size_t count, std::chrono::nanoseconds gap,
           std::chrono::nanoseconds phase);

  LoadResult Result;

private:
  class Connection;

  void sendNext();
  void count(bool whole);

  asio::io_context &Context;
  const LoadTarget &Target;
  std::atomic<std::uint64_t> &Seen;
  asio::steady_timer Timer;
  std::size_t Left = 0;
  std::size_t Open = 0;
  std::uint32_t Connections = 0;
  std::size_t Turn = 0;
  std::chrono::nanoseconds Gap{};
  std::vector<std::shared_ptr<Connection>> Idle;
};

} // namespace hemlockglade::bench
