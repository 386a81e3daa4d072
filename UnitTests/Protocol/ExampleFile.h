#pragma once

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace hemlockglade {

/// Returns the text of a file in the folder `examples`; empty if there is no
/// such file.
inline std::string exampleFile(const std::string &name) {
  auto root =
      std::filesystem::path(__FILE__).parent_path().parent_path().parent_path();
  std::ifstream file(root / "examples" / name);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

} // namespace hemlockglade
