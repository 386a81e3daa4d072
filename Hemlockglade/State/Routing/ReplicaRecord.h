#pragma once

#include "Hemlockglade/State/Ids.h"
#include "Hemlockglade/State/Routing/ReplicaIncarnation.h"

#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

namespace hemlockglade {

/// Weights that a request wants or a replica holds: a base model, or an
/// adapter of one.
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
  /// Reads `model` or `model/adapter`.
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

/// What the registry says of one start of a replica.
struct ReplicaRecord {
  /// Which start of which replica this is.
  ReplicaIncarnation Incarnation;
  std::string Service;
  /// `ip:port`
  std::string Address;
  std::string FailureDomain;
  std::uint32_t Slots = 1;
  /// It leaves: no new work.
  bool Draining = false;
  /// Time until it is taken away whatever it runs; 0 if not announced.
  Span TerminatesIn{0};
  /// How much longer it is slow after its start.
  Span ColdFor{0};
  /// What it holds, as of its last heartbeat.
  HeldWeights Held;
  /// The entry as it is registered, for nodes that can't read it themselves.
  std::string Source;
};

using ReplicaPtr = std::shared_ptr<const ReplicaRecord>;

/// A newer version of an adapter's weights that operators have named.
struct WeightsVersion {
  WeightsRef Weights;
  std::uint64_t Version = 0;
  /// It was named no earlier than this, as far as is known.
  Instant NotBefore = LongAgo;
};

} // namespace hemlockglade
