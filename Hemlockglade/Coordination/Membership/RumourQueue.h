#pragma once

#include "Hemlockglade/Coordination/Membership/MemberTypes.h"

#include <deque>
#include <map>
#include <unordered_map>

namespace hemlockglade {

/// Prefixes of the names of rumours about members and about cells.
inline constexpr char MemberRumour = 'm';
inline constexpr char CellRumour = 'c';

/// The names of changed records that are still to be sent to other nodes, least
/// often sent first. Each name is sent a bounded number of times; a further
/// change of its record starts the count again. Not thread-safe.
class RumourQueue {
public:
  /// Adds a name, or resets its count.
  void add(const std::string &name);
  /// Removes a name.
  void drop(const std::string &name) { Current.erase(name); }
  /// Calls `use(name)` for names, least often sent first, until it returns
  /// false. A name for which it returned true counts as sent once more, and is
  /// removed after `limit` times.
  void take(std::uint32_t limit,
            const std::function<bool(const std::string &)> &use);
  bool contains(const std::string &name) const {
    return Current.contains(name);
  }
  bool empty() const { return Current.empty(); }
  std::size_t size() const { return Current.size(); }

private:
  struct Entry {
    std::string Name;
    std::uint64_t Version = 0;
  };

  bool isCurrent(const Entry &entry) const;

  /// Entries by the number of times that they were sent.
  std::map<std::uint32_t, std::deque<Entry>> ByCount;
  /// Version of each name's valid entry; entries with other versions are stale.
  std::unordered_map<std::string, std::uint64_t> Current;
  std::uint64_t LastVersion = 0;
};

} // namespace hemlockglade
