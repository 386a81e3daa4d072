#include "Hemlockglade/Coordination/TableEra.h"

namespace hemlockglade {

namespace {

/// Versions of one era; decimal, so that era and version can be read in logs.
constexpr std::uint64_t PerEra = 1'000'000'000'000;

} // namespace

bool TableEra::onAnswer(std::uint64_t era) {
  if (era < Era)
    return false;
  Era = era;
  Heard = true;
  return true;
}

std::uint64_t TableEra::wide(std::uint64_t version) const {
  return startOf(Era) + version;
}

std::optional<std::uint64_t> TableEra::own(std::uint64_t wide) const {
  if (wide != 0 && Heard && eraOf(wide) != Era)
    return std::nullopt;
  return wide % PerEra;
}

std::uint64_t TableEra::startOf(std::uint64_t era) { return era * PerEra; }

std::uint64_t TableEra::eraOf(std::uint64_t wide) { return wide / PerEra; }

} // namespace hemlockglade
