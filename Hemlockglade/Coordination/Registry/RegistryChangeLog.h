#pragma once

#include "Hemlockglade/Coordination/Registry/Registry.h"

#include <deque>
#include <map>

namespace hemlockglade {

/// Changes in the order in which they were received, as far back as they are
/// kept. What came before the first position that is added is not known.
template <typename T> class ChangeList {
public:
  /// Drops all changes; those up to the position are no longer available from
  /// here.
  void reset(std::uint64_t position) {
    Kept.clear();
    StartPosition = NewestPosition = position;
  }

  void add(std::uint64_t position, T changes, std::size_t maxKept) {
    if (NewestPosition == 0)
      return reset(position);
    NewestPosition = std::max(NewestPosition, position);
    Kept.emplace_back(NewestPosition, std::move(changes));
    while (Kept.size() > maxKept) {
      StartPosition = Kept.front().first;
      Kept.pop_front();
    }
  }

  /// Records that there are no further changes up to the position.
  void advance(std::uint64_t position) {
    if (NewestPosition == 0)
      return reset(position);
    NewestPosition = std::max(NewestPosition, position);
  }

  /// Returns the changes after the position, or nothing if they are not all
  /// kept.
  std::optional<std::vector<T>> since(std::uint64_t position) const {
    if (position < StartPosition || NewestPosition == 0)
      return std::nullopt;
    std::vector<T> out;
    for (const auto &[at, changes] : Kept)
      if (at > position)
        out.push_back(changes);
    return out;
  }

  std::uint64_t position() const { return NewestPosition; }

private:
  std::uint64_t StartPosition = 0;
  std::uint64_t NewestPosition = 0;
  std::deque<std::pair<std::uint64_t, T>> Kept;
};

/// Recent registry changes that a node has received, for nodes that receive
/// them from this one instead of polling the registry. Deterministic: it does
/// no I/O.
class RegistryChangeLog {
public:
  struct Settings {
    /// Maximum number of polls with changes that are kept: those of more than a
    /// minute.
    std::size_t MaxKept = 128;
  };

  explicit RegistryChangeLog(Settings settings) : Options(settings) {}

  /// Each records changes and returns whether there is something new to send.
  bool onOperator(const OperatorChanges &changes);
  bool onReplicas(const ReplicaChanges &changes);
  /// Drops operators' changes up to the position, which other nodes have
  /// received some other way; earlier positions can't be continued from here.
  void resetOperators(std::uint64_t position) { Operators.reset(position); }

  const ChangeList<OperatorChanges> &operators() const { return Operators; }
  const ChangeList<ReplicaChanges> &replicas() const { return Replicas; }

private:
  /// Stores a replica's record; returns whether it changes anything that
  /// affects routing.
  bool updateReplica(const ReplicaRecord &record);

  Settings Options;
  ChangeList<OperatorChanges> Operators;
  ChangeList<ReplicaChanges> Replicas;
  /// Replicas as they were received last.
  std::map<std::string, ReplicaRecord> KnownReplicas;
};

} // namespace hemlockglade
