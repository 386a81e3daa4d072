#pragma once

#include <algorithm>
#include <array>
#include <bitset>
#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>
#include <xxhash.h>

namespace hemlockglade {

/// An immutable map from `T::Name` to a `T`, in shards that copies share. A
/// changed copy allocates one array of pointers and the changed shards.
template <typename T> class ShardedMap {
public:
  using Item = std::shared_ptr<const T>;
  /// About the square root of the largest planned number of adapters, so that
  /// the array and one shard cost about the same to copy.
  static constexpr std::size_t ShardCount = 256;

  /// Returns the index of the shard that a name belongs to; the same on all
  /// nodes.
  static std::size_t shardOf(std::string_view name) {
    return XXH3_64bits(name.data(), name.size()) % ShardCount;
  }

  /// Returns the item of that name; null if there is none.
  Item find(std::string_view name) const {
    const auto &shard = Shards[shardOf(name)];
    if (!shard)
      return nullptr;
    auto it = lowerBound(*shard, name);
    return it != shard->end() && (*it)->Name == name ? *it : nullptr;
  }

  /// Number of items.
  std::size_t size() const { return Count; }

  /// Calls `visit(const T &)` for each item of one shard, in order of names.
  template <typename Visit>
  void forEachIn(std::size_t shard, Visit visit) const {
    if (!Shards[shard])
      return;
    for (const auto &it : *Shards[shard])
      visit(*it);
  }

  /// Calls `visit(const T &)` for each item.
  template <typename Visit> void forEach(Visit visit) const {
    for (std::size_t it = 0; it < ShardCount; ++it)
      forEachIn(it, visit);
  }

  /// Calls `visit(const T *before, const T *after)` for each item that
  /// differs, with null where there is none. Shared shards are skipped.
  template <typename Visit>
  void forEachDifference(const ShardedMap &after, Visit visit) const {
    for (std::size_t it = 0; it < ShardCount; ++it) {
      if (Shards[it] != after.Shards[it])
        compareShards(Shards[it].get(), after.Shards[it].get(), visit);
    }
  }

  /// Makes a changed copy. Each changed shard is copied once.
  class Editor {
  public:
    explicit Editor(const ShardedMap &base) : Next(base) {}

    /// Adds the item, or replaces the one of its name.
    void put(T item) {
      auto &shard = mutableShard(shardOf(item.Name));
      auto it = lowerBound(shard, item.Name);
      bool exists = it != shard.end() && (*it)->Name == item.Name;
      auto next = std::make_shared<const T>(std::move(item));
      if (exists) {
        *it = std::move(next);
        return;
      }
      shard.insert(it, std::move(next));
      ++Next.Count;
    }

    /// Removes the item of that name, if there is one.
    void erase(std::string_view name) {
      if (!Next.find(name))
        return;
      auto &shard = mutableShard(shardOf(name));
      shard.erase(lowerBound(shard, name));
      --Next.Count;
    }

    /// Returns the changed copy. The editor must not be used afterwards.
    ShardedMap take() { return std::move(Next); }

  private:
    std::vector<Item> &mutableShard(std::size_t shard) {
      if (!Copied.test(shard)) {
        auto &old = Next.Shards[shard];
        old = old ? std::make_shared<Shard>(*old) : std::make_shared<Shard>();
        Copied.set(shard);
      }
      return *Next.Shards[shard];
    }

    ShardedMap Next;
    std::bitset<ShardCount> Copied;
  };

private:
  using Shard = std::vector<Item>;

  template <typename S> static auto lowerBound(S &shard, std::string_view key) {
    return std::lower_bound(
        shard.begin(), shard.end(), key,
        [](const Item &it, std::string_view name) { return it->Name < name; });
  }

  template <typename Visit>
  static void compareShards(const Shard *before, const Shard *after,
                            Visit &visit) {
    static const Shard Empty;
    const Shard &a = before ? *before : Empty;
    const Shard &b = after ? *after : Empty;
    auto left = a.begin();
    auto right = b.begin();
    while (left != a.end() || right != b.end()) {
      bool onlyLeft = right == b.end() ||
                      (left != a.end() && (*left)->Name < (*right)->Name);
      bool onlyRight = left == a.end() ||
                       (right != b.end() && (*right)->Name < (*left)->Name);
      const T *old = onlyRight ? nullptr : (left++)->get();
      const T *next = onlyLeft ? nullptr : (right++)->get();
      if (!old || !next || (old != next && *old != *next))
        visit(old, next);
    }
  }

  std::array<std::shared_ptr<Shard>, ShardCount> Shards;
  std::size_t Count = 0;
};

} // namespace hemlockglade
