#include "Hemlockglade/State/Config/ConfigDelta.h"

namespace hemlockglade {

const std::string &entryName(const ConfigEntry &entry) {
  return std::visit(
      [](const auto &it) -> const std::string & { return it.Name; }, entry);
}

} // namespace hemlockglade
