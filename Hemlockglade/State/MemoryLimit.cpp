#include "Hemlockglade/State/MemoryLimit.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iterator>
#include <sys/resource.h>
#include <unistd.h>

namespace hemlockglade {

namespace {

/// A control group without a limit shows a number near 2^63 in older kernels.
constexpr std::uint64_t NoLimit = std::uint64_t{1} << 50U;

std::string textOf(const std::string &path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

void lower(std::uint64_t &limit, std::uint64_t other) {
  if (other != 0 && (limit == 0 || other < limit))
    limit = other;
}

} // namespace

std::uint64_t readGroupLimit(std::string_view text) {
  std::uint64_t n = 0;
  auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
  return ec == std::errc() && n < NoLimit ? n : 0;
}

std::string readGroupPath(std::string_view text) {
  constexpr std::string_view Unified = "0::";
  while (!text.empty()) {
    auto line = text.substr(0, text.find('\n'));
    if (line.starts_with(Unified))
      return std::string(line.substr(Unified.size()));
    text.remove_prefix(std::min(text.size(), line.size() + 1));
  }
  return {};
}

MemoryLimit MemoryLimit::atMost(std::uint64_t bytes) const {
  auto out = *this;
  lower(out.Bytes, bytes);
  return out;
}

MemoryLimit MemoryLimit::ofProcess() {
  MemoryLimit out;
  for (auto kind : {RLIMIT_AS, RLIMIT_DATA}) {
    rlimit it{};
    if (::getrlimit(kind, &it) == 0 && it.rlim_cur != RLIM_INFINITY)
      lower(out.Bytes, it.rlim_cur);
  }
  const std::string root = "/sys/fs/cgroup";
  // Groups within one with a limit are bound by it too.
  auto path = readGroupPath(textOf("/proc/self/cgroup"));
  for (;;) {
    lower(out.Bytes, readGroupLimit(textOf(root + path + "/memory.max")));
    auto slash = path.rfind('/');
    if (slash == std::string::npos)
      break;
    path.erase(slash);
  }
  lower(out.Bytes,
        readGroupLimit(textOf(root + "/memory/memory.limit_in_bytes")));
  auto pages = ::sysconf(_SC_PHYS_PAGES);
  auto pageBytes = ::sysconf(_SC_PAGESIZE);
  if (pages > 0 && pageBytes > 0)
    out.Physical = static_cast<std::uint64_t>(pages) *
                   static_cast<std::uint64_t>(pageBytes);
  return out;
}

} // namespace hemlockglade
