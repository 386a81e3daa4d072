#include "UnitTests/Platform/Soak/ProcessMemory.h"

#include <fstream>
#include <string>

namespace hemlockglade::soak {

std::uint64_t peakMemoryOf(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  std::string word;
  std::uint64_t kib = 0;
  while (file >> word)
    if (word == "VmHWM:" && file >> kib)
      return kib * 1024;
  return 0;
}

} // namespace hemlockglade::soak
