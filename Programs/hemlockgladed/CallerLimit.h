#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

namespace hemlockglade {

/// Limits the number of running requests of each caller. Thread-safe; callers
/// are spread over shards to keep lock contention low.
class CallerLimit : public std::enable_shared_from_this<CallerLimit> {
public:
  /// One running request of a caller; released with its last copy.
  using Slot = std::shared_ptr<void>;

  explicit CallerLimit(std::uint32_t limit);

  /// Acquires a slot for the caller; returns null if the limit is reached.
  Slot acquire(const std::string &caller);

private:
  static constexpr std::size_t ShardCount = 16;
  struct Shard {
    std::mutex Mutex;
    std::unordered_map<std::string, std::uint32_t> Running;
  };

  Shard &shardOf(const std::string &caller);
  void release(const std::string &caller);

  std::uint32_t Limit;
  std::array<Shard, ShardCount> Shards;
};

} // namespace hemlockglade
