#include "Hemlockglade/Coordination/Decision/PrefixIndex.h"

#include <bit>

namespace hemlockglade {

namespace {

// A prefix computed under one adapter is of no use to another, so the key is
// made of both. Zero marks an empty entry.
std::uint64_t hashOf(AdapterKey adapter, std::uint64_t prefix) {
  std::uint64_t key = prefix ^ (adapter * 0x9E3779B97F4A7C15ULL);
  key ^= key >> 32;
  key *= 0xD6E8FEB86659FD93ULL;
  key ^= key >> 32;
  return key | 1;
}

} // namespace

PrefixIndex::PrefixIndex(std::size_t entries)
    : Entries(std::bit_ceil(std::max<std::size_t>(entries, 1))) {}

void PrefixIndex::record(AdapterKey adapter, std::uint64_t prefix,
                         ReplicaKey replica, std::uint64_t incarnation) {
  std::uint64_t key = hashOf(adapter, prefix);
  Entries[(key >> 1) & (Entries.size() - 1)] = {key, {replica, incarnation}};
}

std::optional<PrefixIndex::Location>
PrefixIndex::find(AdapterKey adapter, std::uint64_t prefix) const {
  std::uint64_t key = hashOf(adapter, prefix);
  const auto &entry = Entries[(key >> 1) & (Entries.size() - 1)];
  if (entry.Key != key)
    return std::nullopt;
  return entry.UsedOn;
}

} // namespace hemlockglade
