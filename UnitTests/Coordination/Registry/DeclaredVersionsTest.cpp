#include "Hemlockglade/Coordination/Registry/DeclaredVersions.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace hemlockglade::test {

namespace {

using std::chrono::seconds;

const WeightsRef Adapter{"base", "a1"};
constexpr Span KeepFor = seconds(4);

} // namespace

TEST_CASE("a version counts as replaced since its own successor",
          "[registry][versions]") {
  DeclaredVersions it(KeepFor);
  CHECK_FALSE(it.replacedAt(Adapter, 1));
  CHECK(it.add({Adapter, 2, seconds(10)}));
  CHECK(it.add({Adapter, 3, seconds(12)}));
  CHECK(it.replacedAt(Adapter, 1) == Instant(seconds(10)));
  CHECK(it.replacedAt(Adapter, 2) == Instant(seconds(12)));
  CHECK_FALSE(it.replacedAt(Adapter, 3));
  CHECK(it.newest(Adapter) == 3);
}

TEST_CASE("a version that is added again keeps its time",
          "[registry][versions]") {
  DeclaredVersions it(KeepFor);
  it.add({Adapter, 2, seconds(10)});
  CHECK_FALSE(it.add({Adapter, 2, seconds(13)}));
  CHECK(it.replacedAt(Adapter, 1) == Instant(seconds(10)));
}

TEST_CASE(
    "a version between two known ones is replaced since the later of them",
    "[registry][versions]") {
  DeclaredVersions it(KeepFor);
  it.add({Adapter, 4, seconds(10)});
  CHECK(it.replacedAt(Adapter, 3) == Instant(seconds(10)));
  SECTION("also when it is declared after the later one") {
    CHECK(it.add({Adapter, 3, seconds(11)}));
    CHECK(it.replacedAt(Adapter, 3) == Instant(seconds(10)));
    CHECK(it.replacedAt(Adapter, 2) == Instant(seconds(10)));
    CHECK(it.newest(Adapter) == 4);
  }
}

TEST_CASE("a later declaration never extends a replaced version, in any order",
          "[registry][versions]") {
  rc::check([] {
    DeclaredVersions it(KeepFor);
    std::map<std::uint64_t, Instant> before;
    Instant now = seconds(100);
    for (int n = 0; n < 30; ++n) {
      auto version = *rc::gen::inRange<std::uint64_t>(2, 20);
      now += std::chrono::milliseconds(*rc::gen::inRange(0, 1500));
      it.add({Adapter, version, now});
      for (std::uint64_t held = 1; held < 20; ++held) {
        auto at = it.replacedAt(Adapter, held);
        RC_ASSERT(at.has_value() == (held < it.newest(Adapter)));
        auto known = before.find(held);
        // Times further back than `KeepFor` are not distinguished.
        if (known != before.end() && now - known->second < KeepFor)
          RC_ASSERT(*at <= known->second);
        else if (known != before.end())
          RC_ASSERT(now - *at >= KeepFor);
        if (at)
          before[held] = *at;
      }
    }
  });
}

} // namespace hemlockglade::test
