#include "Hemlockglade/Coordination/Orders/LoadConcurrency.h"

#include <catch2/catch.hpp>
#include <cmath>

namespace hemlockglade::test {

namespace {

using std::chrono::milliseconds;

/// Loads wait all the time; they come late while more are on their way than the
/// store serves at full speed.
double settled(double atFullSpeed) {
  LoadConcurrency pace({});
  pace.setRate(5);
  Instant now = std::chrono::seconds(100);
  double sum = 0;
  constexpr int Steps = 600;
  for (int it = 0; it < 2 * Steps; ++it) {
    now += milliseconds(100);
    pace.onLoadDelayed(now);
    if (double(pace.limit()) > atFullSpeed)
      pace.onLate(now);
    sum += it < Steps ? 0 : double(pace.limit());
  }
  return sum / Steps;
}

} // namespace

TEST_CASE("the number of loads at once settles near what the store serves",
          "[load-pace]") {
  CHECK(std::abs(settled(10) - 10) < 1.5);
  CHECK(std::abs(settled(15) - 15) < 1.5);
}

TEST_CASE("the number of loads at once is learnt within bounds",
          "[load-pace]") {
  CHECK(settled(1) >= 9);
  CHECK(settled(1000) <= 18);
}

TEST_CASE("nothing is learnt while no load waits", "[load-pace]") {
  LoadConcurrency pace({});
  pace.setRate(5);
  CHECK(pace.limit() == 12);
  pace.onLoadDelayed(std::chrono::seconds(10));
  // A pause is no time in which loads waited.
  pace.onLoadDelayed(std::chrono::seconds(1000));
  CHECK(pace.limit() == 12);
  pace.setRate(10);
  CHECK(pace.limit() == 24);
}

} // namespace hemlockglade::test
