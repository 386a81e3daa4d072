#include "Hemlockglade/Coordination/TableEra.h"

namespace hemlockglade {

namespace {

/// Number of versions of one era. A power of ten, so that era and version can
/// be read off the decimal number in logs.
constexpr std::uint64_t VersionsPerEra = 1'000'000'000'000;

} // namespace

bool TableEra::onAnswer(std::uint64_t era) {
  if (era < Era)
    return false;
  Era = era;
  EraKnown = true;
  return true;
}

std::uint64_t TableEra::wide(std::uint64_t version) const {
  return startOf(Era) + version;
}

std::optional<std::uint64_t> TableEra::own(std::uint64_t version) const {
  if (version != 0 && EraKnown && eraOf(version) != Era)
    return std::nullopt;
  return version % VersionsPerEra;
}

std::uint64_t TableEra::startOf(std::uint64_t era) {
  return era * VersionsPerEra;
}

std::uint64_t TableEra::eraOf(std::uint64_t version) {
  return version / VersionsPerEra;
}

} // namespace hemlockglade
