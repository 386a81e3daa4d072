#pragma once

#include <cstdint>
#include <optional>

namespace hemlockglade {

/// Maps the table's own versions to versions that rise also when the table is
/// restored to an earlier state and assigns its own versions again. Each answer
/// of the table carries its era, which rises by one with each restore.
class TableEra {
public:
  /// Called with the era of each answer. Returns false if a later era is known
  /// already: the rows in the answer may have been lost since.
  bool onAnswer(std::uint64_t era);
  std::uint64_t era() const { return Era; }

  /// Converts a version that the table assigned in the current era to the
  /// version that all other parts use.
  std::uint64_t wide(std::uint64_t version) const;
  /// Converts a version back to the table's own; nothing if the table is known
  /// to be in another era than the version's. 0 stands for no version in both.
  std::optional<std::uint64_t> own(std::uint64_t version) const;
  /// Returns the era of a converted version.
  static std::uint64_t eraOf(std::uint64_t version);
  /// Returns a version that is below every version of the era and above those
  /// of all earlier eras.
  static std::uint64_t startOf(std::uint64_t era);

private:
  std::uint64_t Era = 0;
  bool EraKnown = false;
};

} // namespace hemlockglade
