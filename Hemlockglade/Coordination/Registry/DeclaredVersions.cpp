#include "Hemlockglade/Coordination/Registry/DeclaredVersions.h"

#include <algorithm>

namespace hemlockglade {

bool DeclaredVersions::add(const WeightsVersion &named) {
  auto &all = Versions[named.Weights];
  auto at = std::lower_bound(all.begin(), all.end(), named.Version,
                             [](const Named &it, std::uint64_t version) {
                               return it.Version < version;
                             });
  if (at != all.end() && at->Version == named.Version)
    return false;
  all.insert(at, {named.Version, named.NotBefore});
  // What the second of them replaced is out of use, whatever the first did.
  while (all.size() > 1 && all[1].NotBefore + KeepFor < named.NotBefore)
    all.erase(all.begin());
  return true;
}

std::uint64_t DeclaredVersions::newest(const WeightsRef &weights) const {
  auto it = Versions.find(weights);
  return it == Versions.end() ? 0 : it->second.back().Version;
}

std::optional<Instant>
DeclaredVersions::replacedAt(const WeightsRef &weights,
                             std::uint64_t version) const {
  std::optional<Instant> out;
  auto it = Versions.find(weights);
  if (it == Versions.end())
    return out;
  // A later version may be known to be older than one before it: names come by
  // several ways.
  for (const auto &named : it->second)
    if (named.Version > version)
      out = std::min(out.value_or(named.NotBefore), named.NotBefore);
  return out;
}

std::vector<WeightsVersion> DeclaredVersions::all() const {
  std::vector<WeightsVersion> out;
  for (const auto &[weights, versions] : Versions)
    for (const auto &it : versions)
      out.push_back({weights, it.Version, it.NotBefore});
  return out;
}

} // namespace hemlockglade
