#pragma once

#include "Hemlockglade/State/Routing/ReplicaRecord.h"

namespace hemlockglade {

/// The versions of weights that operators have named, and since when each older
/// one counts as replaced. No clock.
///
/// Each version is judged from its own successor: a name that follows changes
/// nothing for versions that had been replaced before. A version counts as
/// replaced from the earliest time at which its successor can have been named,
/// which is never later than when this node heard of it.
class DeclaredVersions {
public:
  /// `keepFor`: how long after it was replaced a version may still be in use;
  /// times beyond that need not be told apart.
  explicit DeclaredVersions(Span keepFor) : KeepFor(keepFor) {}

  /// Gives whether the version is new. What is known of a version that was
  /// heard of before stays as it is.
  bool add(const WeightsVersion &named);
  /// The newest version that was named; 0 if none was.
  std::uint64_t newest(const WeightsRef &weights) const;
  /// Since when a newer version than this one may have been in force; nothing
  /// if none was named.
  std::optional<Instant> replacedAt(const WeightsRef &weights,
                                    std::uint64_t version) const;
  /// All that is known, for a node that knows nothing.
  std::vector<WeightsVersion> all() const;

private:
  struct Named {
    std::uint64_t Version = 0;
    Instant NotBefore{};
  };
  Span KeepFor;
  /// Of each weights, the older versions first.
  std::map<WeightsRef, std::vector<Named>> Versions;
};

} // namespace hemlockglade
