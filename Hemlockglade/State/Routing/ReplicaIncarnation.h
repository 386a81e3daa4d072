#pragma once

#include <cstdint>
#include <string>
#include <utility>

namespace hemlockglade {

/// Identifies one incarnation of a replica. A replica that restarts may keep
/// the id under which it is registered but loses all of its state, so
/// everything that is known about a replica is stored under its incarnation,
/// not its id.
class ReplicaIncarnation {
public:
  ReplicaIncarnation() = default;
  /// `startedAtMs`: Unix time of the start in milliseconds; 0 if the replica
  /// does not report it.
  explicit ReplicaIncarnation(std::string id, std::uint64_t startedAtMs = 0)
      : Id(std::move(id)), StartedAtMs(startedAtMs), Text(textOf()) {}

  /// Returns the id under which the replica is registered and that requests and
  /// orders to it carry.
  const std::string &id() const { return Id; }
  std::uint64_t startedAtMs() const { return StartedAtMs; }
  /// Returns the unique name of this incarnation, for tables, messages and
  /// logs.
  const std::string &text() const { return Text; }

  bool operator==(const ReplicaIncarnation &other) const {
    return Text == other.Text;
  }
  /// Returns whether this is an earlier incarnation of the same replica.
  bool before(const ReplicaIncarnation &other) const {
    return Id == other.Id && StartedAtMs < other.StartedAtMs;
  }

private:
  std::string textOf() const {
    return StartedAtMs ? Id + "#" + std::to_string(StartedAtMs) : Id;
  }

  std::string Id;
  std::uint64_t StartedAtMs = 0;
  std::string Text;
};

} // namespace hemlockglade
