#pragma once

#include "Hemlockglade/Coordination/Membership/MemberTypes.h"

#include <deque>
#include <map>
#include <unordered_map>

namespace hemlockglade {

/// First letter of the rumours about members, and of those about cells.
inline constexpr char MemberRumour = 'm';
inline constexpr char CellRumour = 'c';

/// The names of what is to be told on, least told first. Each name is told a
/// bounded number of times; a new change of it starts over. Not safe to share
/// by itself.
class RumourQueue {
public:
  /// Adds a name, or starts it over.
  void add(const std::string &name);
  /// Forgets a name.
  void drop(const std::string &name) { Current.erase(name); }
  /// Calls `use(name)` for names, least told first, until it returns false.
  /// A name that was used counts as told once more; after `limit` times it is
  /// dropped.
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

  /// Entries by the number of times that they were told.
  std::map<std::uint32_t, std::deque<Entry>> ByCount;
  /// Version of each name's valid entry.
  std::unordered_map<std::string, std::uint64_t> Current;
  std::uint64_t LastVersion = 0;
};

} // namespace hemlockglade
