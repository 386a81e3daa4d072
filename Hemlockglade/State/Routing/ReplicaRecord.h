#pragma once

#include "Hemlockglade/State/Ids.h"
#include "Hemlockglade/State/Routing/ReplicaIncarnation.h"

#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

namespace hemlockglade {

/// Weights that a request needs or a replica holds: a base model, or an adapter
/// of one.
struct WeightsRef {
  std::string Model;
  /// Empty for the base model itself.
  std::string Adapter;

  bool operator==(const WeightsRef &) const = default;
  bool operator<(const WeightsRef &other) const {
    return std::tie(Model, Adapter) < std::tie(other.Model, other.Adapter);
  }
  std::string text() const {
    return Adapter.empty() ? Model : Model + "/" + Adapter;
  }
  /// Parses `model` or `model/adapter`.
  static WeightsRef parse(std::string_view text) {
    auto slash = text.find('/');
    if (slash == std::string_view::npos)
      return {std::string(text), {}};
    return {std::string(text.substr(0, slash)),
            std::string(text.substr(slash + 1))};
  }
};

/// Weights that a replica holds, with the version of each.
using HeldWeights = std::map<WeightsRef, std::uint64_t>;

/// A replica's entry in the registry, for one incarnation.
struct ReplicaRecord {
  ReplicaIncarnation Incarnation;
  std::string Service;
  /// `ip:port`
  std::string Address;
  std::string FailureDomain;
  /// Version of the replica's own software, not of the weights; empty if the
  /// entry states none.
  std::string SoftwareVersion;
  std::uint32_t Slots = 1;
  /// The replica is draining: it gets no new work.
  bool Draining = false;
  /// Time until the replica is terminated, whatever it runs; 0 if not
  /// announced.
  Span TerminatesIn{0};
  /// Remaining time for which the replica is slow after its start.
  Span ColdFor{0};
  /// Weights that the replica holds, as of its last heartbeat.
  HeldWeights Held;
  /// The entry as registered, for forwarding to nodes that can't read it
  /// themselves.
  std::string Source;
};

/// Window in which the requests of all nodes to a replica are counted against a
/// limit that it states.
constexpr Span ReplicaLimitWindow = std::chrono::seconds(4);

using ReplicaPtr = std::shared_ptr<const ReplicaRecord>;

/// A version of an adapter's weights that operators have declared.
struct WeightsVersion {
  WeightsRef Weights;
  std::uint64_t Version = 0;
  /// Earliest time at which it can have been declared, as far as is known.
  Instant NotBefore = LongAgo;
};

} // namespace hemlockglade
