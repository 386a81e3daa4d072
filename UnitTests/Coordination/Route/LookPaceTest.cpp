#include "Hemlockglade/Coordination/Registry/LookPace.h"

#include <catch2/catch.hpp>

namespace hemlockglade::test {

using std::chrono::milliseconds;

// A look that is never answered is known to be lost, and the next one made,
// inside each bound that rests on looks; so is the next one after an outage.
TEST_CASE("a look that is lost costs less than the bound that rests on it",
          "[registry]") {
  auto plan = GENERATE(milliseconds(100), milliseconds(500), milliseconds(2000),
                       milliseconds(12000));
  auto drain =
      GENERATE(milliseconds(100), milliseconds(2000), milliseconds(9000));
  INFO("bounds " << plan.count() << " and " << drain.count() << " ms");
  auto it = LookPace::within(plan, drain);
  auto shorter = std::min<Span>(plan, drain);
  CHECK(it.OperatorWait + it.Patience <= plan * 17 / 20);
  CHECK(it.ReplicaPeriod + it.Patience <= drain * 17 / 20);
  CHECK(it.Patience + it.LongestPause <= shorter * 3 / 4);
  CHECK(it.Pause <= it.LongestPause);
  CHECK(it.OperatorWait > Span(0));
}

TEST_CASE("the usual bounds give the pace that is the default", "[registry]") {
  auto it = LookPace::within(milliseconds(2000), milliseconds(2000));
  LookPace usual;
  CHECK(it.OperatorWait == usual.OperatorWait);
  CHECK(it.ReplicaPeriod == usual.ReplicaPeriod);
  CHECK(it.Patience == usual.Patience);
  CHECK(it.Pause == usual.Pause);
  CHECK(it.LongestPause == usual.LongestPause);
}

} // namespace hemlockglade::test
