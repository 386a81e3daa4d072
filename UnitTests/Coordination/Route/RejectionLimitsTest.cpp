#include "Hemlockglade/Coordination/Route/ReplicaView.h"
#include "Hemlockglade/Coordination/RowText.h"

#include <catch2/catch.hpp>

namespace hemlockglade::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant Now = seconds(1000);
constexpr std::uint32_t Slots = 6;

/// A plain service with one replica, of which this node has a third of the
/// traffic.
struct BrittleFixture {
  BrittleFixture() {
    View.setPlan(std::make_shared<const RoutePlan>(
        1, std::vector<Route>{},
        std::vector{ServiceSpec{"plain", "/", 10, std::nullopt}},
        CallerLimits{}));
    View.setTrafficShare(1.0 / 3);
    ReplicaRecord record;
    record.Incarnation = ReplicaIncarnation(Id);
    record.Service = Query.Service = "plain";
    record.Slots = Slots;
    View.onRegistry({true, {record}, {}, 1}, false, Now);
  }

  bool sends(Instant at) {
    bool out = View.choose(Query, at).Result == RouteChoice::Kind::Send;
    if (out)
      View.onSent(Id, Query, at);
    return out;
  }

  void state(std::optional<double> perSecond, Instant at) {
    View.onRejectionLimit({digestOf("plain"), perSecond, at});
  }

  const std::string Id = "i-1";
  RouteQuery Query;
  ReplicaView View{ReplicaView::Settings{}};
};

} // namespace

TEST_CASE("a request to a replica that fails from rejections needs a place",
          "[rejections]") {
  BrittleFixture it;
  auto need = [&it] { return it.View.choose(it.Query, Now).Place; };
  CHECK_FALSE(need());
  SECTION("while it states that") {
    it.state(4, Now);
    REQUIRE(need());
    // One of six slots is left for connections that begin.
    CHECK(need()->Places == Slots - 1);
    CHECK(need()->Needed == 1);
    CHECK(need()->RejectionsPerSecond == 4);
  }
  SECTION("none once it states it no more") {
    it.state(4, Now - seconds(2));
    it.state(std::nullopt, Now - seconds(1));
    CHECK_FALSE(need());
  }
  SECTION("also if only an older answer states nothing") {
    it.state(4, Now - seconds(1));
    it.state(std::nullopt, Now - seconds(2));
    CHECK(need());
  }
}

TEST_CASE("a large request to an engine that fails from rejections needs "
          "several places",
          "[rejections]") {
  BrittleFixture it;
  EngineSpec engine;
  engine.Slots = 10;
  engine.MemoryTokens = 1000;
  it.View.setPlan(std::make_shared<const RoutePlan>(
      2, std::vector<Route>{},
      std::vector{ServiceSpec{"plain", "/", 10, engine}}, CallerLimits{}));
  it.state(4, Now);
  it.Query.Tokens = 20;
  REQUIRE(it.View.placeNeed(it.Id, it.Query));
  CHECK(it.View.placeNeed(it.Id, it.Query)->Needed == 1);
  it.Query.Tokens = 460;
  // Half of the 920 tokens that are used take half of the nine places.
  CHECK(it.View.placeNeed(it.Id, it.Query)->Needed == Approx(4.5));
}

TEST_CASE("limits on rejections survive in the notes of a row",
          "[rejections]") {
  BrittleFixture it;
  it.state(2.5, Now);
  auto notes = "x!1;" + it.View.rejectionLimits().notes(Now + seconds(1)) +
               "rejections!zz!1!1;rejections!1!1";
  auto later = seconds(5000);
  auto read = RejectionLimits::parseNotes(notes, later);
  REQUIRE(read.size() == 1);
  CHECK(read[0].Service == digestOf("plain"));
  CHECK(read[0].PerSecond == 2.5);
  CHECK(read[0].StatedAt == later - seconds(1));
}

TEST_CASE("only changes of limits on rejections are told", "[rejections]") {
  BrittleFixture it;
  it.state(2, Now);
  const auto &limits = it.View.rejectionLimits();
  auto revision = limits.revision();
  CHECK(limits.since(0).size() == 1);
  it.state(2, Now + seconds(1));
  CHECK(limits.revision() == revision);
  it.state(std::nullopt, Now + seconds(2));
  REQUIRE(limits.since(revision).size() == 1);
  CHECK_FALSE(limits.since(revision)[0].PerSecond);
}

TEST_CASE("rejections by a replica that fails from them stay below its limit "
          "over all nodes",
          "[rejections]") {
  BrittleFixture it;
  constexpr double PerSecond = 4;
  constexpr int Nodes = 3;
  it.state(PerSecond, Now);
  int rejected = 0;
  for (auto at = Now; at < Now + seconds(5); at += milliseconds(10)) {
    if (!it.sends(at))
      continue;
    ++rejected;
    it.View.onEnd(it.Id, static_cast<std::uint64_t>(rejected), it.Query,
                  AttemptVerdict::Shed, at);
    it.View.onRejected(it.Id, at);
  }
  CHECK(rejected > 0);
  CHECK(Nodes * rejected <= 5 * PerSecond);
}

} // namespace hemlockglade::test
