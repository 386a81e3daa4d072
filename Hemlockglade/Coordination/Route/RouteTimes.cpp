#include "Hemlockglade/Coordination/Route/RouteTimes.h"

#include <algorithm>

namespace hemlockglade {

void RouteTimes::onEnd(std::string_view route, Span took, Instant now) {
  removeExpired(now);
  auto it = Routes.find(route);
  if (it == Routes.end())
    it = Routes.emplace(route, Entry{now, {}, {}}).first;
  auto &entry = it->second;
  if (now - entry.Since >= Options.Period) {
    bool isNext = now - entry.Since < 2 * Options.Period;
    entry.Before = isNext ? entry.Current : Window{};
    entry.Current = {};
    entry.Since = now;
  }
  ++entry.Current.Requests;
  entry.Current.Longest = std::max(entry.Current.Longest, took);
}

std::optional<Span> RouteTimes::needed(std::string_view route,
                                       Instant now) const {
  auto it = Routes.find(route);
  if (it == Routes.end() || now - it->second.Since >= 2 * Options.Period)
    return std::nullopt;
  const auto &[since, current, before] = it->second;
  if (current.Requests + before.Requests < Options.MinRequests)
    return std::nullopt;
  return scaled(std::max(current.Longest, before.Longest), Options.Allowance);
}

void RouteTimes::removeExpired(Instant now) {
  if (now - CheckedAt < Options.Period)
    return;
  CheckedAt = now;
  std::erase_if(Routes, [this, now](const auto &it) {
    return now - it.second.Since >= 2 * Options.Period;
  });
}

} // namespace hemlockglade
