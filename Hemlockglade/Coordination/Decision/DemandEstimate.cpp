#include "Hemlockglade/Coordination/Decision/DemandEstimate.h"

#include <algorithm>
#include <cmath>

namespace hemlockglade {

DemandEstimate::DemandEstimate(const DemandSettings &settings)
    : HalfLifeUs(static_cast<double>(settings.HalfLife.count())) {}

void DemandEstimate::record(AdapterKey adapter, Instant now) {
  if (adapter >= Entries.size())
    Entries.resize(adapter + 1);
  auto &entry = Entries[adapter];
  entry.Count = decayed(entry, now) + 1;
  entry.At = std::max(entry.At, now);
}

double DemandEstimate::count(AdapterKey adapter, Instant now) const {
  return adapter < Entries.size() ? decayed(Entries[adapter], now) : 0;
}

double DemandEstimate::order(AdapterKey adapter) const {
  if (adapter >= Entries.size() || Entries[adapter].Count <= 0)
    return Never;
  const auto &entry = Entries[adapter];
  return std::log2(entry.Count) +
         static_cast<double>(entry.At.count()) / HalfLifeUs;
}

double DemandEstimate::decayed(const Entry &entry, Instant now) const {
  if (entry.Count <= 0 || now <= entry.At)
    return entry.Count;
  auto age = static_cast<double>((now - entry.At).count());
  return entry.Count * std::exp2(-age / HalfLifeUs);
}

} // namespace hemlockglade
