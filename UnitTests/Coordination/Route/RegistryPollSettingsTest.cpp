#include "Hemlockglade/Coordination/Registry/RegistryPollSettings.h"

#include <catch2/catch.hpp>

namespace hemlockglade::test {

using std::chrono::milliseconds;

// A poll that is never answered times out, and the next one is made, within
// each bound that depends on polls; so is the next one after an outage.
TEST_CASE("a lost poll takes less time than the bound that depends on it",
          "[registry]") {
  auto plan = GENERATE(milliseconds(100), milliseconds(500), milliseconds(2000),
                       milliseconds(12000));
  auto drain =
      GENERATE(milliseconds(100), milliseconds(2000), milliseconds(9000));
  INFO("bounds " << plan.count() << " and " << drain.count() << " ms");
  auto it = RegistryPollSettings::forBounds(plan, drain);
  auto shorter = std::min<Span>(plan, drain);
  CHECK(it.MaxOperatorWait + it.AnswerTimeout <= plan * 17 / 20);
  CHECK(it.ReplicaInterval + it.AnswerTimeout <= drain * 17 / 20);
  CHECK(it.AnswerTimeout + it.MaxRetryDelay <= shorter * 3 / 4);
  CHECK(it.RetryDelay <= it.MaxRetryDelay);
  CHECK(it.MaxOperatorWait > Span(0));
  CHECK(it.MaxUsableAge >= it.MaxReplicaAge);
  CHECK(it.MaxUsableAge <= drain * 17 / 20);
}

TEST_CASE("the default bounds give the default settings", "[registry]") {
  auto it =
      RegistryPollSettings::forBounds(milliseconds(2000), milliseconds(2000));
  RegistryPollSettings defaults;
  CHECK(it.MaxOperatorWait == defaults.MaxOperatorWait);
  CHECK(it.ReplicaInterval == defaults.ReplicaInterval);
  CHECK(it.AnswerTimeout == defaults.AnswerTimeout);
  CHECK(it.RetryDelay == defaults.RetryDelay);
  CHECK(it.MaxRetryDelay == defaults.MaxRetryDelay);
}

} // namespace hemlockglade::test
