#include "Hemlockglade/Coordination/Entries/EntrySelector.h"

#include <algorithm>
#include <tuple>

namespace hemlockglade {

std::size_t
EntrySelector::neededCount(std::span<const EntryCandidate> strongest,
                           const EntryLoad &load) const {
  for (auto n = Options.MinEntries; n < strongest.size(); ++n) {
    auto count = static_cast<double>(n);
    EntryLoad each{load.Requests / count, load.Bytes / count};
    // The last one is the weakest.
    if (Options.Cost.shareOf(strongest[n - 1].Host, each) <= Options.MaxShare)
      return n;
  }
  return strongest.size();
}

std::vector<EntryCandidate>
EntrySelector::choose(std::span<const EntryCandidate> ready,
                      const EntryLoad &load, Instant now) {
  std::vector<EntryCandidate> out(ready.begin(), ready.end());
  std::sort(out.begin(), out.end(), [](const auto &a, const auto &b) {
    return std::tuple(-relativeCapacity(a.Host), std::string_view(a.Node)) <
           std::tuple(-relativeCapacity(b.Host), std::string_view(b.Node));
  });
  auto n = neededCount(out, load);
  if (n >= Count || now - NeededAt >= Options.ShrinkDelay) {
    Count = n;
    NeededAt = now;
  }
  if (Count < out.size())
    out.resize(Count);
  return out;
}

} // namespace hemlockglade
