#pragma once

#include <cstdint>
#include <string>
#include <utility>

namespace hemlockglade {

/// One start of a replica. A replica that starts again may keep the id under
/// which it is registered; it then holds and knows nothing of before, so that
/// everything that is known of a replica is kept by this name, not by the id.
class ReplicaIncarnation {
public:
  ReplicaIncarnation() = default;
  /// `startedAtMs`: Unix time of the start in milliseconds; 0 where the
  /// replica does not tell it.
  explicit ReplicaIncarnation(std::string id, std::uint64_t startedAtMs = 0)
      : Id(std::move(id)), StartedAtMs(startedAtMs), Text(textOf()) {}

  /// Name under which the replica is registered and that requests and orders
  /// to it bear.
  const std::string &id() const { return Id; }
  std::uint64_t startedAtMs() const { return StartedAtMs; }
  /// Name of this start alone, for books, messages and logs.
  const std::string &text() const { return Text; }

  bool operator==(const ReplicaIncarnation &other) const {
    return Text == other.Text;
  }
  /// Whether this is an earlier start of the same replica.
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
