#pragma once

#include "Hemlockglade/Coordination/Decision/CoreTypes.h"

#include <optional>

namespace hemlockglade {

/// Maps prompt prefixes to the replica that used them last. It is a hint in a
/// table of fixed size: a newer prefix replaces an older one that hashes to the
/// same entry.
class PrefixIndex {
public:
  /// `entries` is rounded up to a power of two.
  explicit PrefixIndex(std::size_t entries);

  /// Records that the prefix of this adapter's prompt is now cached on
  /// `replica`, in the incarnation `incarnation`.
  void record(AdapterKey adapter, std::uint64_t prefix, ReplicaKey replica,
              std::uint64_t incarnation);

  /// The replica, and its incarnation, that used the prefix last.
  struct Location {
    ReplicaKey Replica = 0;
    std::uint64_t Incarnation = 0;
  };
  std::optional<Location> find(AdapterKey adapter, std::uint64_t prefix) const;

private:
  struct Entry {
    std::uint64_t Key = 0;
    Location UsedOn;
  };

  std::vector<Entry> Entries;
};

} // namespace hemlockglade
