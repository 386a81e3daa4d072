#pragma once

#include "Hemlockglade/Coordination/Registry/Registry.h"

#include <deque>
#include <map>

namespace hemlockglade {

/// Changes in the order in which they were seen, as far back as is kept.
template <typename T> class ChangeList {
public:
  /// Everything up to the position is known some other way.
  void reset(std::uint64_t position) {
    Kept.clear();
    From = Newest = position;
  }

  void add(std::uint64_t position, T changes, std::size_t most) {
    Newest = std::max(Newest, position);
    Kept.emplace_back(Newest, std::move(changes));
    while (Kept.size() > most) {
      From = Kept.front().first;
      Kept.pop_front();
    }
  }

  /// Nothing has changed up to the position.
  void advance(std::uint64_t position) { Newest = std::max(Newest, position); }

  /// Changes behind the position, or nothing if they are not all kept.
  std::optional<std::vector<T>> since(std::uint64_t position) const {
    if (position < From || Newest == 0)
      return std::nullopt;
    std::vector<T> out;
    for (const auto &[at, changes] : Kept)
      if (at > position)
        out.push_back(changes);
    return out;
  }

  std::uint64_t position() const { return Newest; }

private:
  std::uint64_t From = 0;
  std::uint64_t Newest = 0;
  std::deque<std::pair<std::uint64_t, T>> Kept;
};

/// What a node has lately seen change in the registry, for nodes that hear of
/// it from this one instead of looking themselves. No clock, no sockets.
class RegistryChangeLog {
public:
  struct Settings {
    /// Looks with changes that are kept: those of more than a minute.
    std::size_t MostKept = 128;
  };

  explicit RegistryChangeLog(Settings settings) : Setup(settings) {}

  /// Each gives whether there is something new to tell.
  bool onOperator(const OperatorChanges &changes);
  bool onReplicas(const ReplicaChanges &changes);
  /// What operators had declared up to the position is known some other way, so
  /// that nothing before it can be told from here.
  void restartOperators(std::uint64_t position) { Operators.reset(position); }

  const ChangeList<OperatorChanges> &operators() const { return Operators; }
  const ChangeList<ReplicaChanges> &replicas() const { return Replicas; }

private:
  bool matters(const ReplicaRecord &record);

  Settings Setup;
  ChangeList<OperatorChanges> Operators;
  ChangeList<ReplicaChanges> Replicas;
  /// Replicas as they were told last.
  std::map<std::string, ReplicaRecord> Known;
};

} // namespace hemlockglade
