#include "Hemlockglade/Coordination/Registry/RegistryPollSettings.h"

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
  auto it = RegistryPollSettings::forBounds(plan, drain);
  auto shorter = std::min<Span>(plan, drain);
  CHECK(it.MaxOperatorWait + it.AnswerTimeout <= plan * 17 / 20);
  CHECK(it.ReplicaPeriod + it.AnswerTimeout <= drain * 17 / 20);
  CHECK(it.AnswerTimeout + it.MaxRetryPause <= shorter * 3 / 4);
  CHECK(it.RetryPause <= it.MaxRetryPause);
  CHECK(it.MaxOperatorWait > Span(0));
}

TEST_CASE("the usual bounds give the pace that is the default", "[registry]") {
  auto it =
      RegistryPollSettings::forBounds(milliseconds(2000), milliseconds(2000));
  RegistryPollSettings usual;
  CHECK(it.MaxOperatorWait == usual.MaxOperatorWait);
  CHECK(it.ReplicaPeriod == usual.ReplicaPeriod);
  CHECK(it.AnswerTimeout == usual.AnswerTimeout);
  CHECK(it.RetryPause == usual.RetryPause);
  CHECK(it.MaxRetryPause == usual.MaxRetryPause);
}

} // namespace hemlockglade::test
