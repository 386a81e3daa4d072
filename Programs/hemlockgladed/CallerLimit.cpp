#include "CallerLimit.h"

namespace hemlockglade {

CallerLimit::CallerLimit(std::uint32_t limit) : Limit(limit) {}

CallerLimit::Shard &CallerLimit::shardOf(const std::string &caller) {
  return Shards[std::hash<std::string>{}(caller) % ShardCount];
}

CallerLimit::Slot CallerLimit::acquire(const std::string &caller) {
  auto &shard = shardOf(caller);
  {
    std::lock_guard lock(shard.Mutex);
    auto &n = shard.Running[caller];
    if (n >= Limit)
      return nullptr;
    ++n;
  }
  return {this, [self = shared_from_this(), caller](CallerLimit *limit) {
            limit->release(caller);
          }};
}

void CallerLimit::release(const std::string &caller) {
  auto &shard = shardOf(caller);
  std::lock_guard lock(shard.Mutex);
  auto it = shard.Running.find(caller);
  if (--it->second == 0)
    shard.Running.erase(it);
}

} // namespace hemlockglade
