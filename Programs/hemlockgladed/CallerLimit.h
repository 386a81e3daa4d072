#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

namespace hemlockglade {

/// Counts the running requests of each caller and holds them under a limit.
class CallerLimit : public std::enable_shared_from_this<CallerLimit> {
public:
  /// A place under the limit; it is free again when the last copy goes.
  using Place = std::shared_ptr<void>;

  explicit CallerLimit(std::uint32_t limit);

  /// Takes a place for the caller; null if all are taken.
  Place take(const std::string &caller);

private:
  static constexpr std::size_t ShardCount = 16;
  struct Shard {
    std::mutex Mutex;
    std::unordered_map<std::string, std::uint32_t> Running;
  };

  Shard &shardOf(const std::string &caller);
  void giveBack(const std::string &caller);

  std::uint32_t Limit;
  std::array<Shard, ShardCount> Shards;
};

} // namespace hemlockglade
