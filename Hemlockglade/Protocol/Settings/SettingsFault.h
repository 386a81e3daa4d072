#pragma once

#include <string>
#include <vector>

namespace hemlockglade {

/// One fault of a settings or declarations file.
struct SettingsFault {
  std::string File;
  /// Line of the key or value, starting at 1.
  int Line = 1;
  /// Path of the key, such as `replicas[2].slots`; empty for the whole file.
  std::string Key;
  /// What is valid there, and what was found instead.
  std::string Expected;

  /// Returns the fault as one line: `file:line: key: expected ...`.
  std::string text() const;
};

/// All faults of one file, ordered by line.
using SettingsFaults = std::vector<SettingsFault>;

/// Returns all faults as text, one per line.
std::string faultText(const SettingsFaults &faults);

} // namespace hemlockglade
