#pragma once

#include "Hemlockglade/State/Ids.h"

#include <array>
#include <map>
#include <string>

namespace hemlockglade {

/// One node's part of the budget of repeats that all nodes share: repeats of a
/// service within a sliding window are bounded by a share of its requests and
/// a fixed number.
class RepeatBudget {
public:
  struct Settings {
    /// Repeats allowed for each request, over all nodes.
    double Share = 0.2;
    /// Repeats allowed beside, over all nodes.
    double Extra = 20;
    Span Window = std::chrono::seconds(10);
    /// Part of the budget that is used. The rest covers that nodes see
    /// different numbers of requests and of each other.
    double Used = 0.75;
  };

  explicit RepeatBudget(const Settings &settings) : Setup(settings) {}

  /// A request for the service came.
  void onRequest(const std::string &service, Instant now);
  /// Whether one more repeat may be sent; if so, it is counted.
  bool spend(const std::string &service, Instant now);
  /// Takes over other bounds; what is counted stays.
  void setBounds(const Settings &settings) { Setup = settings; }
  /// How many nodes share the budget.
  void setNodes(std::size_t nodes) { Nodes = nodes ? nodes : 1; }

private:
  static constexpr std::size_t SlotCount = 20;

  struct Slot {
    std::int64_t Number = -1;
    std::uint32_t Requests = 0;
    std::uint32_t Repeats = 0;
  };
  using Slots = std::array<Slot, SlotCount>;

  Slot &slot(Slots &slots, Instant now) const;
  std::int64_t numberOf(Instant now) const;

  Settings Setup;
  /// Nodes that are taken to share the budget until others have been heard of:
  /// of 86 nodes that all started together each took the whole of it, and a
  /// service got 1,648 repeats in 10 s where 627 were allowed.
  static constexpr std::size_t UnknownNodes = 32;

  std::size_t Nodes = UnknownNodes;
  std::map<std::string, Slots> Services;
};

} // namespace hemlockglade
