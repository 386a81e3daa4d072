#include "Hemlockglade/Coordination/Entries/RelaySelector.h"

#include <algorithm>

namespace hemlockglade {

bool RelaySelector::isUsable(const EntryCandidate &node, const Query &query,
                             Instant now) const {
  auto isUntil = [now](const auto &times, const auto &key) {
    auto it = times.find(key);
    return it != times.end() && now < it->second;
  };
  return node.Node != query.OwnNode && !node.RelayAddress.empty() &&
         !node.CutOff.contains(query.Service) &&
         !query.Excluded.contains(node.RelayAddress) &&
         !isUntil(UnreachableUntil, node.RelayAddress) &&
         !isUntil(CutOffUntil, std::pair(node.RelayAddress, query.Service));
}

std::uint32_t RelaySelector::running(const std::string &relay) const {
  auto it = Running.find(relay);
  return it == Running.end() ? 0 : it->second;
}

std::optional<std::string>
RelaySelector::choose(std::span<const DomainEntries> entries,
                      const Query &query, std::uint64_t random,
                      Instant now) const {
  // Bytes pass from the replica to the relay and on to this node: a relay in
  // either one's failure domain keeps one of the two ways short.
  enum Distance : std::size_t { OwnDomain, ReplicaDomain, Far, Distances };
  std::array<std::vector<const EntryCandidate *>, Distances> usable;
  for (const auto &domain : entries)
    for (const auto &node : domain.Entries)
      if (isUsable(node, query, now)) {
        auto distance = domain.FailureDomain == query.OwnDomain ? OwnDomain
                        : domain.FailureDomain == query.ReplicaDomain
                            ? ReplicaDomain
                            : Far;
        usable[distance].push_back(&node);
      }
  for (const auto &nodes : usable) {
    if (nodes.empty())
      continue;
    const auto &a = nodes[random % nodes.size()]->RelayAddress;
    const auto &b = nodes[(random >> 32U) % nodes.size()]->RelayAddress;
    return running(b) < running(a) ? b : a;
  }
  return std::nullopt;
}

void RelaySelector::onEnd(const std::string &relay) {
  auto it = Running.find(relay);
  if (it != Running.end() && --it->second == 0)
    Running.erase(it);
}

void RelaySelector::onUnreachable(const std::string &relay, Instant now) {
  UnreachableUntil[relay] = now + Options.UnreachableBackoff;
}

void RelaySelector::onCutOff(const std::string &relay,
                             const std::string &service, Instant now) {
  CutOffUntil[{relay, service}] = now + Options.CutOffBackoff;
}

void RelaySelector::removeExpired(Instant now) {
  auto isPast = [now](const auto &it) { return now >= it.second; };
  std::erase_if(UnreachableUntil, isPast);
  std::erase_if(CutOffUntil, isPast);
}

} // namespace hemlockglade
