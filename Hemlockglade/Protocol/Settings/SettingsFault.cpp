#include "Hemlockglade/Protocol/Settings/SettingsFault.h"

namespace hemlockglade {

std::string SettingsFault::text() const {
  auto out = File + ':' + std::to_string(Line) + ": ";
  if (!Key.empty())
    out += Key + ": ";
  return out + "expected " + Expected;
}

std::string faultText(const SettingsFaults &faults) {
  std::string out;
  for (const auto &it : faults)
    out += it.text() + '\n';
  return out;
}

} // namespace hemlockglade
