#include "Hemlockglade/Coordination/Orders/LoadConcurrency.h"

#include <catch2/catch.hpp>
#include <cmath>

namespace hemlockglade::test {

namespace {

using std::chrono::milliseconds;

/// Returns the mean limit when loads are always delayed and are late whenever
/// more are in progress than the store serves at full speed.
double settledLimit(double atFullSpeed) {
  LoadConcurrency concurrency({});
  concurrency.setRate(5);
  Instant now = std::chrono::seconds(100);
  double sum = 0;
  constexpr int Steps = 600;
  for (int it = 0; it < 2 * Steps; ++it) {
    now += milliseconds(100);
    concurrency.onLoadDelayed(now);
    if (double(concurrency.limit()) > atFullSpeed)
      concurrency.onLate(now);
    sum += it < Steps ? 0 : double(concurrency.limit());
  }
  return sum / Steps;
}

} // namespace

TEST_CASE("the load limit settles near what the store serves at full speed",
          "[load-pace]") {
  CHECK(std::abs(settledLimit(10) - 10) < 1.5);
  CHECK(std::abs(settledLimit(15) - 15) < 1.5);
}

TEST_CASE("the learnt load limit stays within its bounds", "[load-pace]") {
  CHECK(settledLimit(1) >= 9);
  CHECK(settledLimit(1000) <= 18);
}

TEST_CASE("the load limit does not change while no load is delayed",
          "[load-pace]") {
  LoadConcurrency concurrency({});
  concurrency.setRate(5);
  CHECK(concurrency.limit() == 12);
  concurrency.onLoadDelayed(std::chrono::seconds(10));
  // Loads are not delayed during a pause.
  concurrency.onLoadDelayed(std::chrono::seconds(1000));
  CHECK(concurrency.limit() == 12);
  concurrency.setRate(10);
  CHECK(concurrency.limit() == 24);
}

} // namespace hemlockglade::test
