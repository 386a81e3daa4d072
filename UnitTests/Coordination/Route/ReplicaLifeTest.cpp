#include "Hemlockglade/Coordination/Route/ReplicaView.h"

#include <catch2/catch.hpp>
#include <ctime>

namespace hemlockglade::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

ReplicaRecord plainReplica(std::string id) {
  ReplicaRecord out;
  out.Incarnation = ReplicaIncarnation(std::move(id));
  out.Service = "plain";
  out.Address = "10.0.0.1:80";
  out.FailureDomain = "hall-a";
  out.Slots = 4;
  return out;
}

/// A view of one replica, which the registry lists at position 1.
struct LifeFixture {
  LifeFixture() {
    ServiceSpec plain{"plain", "/", 10, std::nullopt};
    View.setPlan(std::make_shared<const RoutePlan>(
        1, std::vector<Route>{}, std::vector{plain}, CallerLimits{}));
    list(1);
  }

  void list(std::uint64_t position, bool draining = false) {
    auto record = plainReplica("i-1");
    record.Draining = draining;
    View.onRegistry({false, {record}, {}, position}, false, Now);
  }
  void remove(std::uint64_t position, bool inOutage = false) {
    View.onRegistry({false, {}, {"i-1"}, position}, inOutage, Now);
  }
  void pass(Span span) {
    Now += span;
    View.removeExpired(Now);
  }
  bool isUsed() {
    RouteQuery query;
    query.Service = "plain";
    query.OnTimeUntil = Now + seconds(1);
    return View.choose(query, Now).Result == RouteChoice::Kind::Send;
  }

  Instant Now = seconds(1000);
  ReplicaView View{ReplicaView::Settings{}};
};

} // namespace

// A replica that was cut off from the registry was never used again, by any
// node, though it was back under the same id.
TEST_CASE("a replica whose entry was removed is used once it is registered "
          "again",
          "[view][returns]") {
  LifeFixture it;
  enum class How : std::uint8_t { Removed, FromList, Missing, Twice };
  auto how = GENERATE(How::Removed, How::FromList, How::Missing, How::Twice);
  switch (how) {
  case How::Removed:
    it.remove(2);
    break;
  case How::FromList:
    it.View.onRegistry({true, {}, {}, 2}, false, it.Now);
    break;
  case How::Missing:
    it.remove(2, true);
    it.pass(milliseconds(1700));
    break;
  case How::Twice:
    it.remove(2);
    it.list(3);
    REQUIRE(it.isUsed());
    it.remove(4);
    break;
  }
  REQUIRE_FALSE(it.isUsed());
  CHECK(it.View.isDraining("i-1"));
  // Soon, or after it was forgotten.
  it.pass(GENERATE(seconds(1), seconds(11)));
  it.list(5);
  CHECK(it.isUsed());
  CHECK_FALSE(it.View.isDraining("i-1"));
  CHECK_FALSE(it.View.hasPendingRemoval());
}

TEST_CASE("an entry that is older than its removal brings no replica back",
          "[view][returns]") {
  LifeFixture it;
  it.remove(7);
  it.list(5);
  CHECK_FALSE(it.isUsed());
  it.pass(seconds(11));
  CHECK(it.View.size() == 0);
}

// The replica's own word is no conclusion that a later entry could refute.
TEST_CASE("a replica that has said that it leaves is not used when its entry "
          "returns",
          "[view][returns]") {
  LifeFixture it;
  SECTION("in its entry") { it.list(2, true); }
  SECTION("in an entry that is read after its removal") {
    it.remove(3);
    it.list(2, true);
  }
  SECTION("in an answer") { it.View.onLeaving("i-1", it.Now); }
  it.remove(4);
  it.pass(seconds(1));
  it.list(5);
  CHECK_FALSE(it.isUsed());
  it.pass(seconds(11));
  CHECK_FALSE(it.isUsed());
}

TEST_CASE("a replica whose address another one has taken is used once it is "
          "registered anew",
          "[view][returns]") {
  LifeFixture it;
  it.View.onRestarted("i-1");
  it.list(2);
  CHECK_FALSE(it.isUsed());
  it.remove(3);
  it.list(4);
  CHECK(it.isUsed());
}

TEST_CASE("changes of a replica's phase are reported once each",
          "[view][returns]") {
  LifeFixture it;
  std::string phases;
  it.View.setOnPhase([&phases](const auto &replica, auto before, auto now) {
    CHECK(replica.Incarnation.id() == "i-1");
    phases.append(replicaPhaseName(before)).append(">");
    phases.append(replicaPhaseName(now)).append(" ");
  });
  it.remove(2, true);
  it.pass(milliseconds(1700));
  it.list(3);
  it.list(4);
  it.remove(5);
  it.list(6, true);
  CHECK(phases == "listed>missing missing>removed removed>listed "
                  "listed>removed removed>leaving ");
  CHECK(it.View.phaseCounts().at(ReplicaPhase::Leaving) == 1);
}

// Every sequence of six events, against the rules and not the phases.
TEST_CASE("no sequence of events keeps a registered replica unused, or a "
          "leaving one in use",
          "[view][returns]") {
  enum class Event : std::uint8_t {
    Entry,
    OldEntry,
    DrainingEntry,
    LeavingAnswer,
    Removal,
    ExpiryInOutage,
    Second,
  };
  constexpr std::size_t Kinds = 7;
  constexpr std::size_t Length = 6;
  std::size_t sequences = 1;
  for (std::size_t n = 0; n < Length; ++n)
    sequences *= Kinds;
  std::size_t wrong = 0;
  for (std::size_t sequence = 0; sequence < sequences; ++sequence) {
    LifeFixture it;
    bool hasLeft = false;
    bool isListed = true;
    std::optional<Instant> graceUntil;
    std::uint64_t position = 1;
    std::uint64_t removedAt = 0;
    auto left = sequence;
    for (std::size_t n = 0; n < Length; ++n, left /= Kinds) {
      switch (static_cast<Event>(left % Kinds)) {
      case Event::DrainingEntry:
        hasLeft = true;
        [[fallthrough]];
      case Event::Entry:
        it.list(++position, hasLeft);
        isListed = true;
        graceUntil.reset();
        break;
      case Event::OldEntry:
        if (removedAt > 1)
          it.list(removedAt - 1);
        break;
      case Event::LeavingAnswer:
        it.View.onLeaving("i-1", it.Now);
        hasLeft = true;
        break;
      case Event::Removal:
        it.remove(removedAt = ++position);
        isListed = false;
        graceUntil.reset();
        break;
      case Event::ExpiryInOutage:
        it.remove(removedAt = ++position, true);
        if (isListed)
          graceUntil = it.Now + milliseconds(1700);
        isListed = false;
        break;
      case Event::Second:
        it.pass(seconds(1));
        break;
      }
      bool isInGrace = graceUntil && it.Now < *graceUntil;
      bool mayBeUsed = !hasLeft && (isListed || isInGrace);
      wrong += it.isUsed() != mayBeUsed ? 1 : 0;
    }
  }
  CHECK(wrong == 0);
}

// 12,000 replicas come back at once, as after an outage of the registry.
TEST_CASE("entries that return together are applied in one pass",
          "[view][returns]") {
  constexpr int Replicas = 12'000;
  ReplicaChanges all;
  all.Position = 1;
  for (int n = 0; n < Replicas; ++n)
    all.Present.push_back(plainReplica("i-" + std::to_string(n)));
  ReplicaView view{ReplicaView::Settings{}};
  Instant now = seconds(1000);
  auto cpuSeconds = [&](const ReplicaChanges &changes) {
    auto before = std::clock();
    view.onRegistry(changes, false, now);
    return static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC;
  };
  cpuSeconds(all);
  ReplicaChanges gone;
  gone.Complete = true;
  gone.Position = 2;
  cpuSeconds(gone);
  // Soon, or after they were forgotten.
  now += GENERATE(seconds(2), seconds(12));
  view.removeExpired(now);
  all.Position = 3;
  auto took = cpuSeconds(all);
  WARN("12,000 entries returned in " << took << " s of processor time");
  CHECK(view.inUse().size() == Replicas);
  // A pass over all replicas for each entry takes several seconds.
  CHECK(took < 1);
}

} // namespace hemlockglade::test
