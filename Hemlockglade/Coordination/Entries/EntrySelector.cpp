#include "Hemlockglade/Coordination/Entries/EntrySelector.h"

#include <algorithm>
#include <tuple>

namespace hemlockglade {

std::size_t EntrySelector::needed(std::span<const EntryCandidate> strongest,
                                  const EntryLoad &load) const {
  for (auto n = Setup.Least; n < strongest.size(); ++n) {
    auto count = static_cast<double>(n);
    EntryLoad each{load.Requests / count, load.Bytes / count};
    // The last is the weakest.
    if (Setup.Cost.shareOf(strongest[n - 1].Host, each) <= Setup.Fill)
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
  auto n = needed(out, load);
  if (n >= Number || now - NeededAt >= Setup.ShrinkAfter) {
    Number = n;
    NeededAt = now;
  }
  if (Number < out.size())
    out.resize(Number);
  return out;
}

} // namespace hemlockglade
