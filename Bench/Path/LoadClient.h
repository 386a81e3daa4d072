#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <atomic>
#include <memory>
#include <string>
#include <vector>

namespace hemlockglade::bench {

/// The requests to send, and their destination.
struct LoadTarget {
  std::string Name;
  asio::ip::tcp::endpoint Address;
  /// Request bodies, used in turn.
  std::vector<std::string> Bodies;
  /// Number of events of a whole answer.
  std::size_t Tokens = 0;
};

/// Counts and times of the answers. Times are in nanoseconds.
struct LoadResult {
  std::uint64_t Whole = 0;
  std::uint64_t Failed = 0;
  /// From the request's first byte to the first event.
  std::vector<std::uint32_t> FirstEvent;
  /// From the sending by the engine to the arrival, for each later event.
  std::vector<std::uint32_t> Delay;
};

/// Sends requests at an even rate, independently of the answers, and checks
/// that each answer is whole and its events are in order. Not thread-safe: runs
/// on one thread.
class LoadClient {
public:
  /// `seen` counts the events that arrive, over all clients.
  LoadClient(asio::io_context &context, const LoadTarget &target,
             std::atomic<std::uint64_t> &seen);
  ~LoadClient();

  /// Sends `count` requests at intervals of `gap`, the first after `phase`.
  /// Closes the connections when all are answered.
  void run(std::size_t count, std::chrono::nanoseconds gap,
           std::chrono::nanoseconds phase);

  LoadResult Result;

private:
  class Connection;

  void sendNext();
  void count(bool whole);

  asio::io_context &Context;
  const LoadTarget &Target;
  std::atomic<std::uint64_t> &EventCount;
  asio::steady_timer Timer;
  std::size_t Unsent = 0;
  std::size_t Open = 0;
  std::uint32_t Connections = 0;
  std::size_t NextBody = 0;
  std::chrono::nanoseconds Gap{};
  std::vector<std::shared_ptr<Connection>> Idle;
};

} // namespace hemlockglade::bench
