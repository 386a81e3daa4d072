#pragma once

#include <string>
#include <vector>

namespace hemlockglade {

/// One fault of a settings or declarations file.
struct SettingsFault {
  std::string File;
  /// Line of the key or value, from 1.
  int Line = 1;
  /// Path of the key, such as `replicas[2].slots`; empty for the whole file.
  std::string Key;
  /// What should have stood there, and what did.
  std::string Expected;

  /// The fault as one line: `file:line: key: expected ...`.
  std::string text() const;
};

/// All faults of one file, in the order of their lines.
using SettingsFaults = std::vector<SettingsFault>;

/// All faults as text, one a line.
std::string faultText(const SettingsFaults &faults);

} // namespace hemlockglade
