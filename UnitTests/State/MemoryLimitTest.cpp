#include "Hemlockglade/State/MemoryLimit.h"

#include <catch2/catch.hpp>

namespace hemlockglade::test {

TEST_CASE("limits of control groups are read, and none is not a limit",
          "[memory-limit]") {
  CHECK(readGroupLimit("125829120\n") == 125829120);
  CHECK(readGroupLimit("max\n") == 0);
  CHECK(readGroupLimit("9223372036854771712\n") == 0);
  CHECK(readGroupLimit("") == 0);
  CHECK(readGroupLimit("-1") == 0);
}

TEST_CASE("the path of the unified control group is found", "[memory-limit]") {
  CHECK(readGroupPath("3:cpu:/a\n0::/user/b\n") == "/user/b");
  CHECK(readGroupPath("3:cpu:/a\n").empty());
  CHECK(readGroupPath("").empty());
}

TEST_CASE("the physical memory of the host is known", "[memory-limit]") {
  CHECK(MemoryLimit::ofProcess().Physical > 0);
  CHECK(MemoryLimit::ofProcess().usable() > 0);
  CHECK(MemoryLimit{5, 9}.usable() == 5);
  CHECK(MemoryLimit{9, 5}.usable() == 5);
  CHECK(MemoryLimit{0, 5}.usable() == 5);
  CHECK(MemoryLimit{5, 0}.usable() == 5);
  CHECK(MemoryLimit{}.usable() == 0);
}

} // namespace hemlockglade::test
