#include "Hemlockglade/Coordination/Route/RouteTimes.h"

#include <catch2/catch.hpp>

namespace hemlockglade::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant Start = seconds(1000);

void serve(RouteTimes &times, int count, Span took, Instant now) {
  for (int n = 0; n < count; ++n)
    times.onEnd("r", took, now);
}

} // namespace

TEST_CASE("a route needs the longest time seen lately, and half as much more",
          "[route-times]") {
  RouteTimes times;
  CHECK_FALSE(times.needed("r", Start));
  serve(times, 7, milliseconds(100), Start);
  CHECK_FALSE(times.needed("r", Start));
  serve(times, 1, milliseconds(400), Start);
  CHECK(times.needed("r", Start) == milliseconds(600));
  CHECK_FALSE(times.needed("other", Start));
  // The next period counts beside it, the one after in its place.
  serve(times, 1, milliseconds(100), Start + seconds(31));
  CHECK(times.needed("r", Start + seconds(31)) == milliseconds(600));
  serve(times, 8, milliseconds(100), Start + seconds(62));
  CHECK(times.needed("r", Start + seconds(62)) == milliseconds(150));
}

TEST_CASE("what was seen long ago says nothing", "[route-times]") {
  RouteTimes times;
  serve(times, 20, milliseconds(100), Start);
  CHECK(times.needed("r", Start + seconds(59)));
  CHECK_FALSE(times.needed("r", Start + seconds(60)));
  serve(times, 1, milliseconds(100), Start + seconds(200));
  CHECK_FALSE(times.needed("r", Start + seconds(200)));
}

} // namespace hemlockglade::test
