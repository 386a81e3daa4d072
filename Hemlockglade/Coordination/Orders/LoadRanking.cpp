#include "Hemlockglade/Coordination/Orders/LoadRanking.h"

#include <algorithm>

namespace hemlockglade {

double LoadRanking::valueOf(const LoadCandidate &candidate) const {
  double horizon = inSeconds(Options.Horizon);
  double perCopy = Options.StartsPerCopy * horizon;
  double arriving = candidate.Rate * horizon;
  double begun = perCopy * static_cast<double>(candidate.Copies);
  // Requests that wait although there are copies show that these begin fewer
  // than assumed; copies that are being loaded begin their share of them. Where
  // no copy can be used, at least one request waits, whatever was counted.
  double isUnserved = candidate.WaitedFor > Span(0) ? 1 : 0;
  double waiting = std::max(
      isUnserved,
      candidate.Waiting - perCopy * static_cast<double>(candidate.Loading));
  double unserved = std::max(0.0, arriving - begun) + waiting;
  return std::min(unserved, perCopy + waiting);
}

std::vector<LoadRanking::Entry>
LoadRanking::order(std::span<const LoadCandidate> candidates) {
  std::vector<Entry> out;
  for (std::size_t n = 0; n < candidates.size(); ++n)
    if (double value = valueOf(candidates[n]); value > 0)
      out.push_back({n, value});
  std::sort(out.begin(), out.end(), [](const Entry &a, const Entry &b) {
    return a.Value != b.Value ? a.Value > b.Value : a.Index < b.Index;
  });
  if (OldestCredit < 1)
    return out;
  auto oldest = std::max_element(
      out.begin(), out.end(), [&](const Entry &a, const Entry &b) {
        return candidates[a.Index].WaitedFor < candidates[b.Index].WaitedFor;
      });
  if (oldest == out.end() || candidates[oldest->Index].WaitedFor <= Span(0))
    return out;
  oldest->IsOldest = true;
  std::rotate(out.begin(), oldest, oldest + 1);
  return out;
}

void LoadRanking::onLoad(const Entry &entry) {
  constexpr double MaxCredit = 2;
  OldestCredit += Options.OldestShare - (entry.IsOldest ? 1 : 0);
  OldestCredit = std::clamp(OldestCredit, 0.0, MaxCredit);
}

} // namespace hemlockglade
