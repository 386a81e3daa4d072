#include "Hemlockglade/Coordination/Streams/StreamHolders.h"

#include <algorithm>
#include <xxhash.h>

namespace hemlockglade {

std::vector<StreamHolder> rankHolders(StreamKey key,
                                      std::span<const DomainEntries> entries) {
  std::vector<std::pair<std::uint64_t, StreamHolder>> scored;
  for (const auto &domain : entries)
    for (const auto &node : domain.Entries)
      scored.emplace_back(
          XXH3_64bits_withSeed(node.Node.data(), node.Node.size(), key),
          StreamHolder{&node, domain.FailureDomain});
  std::sort(scored.begin(), scored.end(), [](const auto &a, const auto &b) {
    return std::pair(a.first, std::string_view(a.second.Node->Node)) >
           std::pair(b.first, std::string_view(b.second.Node->Node));
  });
  std::vector<StreamHolder> out;
  out.reserve(scored.size());
  for (const auto &[score, holder] : scored)
    out.push_back(holder);
  return out;
}

std::vector<StreamHolder> holdersToTell(std::span<const StreamHolder> ranked,
                                        std::string_view ownNode,
                                        std::size_t count) {
  std::vector<StreamHolder> others;
  for (const auto &it : ranked)
    if (it.Node->Node != ownNode)
      others.push_back(it);
  if (others.size() <= count || count == 0)
    return others;
  // The first one of another failure domain takes the last place, unless one
  // has a place already.
  auto isElsewhere = [domain = others.front().FailureDomain](const auto &it) {
    return it.FailureDomain != domain;
  };
  auto places = others.begin() + static_cast<std::ptrdiff_t>(count);
  if (std::none_of(others.begin(), places, isElsewhere)) {
    auto it = std::find_if(places, others.end(), isElsewhere);
    if (it != others.end())
      std::iter_swap(places - 1, it);
  }
  others.resize(count);
  return others;
}

} // namespace hemlockglade
