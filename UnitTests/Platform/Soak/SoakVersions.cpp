#include "UnitTests/Platform/Soak/SoakVersions.h"

#include "UnitTests/Platform/Soak/SoakDisturbances.h"

#include <algorithm>
#include <optional>
#include <tuple>

namespace hemlockglade::soak {

namespace {

/// Returns the adapter without its version, and the version; 0 if there is
/// none.
std::pair<std::string, std::uint64_t> splitVersion(const std::string &adapter) {
  auto at = adapter.find('@');
  if (at == std::string::npos)
    return {adapter, 0};
  return {adapter.substr(0, at), std::stoull(adapter.substr(at + 1))};
}

} // namespace

VersionFindings checkVersions(const std::vector<HistoryEvent> &events,
                              Span bound, Span contact) {
  DisturbanceLog disturbances(events);
  VersionFindings out;
  std::map<std::string, std::map<std::uint64_t, Instant>> declared;
  for (const auto &it : events) {
    if (it.Event != "named" && (it.Event != "ran" || it.Adapter.empty()))
      continue;
    auto [adapter, version] = splitVersion(it.Adapter);
    auto &versions = declared[adapter];
    if (it.Event == "named") {
      versions.try_emplace(version, it.At);
      continue;
    }
    std::optional<Instant> acknowledgedAt;
    for (auto newer = versions.upper_bound(version); newer != versions.end();
         ++newer)
      acknowledgedAt =
          std::min(acknowledgedAt.value_or(newer->second), newer->second);
    if (!acknowledgedAt)
      continue;
    ++out.Replaced;
    auto undisturbed = disturbances.undisturbedSince(it.At);
    if (!undisturbed ||
        it.At - std::max(*acknowledgedAt, *undisturbed) <= bound ||
        !disturbances.wasConnected(it.Tag, it.AskedAt - contact, it.AskedAt))
      continue;
    auto ms = [](Span span) { return std::to_string(span.count() / 1000); };
    out.Late.push_back(it.Tag + " on " + it.Adapter + " at " + it.Who +
                       " from " + std::string(disturbances.gatewayOf(it.Tag)) +
                       ": begun at " + ms(it.At) + ", " +
                       ms(it.At - *acknowledgedAt) +
                       " ms after its successor's acknowledgement, " +
                       ms(it.At - it.AskedAt) + " ms after it was sent");
  }
  return out;
}

} // namespace hemlockglade::soak
