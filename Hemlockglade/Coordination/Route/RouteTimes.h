#pragma once

#include "Hemlockglade/State/Ids.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace hemlockglade {

/// How long the requests of each route have taken lately, from their arrival to
/// the end of their answer. Deterministic: time is passed in.
class RouteTimes {
public:
  struct Settings {
    /// The longest time of this period and of the one before count.
    Span Period = std::chrono::seconds(30);
    /// With fewer requests nothing is known of a route.
    std::uint32_t MinRequests = 8;
    /// What a request may need, as a multiple of the longest time seen.
    double Allowance = 1.5;
  };

  RouteTimes() : RouteTimes(Settings{}) {}
  explicit RouteTimes(const Settings &settings) : Options(settings) {}

  /// Called when a request that was sent to a replica has ended.
  void onEnd(std::string_view route, Span took, Instant now);
  /// Returns the time that a request may need; nothing if too few were seen.
  std::optional<Span> needed(std::string_view route, Instant now) const;

private:
  struct Window {
    std::uint32_t Requests = 0;
    Span Longest{0};
  };
  struct Entry {
    Instant Since{};
    Window Current;
    Window Before;
  };

  void removeExpired(Instant now);

  Settings Options;
  std::map<std::string, Entry, std::less<>> Routes;
  Instant CheckedAt{};
};

} // namespace hemlockglade
