#pragma once

#include <cstdint>
#include <optional>

namespace hemlockglade {

/// Versions that rise though the table may come back older than it was and give
/// its own versions out again. It tells its era with each answer, which rises
/// by one each time.
class TableEra {
public:
  /// An answer tells the era. False if it is from an earlier one than is known
  /// already: what it says may be gone.
  bool onAnswer(std::uint64_t era);
  std::uint64_t era() const { return Era; }

  /// A version that the table has given out in this era, as all other parts
  /// know it.
  std::uint64_t wide(std::uint64_t version) const;
  /// The table's own version again; nothing if the table is known to be in
  /// another era. 0 stands for no version in both.
  std::optional<std::uint64_t> own(std::uint64_t wide) const;
  static std::uint64_t eraOf(std::uint64_t wide);
  /// Below every version of an era, and above those of the eras before.
  static std::uint64_t startOf(std::uint64_t era);

private:
  std::uint64_t Era = 0;
  bool Heard = false;
};

} // namespace hemlockglade
