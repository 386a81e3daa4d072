#include "Hemlockglade/Transport/Http1/RelayFields.h"

#include <catch2/catch.hpp>

namespace hemlockglade::test {

// A relay of a later version may state outcomes that this one does not know.
TEST_CASE(
    "an unknown outcome of a relay does not promise that nothing was sent",
    "[relay][late-answer]") {
  for (auto it : {"queued", "", "Busy", "busy "})
    CHECK(relay_outcome::known(it) == relay_outcome::Broken);
  for (auto it :
       {relay_outcome::Forwarded, relay_outcome::Broken,
        relay_outcome::NotConnected, relay_outcome::UnknownReplica,
        relay_outcome::CutOff, relay_outcome::Paused, relay_outcome::Busy})
    CHECK(relay_outcome::known(it) == it);
}

} // namespace hemlockglade::test
