#include "Hemlockglade/Coordination/Decision/PrefixIndex.h"

#include <bit>

namespace hemlockglade {

namespace {

// A prefix computed under one adapter is of no use to another, so both make
// the key. Zero stands for an empty place.
std::uint64_t mix(AdapterKey adapter, std::uint64_t prefix) {
  std::uint64_t key = prefix ^ (adapter * 0x9E3779B97F4A7C15ULL);
  key ^= key >> 32;
  key *= 0xD6E8FEB86659FD93ULL;
  key ^= key >> 32;
  return key | 1;
}

} // namespace

PrefixIndex::PrefixIndex(std::size_t places)
    : Entries(std::bit_ceil(std::max<std::size_t>(places, 1))) {}

void PrefixIndex::note(AdapterKey adapter, std::uint64_t prefix,
                       ReplicaKey replica, std::uint64_t incarnation) {
  std::uint64_t key = mix(adapter, prefix);
  Entries[(key >> 1) & (Entries.size() - 1)] = {key, {replica, incarnation}};
}

std::optional<PrefixIndex::Place>
PrefixIndex::find(AdapterKey adapter, std::uint64_t prefix) const {
  std::uint64_t key = mix(adapter, prefix);
  const auto &entry = Entries[(key >> 1) & (Entries.size() - 1)];
  if (entry.Key != key)
    return std::nullopt;
  return entry.Where;
}

} // namespace hemlockglade
