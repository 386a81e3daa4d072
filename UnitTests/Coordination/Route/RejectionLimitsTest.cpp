#include "Hemlockglade/Coordination/Route/ReplicaView.h"

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

  int sendAll(Instant at) {
    int n = 0;
    while (n < 100 && sends(at))
      ++n;
    return n;
  }

  const std::string Id = "i-1";
  RouteQuery Query;
  ReplicaView View{ReplicaView::Settings{}};
};

} // namespace

TEST_CASE("a replica that fails when it rejects much gets this node's share of "
          "its slots only",
          "[rejections]") {
  BrittleFixture it;
  SECTION("while it states that") {
    it.View.onRejectionLimit(it.Id, 4, Now);
    CHECK(it.sendAll(Now) == 2);
  }
  SECTION("as before once it states it no more") {
    it.View.onRejectionLimit(it.Id, 4, Now - seconds(2));
    it.View.onRejectionLimit(it.Id, std::nullopt, Now - seconds(1));
    CHECK(it.sendAll(Now) == 4);
  }
  SECTION("as before if the statement is old") {
    it.View.onRejectionLimit(it.Id, 4, Now - seconds(11));
    CHECK(it.sendAll(Now) == 4);
  }
}

TEST_CASE("rejections by a replica that fails from them stay below its limit "
          "over all nodes",
          "[rejections]") {
  BrittleFixture it;
  constexpr double PerSecond = 4;
  constexpr int Nodes = 3;
  it.View.onRejectionLimit(it.Id, PerSecond, Now);
  int rejected = 0;
  for (auto at = Now; at < Now + seconds(5); at += milliseconds(10)) {
    it.View.onRejectionLimit(it.Id, PerSecond, at);
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
