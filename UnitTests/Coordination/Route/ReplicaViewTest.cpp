#include "Hemlockglade/Coordination/Route/ReplicaView.h"

#include <catch2/catch.hpp>

namespace hemlockglade::test {

namespace {

using Kind = RouteChoice::Kind;
using std::chrono::milliseconds;

const WeightsRef Adapter{"base", "a1"};

ReplicaRecord record(std::string id, std::string domain = "hall-a") {
  ReplicaRecord out;
  out.Incarnation = ReplicaIncarnation(std::move(id));
  out.Service = "drafts";
  out.Address = "10.0.0.1:80";
  out.FailureDomain = std::move(domain);
  out.Slots = 4;
  out.Held[Adapter] = 1;
  return out;
}

struct ViewFixture {
  ViewFixture()
      : View([] {
          ReplicaView::Settings out;
          out.FailureDomain = "hall-a";
          return out;
        }()) {
    EngineSpec engine;
    engine.Slots = 4;
    engine.MemoryTokens = 10000;
    ServiceSpec drafts{"drafts", "/", 10, engine};
    ServiceSpec plain{"plain", "/", 10, std::nullopt};
    View.setPlan(std::make_shared<const RoutePlan>(
        1, std::vector<Route>{}, std::vector{drafts, plain}, CallerLimits{}));
  }

  void present(std::vector<ReplicaRecord> records, bool whole = true) {
    View.onRegistry({whole, std::move(records), {}, 1}, false, Now);
  }

  RouteQuery query() const {
    RouteQuery out;
    out.Service = "drafts";
    out.Weights = Adapter;
    out.PromptTokens = 1000;
    out.OnTimeUntil = Now + std::chrono::seconds(1);
    out.Tokens = 1200;
    return out;
  }

  RouteChoice choose() { return View.choose(query(), Now); }

  Instant Now = std::chrono::seconds(1000);
  ReplicaView View;
};

} // namespace

TEST_CASE("a replica that leaves gets nothing new", "[view]") {
  ViewFixture it;
  it.present({record("i-1")});
  CHECK(it.choose().Result == Kind::Send);
  auto leaving = record("i-1");
  leaving.Draining = true;
  it.present({leaving}, false);
  CHECK(it.choose().Result == Kind::NoReplica);
  SECTION("also when a heartbeat from before comes late") {
    it.present({record("i-1")}, false);
    CHECK(it.choose().Result == Kind::NoReplica);
  }
}

TEST_CASE("an entry that is removed ends the use of its replica", "[view]") {
  ViewFixture it;
  it.present({record("i-1")});
  it.View.onRegistry({false, {}, {"i-1"}, 2}, false, it.Now);
  CHECK(it.choose().Result == Kind::NoReplica);
}

TEST_CASE("entries that vanish behind an outage are used for a while",
          "[view]") {
  ViewFixture it;
  it.present({record("i-1")});
  it.View.onRegistry({true, {}, {}, 2}, true, it.Now);
  CHECK(it.choose().Result == Kind::Send);
  it.Now += milliseconds(1900);
  it.View.removeExpired(it.Now);
  CHECK(it.choose().Result == Kind::NoReplica);
}

TEST_CASE("a replica that vanished is not used beyond its time", "[view]") {
  ViewFixture it;
  it.present({record("i-1")});
  it.View.onRegistry({true, {}, {}, 2}, true, it.Now);
  // Nothing but a choice looks at the time here.
  it.Now += milliseconds(1701);
  CHECK(it.choose().Result == Kind::NoReplica);
}

TEST_CASE("one entry that vanishes among many has not lapsed", "[view]") {
  ViewFixture it;
  it.present({record("i-1"), record("i-2"), record("i-3"), record("i-4")});
  it.View.onRegistry({false, {}, {"i-1"}, 2}, true, it.Now);
  it.View.onRunningElsewhere("i-2", 3, it.Now);
  it.View.onRunningElsewhere("i-3", 3, it.Now);
  it.View.onRunningElsewhere("i-4", 3, it.Now);
  CHECK(it.choose().Replica->Incarnation.text() != "i-1");
}

TEST_CASE("weights decide who can serve", "[view]") {
  ViewFixture it;
  auto other = record("i-1");
  other.Held.clear();
  it.present({other});
  CHECK(it.choose().Result == Kind::NotLoaded);
  it.View.onResidency("i-1", {{Adapter, {1, it.Now + milliseconds(200)}}},
                      it.Now);
  CHECK(it.choose().Result == Kind::AwaitLoad);
  it.Now += milliseconds(201);
  CHECK(it.choose().Result == Kind::Send);
  it.View.onResidency("i-1", {{Adapter, {1, it.Now, true}}}, it.Now);
  CHECK(it.choose().Result == Kind::NotLoaded);
}

TEST_CASE("an owner may tell of a replica before the registry does", "[view]") {
  ViewFixture it;
  it.View.onResidency("i-1", {{Adapter, {3, Instant{}}}}, it.Now);
  auto other = record("i-1");
  other.Held.clear();
  it.present({other});
  auto choice = it.choose();
  CHECK(choice.Result == Kind::Send);
  CHECK(choice.Version == 3);
}

TEST_CASE("an older version serves for a short time only", "[view]") {
  ViewFixture it;
  it.present({record("i-1")});
  it.View.onVersion({Adapter, 2, it.Now});
  CHECK(it.choose().Result == Kind::Send);
  it.Now += milliseconds(2600);
  CHECK(it.choose().Result == Kind::NotLoaded);
  it.View.onVersion({Adapter, 1, it.Now});
  CHECK(it.choose().Result == Kind::NotLoaded);
}

TEST_CASE("a near replica is preferred until it is fuller", "[view]") {
  ViewFixture it;
  it.present({record("i-far", "hall-b"), record("i-near")});
  CHECK(it.choose().Replica->Incarnation.text() == "i-near");
  it.View.onRunningElsewhere("i-near", 2, it.Now);
  auto choice = it.choose();
  CHECK(choice.Replica->Incarnation.text() == "i-far");
  CHECK(choice.Remote);
}

TEST_CASE("slots and memory bound what runs at an engine", "[view]") {
  ViewFixture it;
  it.present({record("i-1")});
  it.View.onRunningElsewhere("i-1", 4, it.Now);
  CHECK(it.choose().Result == Kind::Full);
  it.View.onRunningElsewhere("i-1", 0, it.Now);
  auto large = it.query();
  large.Tokens = 9000;
  it.View.onSent("i-1", large, it.Now);
  CHECK(it.choose().Result == Kind::Full);
}

TEST_CASE("a request waits while its engine reads prompts", "[view]") {
  ViewFixture it;
  it.present({record("i-1")});
  auto query = it.query();
  query.OnTimeUntil = it.Now + milliseconds(400);
  it.View.onSent("i-1", query, it.Now);
  auto choice = it.View.choose(query, it.Now);
  CHECK(choice.Result == Kind::AwaitPrefill);
  CHECK(choice.ReadyAt > it.Now);
  SECTION("until the prompts are nearly read") {
    CHECK(it.View.choose(query, choice.ReadyAt).Result == Kind::Send);
  }
  SECTION("a less urgent one a little longer") {
    auto other = query;
    other.Rank = 1;
    CHECK(it.View.choose(other, choice.ReadyAt).Result == Kind::AwaitPrefill);
  }
  SECTION("one that is late until the engine rests") {
    it.Now = query.OnTimeUntil;
    it.View.onSentElsewhere("i-1", 100, it.Now);
    auto late = it.View.choose(query, it.Now);
    CHECK(late.Result == Kind::AwaitPrefill);
    CHECK(it.View.choose(query, late.ReadyAt).Result == Kind::Send);
    auto fresh = it.query();
    fresh.OnTimeUntil = it.Now + milliseconds(400);
    CHECK(it.View.choose(fresh, it.Now).Result == Kind::Send);
  }
}

TEST_CASE("replicas that fail or stay silent are avoided", "[view]") {
  ViewFixture it;
  it.present({record("i-1"), record("i-2")});
  auto query = it.query();
  SECTION("bad answers") {
    for (int n = 0; n < 6; ++n) {
      auto attempt = it.View.onSent("i-1", query, it.Now);
      it.View.onEnd("i-1", attempt, query, AttemptVerdict::NoValidAnswer,
                    it.Now);
    }
  }
  SECTION("no answer") {
    it.View.onSent("i-1", query, it.Now);
    it.Now += std::chrono::seconds(3);
  }
  CHECK(it.choose().Replica->Incarnation.text() == "i-2");
}

TEST_CASE("failures of their own count against the usual ones", "[view]") {
  ViewFixture it;
  it.present({record("i-1"), record("i-2")});
  auto query = it.query();
  auto fail = [&](const std::string &id) {
    auto attempt = it.View.onSent(id, query, it.Now);
    it.View.onEnd(id, attempt, query, AttemptVerdict::ReplicaError, it.Now);
  };
  for (int n = 0; n < 6; ++n)
    fail("i-1");
  CHECK(it.View.isSuspect("i-1", it.Now));
  for (int n = 0; n < 6; ++n)
    fail("i-2");
  CHECK_FALSE(it.View.isSuspect("i-1", it.Now));
}

TEST_CASE("weights that should just be ready are taken to be late", "[view]") {
  ViewFixture it;
  it.present({record("i-1")});
  it.View.onResidency("i-1", {{Adapter, {1, it.Now}}}, it.Now);
  it.View.onWeightsRefused("i-1", Adapter, true, it.Now);
  CHECK(it.choose().Result == Kind::AwaitLoad);
  it.View.onResidency("i-1", {{Adapter, {1, Instant{}}}}, it.Now);
  it.View.onWeightsRefused("i-1", Adapter, true, it.Now);
  CHECK(it.choose().Result == Kind::NotLoaded);
}

TEST_CASE("refusals in a row do not put off that weights are missing",
          "[view]") {
  ViewFixture it;
  it.present({record("i-1")});
  it.View.onResidency("i-1", {{Adapter, {1, it.Now}}}, it.Now);
  for (Span gone{0}; gone < milliseconds(1200); gone += milliseconds(40)) {
    it.Now += milliseconds(40);
    it.View.onWeightsRefused("i-1", Adapter, true, it.Now);
  }
  CHECK(it.choose().Result == Kind::NotLoaded);
  // What its owner tells later counts from then.
  it.View.onResidency("i-1", {{Adapter, {1, it.Now}}}, it.Now);
  it.View.onWeightsRefused("i-1", Adapter, true, it.Now);
  CHECK(it.choose().Result == Kind::AwaitLoad);
}

TEST_CASE("entries that vanish again behind an outage get no new time",
          "[view]") {
  ViewFixture it;
  it.present({record("i-1")});
  for (std::uint64_t look = 2; look < 12; ++look) {
    it.View.onRegistry({true, {}, {}, look}, true, it.Now);
    it.Now += milliseconds(200);
    it.View.removeExpired(it.Now);
  }
  CHECK(it.choose().Result == Kind::NoReplica);
}

TEST_CASE("a replica that is told to leave again and again gets no new work",
          "[view]") {
  ViewFixture it;
  it.present({record("i-1")});
  auto leaving = record("i-1");
  leaving.Draining = true;
  for (int round = 0; round < 10; ++round) {
    it.present({leaving}, false);
    CHECK(it.choose().Result == Kind::NoReplica);
    it.Now += milliseconds(500);
    it.present({record("i-1")}, false);
    CHECK(it.choose().Result == Kind::NoReplica);
  }
}

TEST_CASE("the speed of reading is learnt from first events", "[view]") {
  PrefillSpeed speed;
  CHECK(speed.usPerToken() == Approx(50));
  for (int n = 1; n <= 40; ++n) {
    auto tokens = static_cast<std::uint32_t>(100 * (n % 10 + 1));
    speed.add(tokens, Span(18000 + 30 * std::int64_t{tokens}));
  }
  CHECK(speed.usPerToken() == Approx(30).epsilon(0.02));
}

namespace {

/// The same replica as it says of itself after a start at another time.
ReplicaRecord startedAt(std::uint64_t ms) {
  auto out = record("i-1");
  out.Incarnation = ReplicaIncarnation("i-1", ms);
  return out;
}

} // namespace

TEST_CASE("a replica that starts again under its id knows nothing of before",
          "[view][life]") {
  ViewFixture it;
  it.present({startedAt(1000)});
  auto query = it.query();
  query.PromptParts = {7};
  query.SharedTokens = 500;
  it.View.onSent("i-1#1000", query, it.Now);
  it.View.onResidency("i-1#1000", {{Adapter, {1, it.Now}}}, it.Now);
  CHECK(it.View.tokensToRead("i-1#1000", query) == 500);
  auto next = startedAt(2000);
  next.Held.clear();
  auto ended = it.View.onRegistry({false, {next}, {}, 2}, false, it.Now);
  REQUIRE(ended.size() == 1);
  CHECK(ended[0]->Incarnation.text() == "i-1#1000");
  CHECK(it.choose().Result == Kind::NotLoaded);
  CHECK(it.View.tokensToRead("i-1#2000", query) == 1000);
  CHECK(it.View.replicasIn("hall-a").size() == 1);
  CHECK(it.View.replicasIn("hall-a")[0]->Incarnation.text() == "i-1#2000");
  // The request that was under way there ends at its own start.
  it.View.onEnd("i-1#1000", 1, query, AttemptVerdict::NoValidAnswer, it.Now);
  CHECK(it.View.ownRunning("hall-a").empty());
}

TEST_CASE("a heartbeat of an earlier start changes nothing", "[view][life]") {
  ViewFixture it;
  it.present({startedAt(2000)});
  auto old = startedAt(1000);
  old.Draining = true;
  CHECK(it.View.onRegistry({false, {old}, {}, 2}, false, it.Now).empty());
  CHECK(it.choose().Replica->Incarnation.text() == "i-1#2000");
  SECTION("nor does one that does not tell its start") {
    old.Incarnation = ReplicaIncarnation("i-1");
    it.present({old}, false);
    CHECK(it.choose().Replica->Incarnation.text() == "i-1#2000");
  }
}

TEST_CASE("a replica that left in one life serves in the next",
          "[view][life]") {
  ViewFixture it;
  auto leaving = startedAt(1000);
  leaving.Draining = true;
  it.present({leaving});
  CHECK(it.choose().Result == Kind::NoReplica);
  it.present({startedAt(2000)}, false);
  CHECK(it.choose().Replica->Incarnation.text() == "i-1#2000");
  it.View.onRegistry({false, {}, {"i-1"}, 3}, false, it.Now);
  CHECK(it.choose().Result == Kind::NoReplica);
}

TEST_CASE("an owner may tell of a new start before the registry does",
          "[view][life]") {
  ViewFixture it;
  it.present({startedAt(1000)});
  it.View.onResidency("i-1#2000", {}, it.Now);
  CHECK(it.choose().Replica->Incarnation.text() == "i-1#1000");
  it.present({startedAt(2000)}, false);
  CHECK(it.choose().Result == Kind::NotLoaded);
  it.View.onResidency("i-1#1000", {{Adapter, {1, it.Now}}}, it.Now);
  CHECK(it.choose().Result == Kind::NotLoaded);
}

TEST_CASE("what lies under a replica's id but is no entry changes nothing",
          "[view][life]") {
  ViewFixture it;
  it.present({record("i-1")});
  it.View.onRegistry({true, {}, {}, 2, {"i-1"}}, false, it.Now);
  CHECK(it.choose().Result == Kind::Send);
}

TEST_CASE("a request on weights that were replaced is told by when to begin",
          "[view]") {
  ViewFixture it;
  it.present({record("i-1")});
  CHECK_FALSE(it.choose().MustBeginBy);
  it.View.onVersion({Adapter, 2, it.Now});
  auto named = it.Now;
  it.Now += milliseconds(2000);
  REQUIRE(it.choose().Result == Kind::Send);
  CHECK(it.choose().MustBeginBy == named + milliseconds(4200));
  it.Now += milliseconds(600);
  CHECK(it.choose().Result == Kind::NotLoaded);
}

TEST_CASE("a name that follows another gives a replaced version no new time",
          "[view]") {
  ViewFixture it;
  it.present({record("i-1")});
  it.View.onVersion({Adapter, 2, it.Now});
  auto named = it.Now;
  it.Now += milliseconds(2000);
  it.View.onVersion({Adapter, 3, it.Now});
  REQUIRE(it.choose().Result == Kind::Send);
  CHECK(it.choose().MustBeginBy == named + milliseconds(4200));
  it.Now += milliseconds(600);
  CHECK(it.choose().Result == Kind::NotLoaded);
}

TEST_CASE("a replaced copy that was out of use stays so when a newer version "
          "is named",
          "[view]") {
  ViewFixture it;
  it.present({record("i-1")});
  it.View.onVersion({Adapter, 2, it.Now});
  it.Now += std::chrono::seconds(14);
  it.View.onVersion({Adapter, 3, it.Now});
  CHECK(it.choose().Result == Kind::NotLoaded);
}

TEST_CASE("a replica whose entry has gone is known to leave", "[view]") {
  ViewFixture it;
  it.present({record("i-1")});
  CHECK_FALSE(it.View.isDraining("i-1"));
  it.View.onRegistry({false, {}, {"i-1"}, 3}, false, it.Now);
  CHECK(it.View.isDraining("i-1"));
}

TEST_CASE("an idle engine farther away is better than one that reads long",
          "[view]") {
  ViewFixture it;
  auto far = record("i-far", "hall-b");
  it.present({record("i-near"), far});
  REQUIRE(it.choose().Replica->Incarnation.text() == "i-near");
  // 40 ms of other nodes' prompts: the near engine is not worth that wait.
  it.View.onSentElsewhere("i-near", 800, it.Now);
  auto choice = it.choose();
  CHECK(choice.Result == Kind::Send);
  CHECK(choice.Replica->Incarnation.text() == "i-far");
}

} // namespace hemlockglade::test
