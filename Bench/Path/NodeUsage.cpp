#include "NodeUsage.h"

#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

namespace hemlockglade::bench {

NodeUsage readUsage(pid_t pid) {
  constexpr int UserTimeField = 11;
  auto folder = "/proc/" + std::to_string(pid);
  NodeUsage usage;
  std::string text;
  std::ifstream stat(folder + "/stat");
  if (!std::getline(stat, text))
    return usage;
  // The second field, the program's name in parentheses, may contain spaces
  // and parentheses, so the fields are counted from the last `)`.
  std::istringstream fields(text.substr(text.rfind(')') + 1));
  std::string skipped;
  for (int it = 0; it < UserTimeField; ++it)
    fields >> skipped;
  double user = 0;
  double system = 0;
  fields >> user >> system;
  usage.Processor = (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
  std::size_t total = 0;
  std::size_t pages = 0;
  std::ifstream(folder + "/statm") >> total >> pages;
  usage.Resident = pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
  return usage;
}

} // namespace hemlockglade::bench
