#pragma once

#include "Hemlockglade/State/Ids.h"

#include <array>
#include <map>
#include <string>

namespace hemlockglade {

/// One node's part of the budget of repeats that all nodes share: repeats of a
/// service within a sliding window are bounded by a share of its requests and
/// a fixed number.
class SharedRetryBudget {
public:
  struct Settings {
    /// Repeats allowed for each request, over all nodes.
    double RetriesPerRequest = 0.2;
    /// Repeats allowed beside, over all nodes.
    double FixedRetries = 20;
    Span Window = std::chrono::seconds(10);
    /// Part of the budget that is used. The rest covers that nodes see
    /// different numbers of requests and of each other.
    double UsedShare = 0.75;
    /// Part of the fixed number that is used. The rest covers that nodes which
    /// serve for others may share the same window with them.
    double UsedFixedShare = 0.5;
  };

  explicit SharedRetryBudget(const Settings &settings) : Setup(settings) {}

  /// A request for the service came.
  void onRequest(const std::string &service, Instant now);
  /// Whether one more repeat may be sent; if so, it is counted.
  bool tryConsume(const std::string &service, Instant now);
  /// Takes over other bounds; what is counted stays.
  void setBounds(const Settings &settings) { Setup = settings; }
  /// Part of the fixed number that is this node's, 0 to 1.
  void setTrafficShare(double part) { Part = part; }

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
  /// None until others have been heard of: nodes that all start together would
  /// each take the whole of it.
  double Part = 0;
  std::map<std::string, Slots> Services;
};

} // namespace hemlockglade
