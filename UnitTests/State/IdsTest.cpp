#include "Hemlockglade/State/State.h"

#include <catch2/catch.hpp>

using namespace hemlockglade;

TEST_CASE("an adapter reference is parsed as a name and an optional version",
          "[ids]") {
  REQUIRE(AdapterRef::parse("oath-fr@7") == AdapterRef{"oath-fr", 7});
  REQUIRE(AdapterRef::parse("oath-fr") == AdapterRef{"oath-fr", 0});
  REQUIRE(AdapterRef{"oath-fr", 7}.text() == "oath-fr@7");
  REQUIRE_FALSE(AdapterRef::parse(""));
  REQUIRE_FALSE(AdapterRef::parse("@7"));
  REQUIRE_FALSE(AdapterRef::parse("oath@"));
  REQUIRE_FALSE(AdapterRef::parse("oath@0"));
  REQUIRE_FALSE(AdapterRef::parse("oath@7x"));
}
