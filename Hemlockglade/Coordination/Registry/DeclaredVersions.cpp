#include "Hemlockglade/Coordination/Registry/DeclaredVersions.h"

#include <algorithm>

namespace hemlockglade {

bool DeclaredVersions::add(const WeightsVersion &declared) {
  auto &all = Versions[declared.Weights];
  auto at = std::lower_bound(all.begin(), all.end(), declared.Version,
                             [](const Declaration &it, std::uint64_t version) {
                               return it.Version < version;
                             });
  if (at != all.end() && at->Version == declared.Version)
    return false;
  all.insert(at, {declared.Version, declared.NotBefore});
  // The versions below the second one were replaced longer than `KeepFor` ago,
  // so the first declaration is not needed any more.
  while (all.size() > 1 && all[1].NotBefore + KeepFor < declared.NotBefore)
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
  // A newer version may have an earlier time than one before it, because
  // declarations are received by several ways.
  for (const auto &declared : it->second)
    if (declared.Version > version)
      out = std::min(out.value_or(declared.NotBefore), declared.NotBefore);
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
