#pragma once

#include "Hemlockglade/Coordination/Decision/CoreTypes.h"

#include <optional>

namespace hemlockglade {

/// Remembers on which replica a prompt prefix was used last. It is a hint in
/// a table of fixed size: a newer prefix takes the place of an older one.
class PrefixIndex {
public:
  /// `places` is rounded up to a power of two.
  explicit PrefixIndex(std::size_t places);

  /// The prefix of this adapter's prompt is now cached on `replica`, in the
  /// incarnation `incarnation`.
  void note(AdapterKey adapter, std::uint64_t prefix, ReplicaKey replica,
            std::uint64_t incarnation);

  /// Where the prefix was used last.
  struct Place {
    ReplicaKey Replica = 0;
    std::uint64_t Incarnation = 0;
  };
  std::optional<Place> find(AdapterKey adapter, std::uint64_t prefix) const;

private:
  struct Entry {
    std::uint64_t Key = 0;
    Place Where;
  };

  std::vector<Entry> Entries;
};

} // namespace hemlockglade
