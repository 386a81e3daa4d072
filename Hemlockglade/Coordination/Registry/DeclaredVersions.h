#pragma once

#include "Hemlockglade/State/Routing/ReplicaRecord.h"

namespace hemlockglade {

/// The versions of weights that operators have declared, and since when each
/// older one counts as replaced. Deterministic: time is passed in.
///
/// Each version is replaced by its own successor: a later declaration changes
/// nothing for versions that had been replaced before. A version counts as
/// replaced from the earliest time at which its successor can have been
/// declared, which is never later than when this node received the declaration.
class DeclaredVersions {
public:
  /// `keepFor`: how long after it was replaced a version may still be in use;
  /// times further back than that are not distinguished.
  explicit DeclaredVersions(Span keepFor) : KeepFor(keepFor) {}

  /// Adds a declared version and returns whether it is new. A version that is
  /// already known keeps its time.
  bool add(const WeightsVersion &declared);
  /// Returns the newest declared version; 0 if there is none.
  std::uint64_t newest(const WeightsRef &weights) const;
  /// Returns the time from which a newer version than this one may have been in
  /// force; nothing if none was declared.
  std::optional<Instant> replacedAt(const WeightsRef &weights,
                                    std::uint64_t version) const;
  /// Returns all known versions, to initialize a node that has none.
  std::vector<WeightsVersion> all() const;

private:
  struct Declaration {
    std::uint64_t Version = 0;
    Instant NotBefore{};
  };
  Span KeepFor;
  /// Declarations by weights, in ascending order of version.
  std::map<WeightsRef, std::vector<Declaration>> Versions;
};

} // namespace hemlockglade
