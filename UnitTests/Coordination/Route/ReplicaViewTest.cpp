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

  void present(std::vector<ReplicaRecord> records, bool complete = true) {
    View.onRegistry({complete, std::move(records), {}, 1}, false, Now);
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

TEST_CASE("a draining replica gets no new requests", "[view]") {
  ViewFixture it;
  it.present({record("i-1")});
  CHECK(it.choose().Result == Kind::Send);
  auto draining = record("i-1");
  draining.Draining = true;
  it.present({draining}, false);
  CHECK(it.choose().Result == Kind::NoReplica);
  SECTION("also when a heartbeat from before is received late") {
    it.present({record("i-1")}, false);
    CHECK(it.choose().Result == Kind::NoReplica);
  }
}

TEST_CASE("a replica that states a limit serves only what others can't",
          "[view]") {
  ViewFixture it;
  it.present({record("i-1"), record("i-2", "hall-b")});
  REQUIRE(it.choose().Replica->Incarnation.text() == "i-1");
  CHECK(it.View.onLimit("i-1", 1.5, it.Now));
  CHECK(it.choose().Replica->Incarnation.text() == "i-2");
  for (int n = 0; n < 4; ++n)
    it.View.onSent("i-2", it.query(), it.Now);
  auto choice = it.choose();
  CHECK(choice.Replica->Incarnation.text() == "i-1");
  CHECK(choice.RequestLimit == 1.5);
}

TEST_CASE("a replica that stated its limit long ago is tried again", "[view]") {
  ViewFixture it;
  it.present({record("i-1"), record("i-2", "hall-b")});
  it.View.onLimit("i-1", 1.5, it.Now);
  it.Now += milliseconds(2001);
  auto choice = it.choose();
  CHECK(choice.Replica->Incarnation.text() == "i-1");
  CHECK(choice.RequestLimit == 1.5);
}

TEST_CASE("an answer from before a limit was stated doesn't end it", "[view]") {
  ViewFixture it;
  it.present({record("i-1")});
  it.View.onLimit("i-1", 1.5, it.Now);
  CHECK_FALSE(it.View.onLimit("i-1", std::nullopt, it.Now - milliseconds(1)));
  CHECK(it.View.limitOf("i-1") == 1.5);
  CHECK(it.View.onLimit("i-1", std::nullopt, it.Now + milliseconds(1)));
  CHECK_FALSE(it.View.limitOf("i-1"));
}

TEST_CASE("the next life of a replica has no limit until it states one",
          "[view]") {
  ViewFixture it;
  auto born = [](std::uint64_t at) {
    auto out = record("i-1");
    out.Incarnation = ReplicaIncarnation("i-1", at);
    return out;
  };
  it.present({born(1)});
  it.View.onLimit(born(1).Incarnation.text(), 1.5, it.Now);
  it.present({born(2)});
  CHECK_FALSE(it.choose().RequestLimit);
}

TEST_CASE("only requests that needed no grant are reported to be counted",
          "[view]") {
  ViewFixture it;
  it.present({record("i-1")});
  it.View.onSent("i-1", it.query(), it.Now);
  it.Now += milliseconds(300);
  it.View.onLimit("i-1", 1.5, it.Now);
  it.View.onSent("i-1", it.query(), it.Now);
  CHECK(it.View.sentAgo("i-1", it.Now) == std::vector<Span>{milliseconds(300)});
  CHECK(it.View.sentAgo("i-1", it.Now + milliseconds(3700)).empty());
}

TEST_CASE("a request waits for its grant only where all replicas are limited",
          "[view]") {
  ViewFixture it;
  it.present({record("i-1"), record("i-2")});
  auto query = it.query();
  query.LimitedUntil["i-1"] = it.Now + milliseconds(700);
  CHECK(it.View.choose(query, it.Now).Replica->Incarnation.text() == "i-2");
  query.LimitedUntil["i-2"] = it.Now + milliseconds(300);
  auto choice = it.View.choose(query, it.Now);
  CHECK(choice.Result == Kind::Limited);
  CHECK(choice.ReadyAt == it.Now + milliseconds(300));
  CHECK(it.View.choose(query, it.Now + milliseconds(300)).Result == Kind::Send);
}

TEST_CASE("a replica whose entry is removed gets no new requests", "[view]") {
  ViewFixture it;
  it.present({record("i-1")});
  it.View.onRegistry({false, {}, {"i-1"}, 2}, false, it.Now);
  CHECK(it.choose().Result == Kind::NoReplica);
}

TEST_CASE("replicas whose entries disappear in an outage are used for a while",
          "[view]") {
  ViewFixture it;
  it.present({record("i-1")});
  it.View.onRegistry({true, {}, {}, 2}, true, it.Now);
  CHECK(it.choose().Result == Kind::Send);
  it.Now += milliseconds(1900);
  it.View.removeExpired(it.Now);
  CHECK(it.choose().Result == Kind::NoReplica);
}

TEST_CASE(
    "a replica whose entry disappeared is not used after the grace period",
    "[view]") {
  ViewFixture it;
  it.present({record("i-1")});
  it.View.onRegistry({true, {}, {}, 2}, true, it.Now);
  // Only `choose` checks the time here; `removeExpired` is not called.
  it.Now += milliseconds(1701);
  CHECK(it.choose().Result == Kind::NoReplica);
}

TEST_CASE("the grace for expired entries counts from when a young list was "
          "confirmed",
          "[view]") {
  ViewFixture it;
  it.present({record("i-1")});
  auto [age, usedFor] = GENERATE(table<milliseconds, milliseconds>(
      {{milliseconds(1200), milliseconds(500)},
       // The registry did not answer for longer than the grace.
       {milliseconds(9000), milliseconds(1700)}}));
  it.View.onRegistry({false, {}, {"i-1"}, 2}, true, it.Now, age);
  it.Now += usedFor - milliseconds(1);
  CHECK(it.choose().Result == Kind::Send);
  it.Now += milliseconds(1);
  CHECK(it.choose().Result == Kind::NoReplica);
}

TEST_CASE("one entry of many that disappears counts as removed, not expired",
          "[view]") {
  ViewFixture it;
  it.present({record("i-1"), record("i-2"), record("i-3"), record("i-4")});
  it.View.onRegistry({false, {}, {"i-1"}, 2}, true, it.Now);
  it.View.onRunningElsewhere("i-2", 3, it.Now);
  it.View.onRunningElsewhere("i-3", 3, it.Now);
  it.View.onRunningElsewhere("i-4", 3, it.Now);
  CHECK(it.choose().Replica->Incarnation.text() != "i-1");
}

TEST_CASE("only replicas that have the weights are chosen", "[view]") {
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

TEST_CASE("residency that is received before the registry entry is applied",
          "[view]") {
  ViewFixture it;
  it.View.onResidency("i-1", {{Adapter, {3, Instant{}}}}, it.Now);
  auto other = record("i-1");
  other.Held.clear();
  it.present({other});
  auto choice = it.choose();
  CHECK(choice.Result == Kind::Send);
  CHECK(choice.Version == 3);
}

TEST_CASE("a replaced version is used for the grace period only", "[view]") {
  ViewFixture it;
  it.present({record("i-1")});
  it.View.onVersion({Adapter, 2, it.Now});
  CHECK(it.choose().Result == Kind::Send);
  it.Now += milliseconds(2600);
  CHECK(it.choose().Result == Kind::NotLoaded);
  it.View.onVersion({Adapter, 1, it.Now});
  CHECK(it.choose().Result == Kind::NotLoaded);
}

TEST_CASE("a near replica is preferred unless its load is higher", "[view]") {
  ViewFixture it;
  it.present({record("i-far", "hall-b"), record("i-near")});
  CHECK(it.choose().Replica->Incarnation.text() == "i-near");
  it.View.onRunningElsewhere("i-near", 2, it.Now);
  auto choice = it.choose();
  CHECK(choice.Replica->Incarnation.text() == "i-far");
  CHECK(choice.Remote);
}

TEST_CASE("an engine's running requests are limited by its slots and memory",
          "[view]") {
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

TEST_CASE("a request waits for the prefill backlog of its engine", "[view]") {
  ViewFixture it;
  it.present({record("i-1")});
  auto query = it.query();
  query.OnTimeUntil = it.Now + milliseconds(400);
  it.View.onSent("i-1", query, it.Now);
  auto choice = it.View.choose(query, it.Now);
  CHECK(choice.Result == Kind::AwaitPrefill);
  CHECK(choice.ReadyAt > it.Now);
  SECTION("until the backlog is small enough") {
    CHECK(it.View.choose(query, choice.ReadyAt).Result == Kind::Send);
  }
  SECTION("longer if it is less urgent") {
    auto other = query;
    other.Rank = 1;
    CHECK(it.View.choose(other, choice.ReadyAt).Result == Kind::AwaitPrefill);
  }
  SECTION("until the engine has been idle if it is late") {
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

TEST_CASE("replicas that fail or do not answer are avoided", "[view]") {
  ViewFixture it;
  it.present({record("i-1"), record("i-2")});
  auto query = it.query();
  SECTION("no valid answer") {
    for (int n = 0; n < 6; ++n) {
      auto attempt = it.View.onSent("i-1", query, it.Now);
      it.View.onEnd("i-1", attempt, query, AttemptVerdict::NoValidAnswer,
                    it.Now);
    }
  }
  SECTION("overdue answer") {
    it.View.onSent("i-1", query, it.Now);
    it.Now += std::chrono::seconds(3);
  }
  CHECK(it.choose().Replica->Incarnation.text() == "i-2");
}

TEST_CASE("a replica is suspect only if it has more errors than the others",
          "[view]") {
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

TEST_CASE("weights that were due a moment ago count as late, not missing",
          "[view]") {
  ViewFixture it;
  it.present({record("i-1")});
  it.View.onResidency("i-1", {{Adapter, {1, it.Now}}}, it.Now);
  it.View.onWeightsRefused("i-1", Adapter, true, it.Now);
  CHECK(it.choose().Result == Kind::AwaitLoad);
  it.View.onResidency("i-1", {{Adapter, {1, Instant{}}}}, it.Now);
  it.View.onWeightsRefused("i-1", Adapter, true, it.Now);
  CHECK(it.choose().Result == Kind::NotLoaded);
}

TEST_CASE("repeated rejections do not postpone when weights count as missing",
          "[view]") {
  ViewFixture it;
  it.present({record("i-1")});
  it.View.onResidency("i-1", {{Adapter, {1, it.Now}}}, it.Now);
  for (Span elapsed{0}; elapsed < milliseconds(1200);
       elapsed += milliseconds(40)) {
    it.Now += milliseconds(40);
    it.View.onWeightsRefused("i-1", Adapter, true, it.Now);
  }
  CHECK(it.choose().Result == Kind::NotLoaded);
  // A later report of the owner starts a new delay.
  it.View.onResidency("i-1", {{Adapter, {1, it.Now}}}, it.Now);
  it.View.onWeightsRefused("i-1", Adapter, true, it.Now);
  CHECK(it.choose().Result == Kind::AwaitLoad);
}

TEST_CASE("entries that stay missing in an outage get no longer grace period",
          "[view]") {
  ViewFixture it;
  it.present({record("i-1")});
  for (std::uint64_t poll = 2; poll < 12; ++poll) {
    it.View.onRegistry({true, {}, {}, poll}, true, it.Now);
    it.Now += milliseconds(200);
    it.View.removeExpired(it.Now);
  }
  CHECK(it.choose().Result == Kind::NoReplica);
}

TEST_CASE("a draining replica gets no requests after alternating heartbeats",
          "[view]") {
  ViewFixture it;
  it.present({record("i-1")});
  auto draining = record("i-1");
  draining.Draining = true;
  for (int round = 0; round < 10; ++round) {
    it.present({draining}, false);
    CHECK(it.choose().Result == Kind::NoReplica);
    it.Now += milliseconds(500);
    it.present({record("i-1")}, false);
    CHECK(it.choose().Result == Kind::NoReplica);
  }
}

TEST_CASE("the prefill speed is estimated from the times to first events",
          "[view]") {
  PrefillSpeed speed;
  CHECK(speed.usPerToken() == Approx(50));
  for (int n = 1; n <= 40; ++n) {
    auto tokens = static_cast<std::uint32_t>(100 * (n % 10 + 1));
    speed.add(tokens, Span(18000 + 30 * std::int64_t{tokens}));
  }
  CHECK(speed.usPerToken() == Approx(30).epsilon(0.02));
}

namespace {

/// The record of the incarnation that started at `ms`.
ReplicaRecord startedAt(std::uint64_t ms) {
  auto out = record("i-1");
  out.Incarnation = ReplicaIncarnation("i-1", ms);
  return out;
}

} // namespace

TEST_CASE("a new incarnation under the same id starts without state",
          "[view][life]") {
  ViewFixture it;
  it.present({startedAt(1000)});
  auto query = it.query();
  query.PromptParts = {7};
  query.SharedTokens = 500;
  it.View.onSent("i-1#1000", query, it.Now);
  it.View.onResidency("i-1#1000", {{Adapter, {1, it.Now}}}, it.Now);
  CHECK(it.View.uncachedPromptTokens("i-1#1000", query) == 500);
  auto next = startedAt(2000);
  next.Held.clear();
  auto ended = it.View.onRegistry({false, {next}, {}, 2}, false, it.Now);
  REQUIRE(ended.size() == 1);
  CHECK(ended[0]->Incarnation.text() == "i-1#1000");
  CHECK(it.choose().Result == Kind::NotLoaded);
  CHECK(it.View.uncachedPromptTokens("i-1#2000", query) == 1000);
  CHECK(it.View.replicasIn("hall-a").size() == 1);
  CHECK(it.View.replicasIn("hall-a")[0]->Incarnation.text() == "i-1#2000");
  // The running request ends at the incarnation that it was sent to.
  it.View.onEnd("i-1#1000", 1, query, AttemptVerdict::NoValidAnswer, it.Now);
  CHECK(it.View.ownRunning("hall-a").empty());
}

TEST_CASE("a heartbeat of an earlier incarnation changes nothing",
          "[view][life]") {
  ViewFixture it;
  it.present({startedAt(2000)});
  auto old = startedAt(1000);
  old.Draining = true;
  CHECK(it.View.onRegistry({false, {old}, {}, 2}, false, it.Now).empty());
  CHECK(it.choose().Replica->Incarnation.text() == "i-1#2000");
  SECTION("nor does one without a start time") {
    old.Incarnation = ReplicaIncarnation("i-1");
    it.present({old}, false);
    CHECK(it.choose().Replica->Incarnation.text() == "i-1#2000");
  }
}

TEST_CASE("a replica that was draining is used after its restart",
          "[view][life]") {
  ViewFixture it;
  auto draining = startedAt(1000);
  draining.Draining = true;
  it.present({draining});
  CHECK(it.choose().Result == Kind::NoReplica);
  it.present({startedAt(2000)}, false);
  CHECK(it.choose().Replica->Incarnation.text() == "i-1#2000");
  it.View.onRegistry({false, {}, {"i-1"}, 3}, false, it.Now);
  CHECK(it.choose().Result == Kind::NoReplica);
}

TEST_CASE("residency of a new incarnation that is received before its entry is "
          "applied",
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

TEST_CASE("an unreadable entry under a replica's id changes nothing",
          "[view][life]") {
  ViewFixture it;
  it.present({record("i-1")});
  it.View.onRegistry({true, {}, {}, 2, {"i-1"}}, false, it.Now);
  CHECK(it.choose().Result == Kind::Send);
}

TEST_CASE("a request for replaced weights gets a time by which it must begin",
          "[view]") {
  ViewFixture it;
  it.present({record("i-1")});
  CHECK_FALSE(it.choose().MustBeginBy);
  it.View.onVersion({Adapter, 2, it.Now});
  auto declaredAt = it.Now;
  it.Now += milliseconds(2000);
  REQUIRE(it.choose().Result == Kind::Send);
  CHECK(it.choose().MustBeginBy == declaredAt + milliseconds(4200));
  it.Now += milliseconds(600);
  CHECK(it.choose().Result == Kind::NotLoaded);
}

TEST_CASE("a further declaration does not extend a replaced version's time",
          "[view]") {
  ViewFixture it;
  it.present({record("i-1")});
  it.View.onVersion({Adapter, 2, it.Now});
  auto declaredAt = it.Now;
  it.Now += milliseconds(2000);
  it.View.onVersion({Adapter, 3, it.Now});
  REQUIRE(it.choose().Result == Kind::Send);
  CHECK(it.choose().MustBeginBy == declaredAt + milliseconds(4200));
  it.Now += milliseconds(600);
  CHECK(it.choose().Result == Kind::NotLoaded);
}

TEST_CASE("a replaced version out of use stays so when a newer one is declared",
          "[view]") {
  ViewFixture it;
  it.present({record("i-1")});
  it.View.onVersion({Adapter, 2, it.Now});
  it.Now += std::chrono::seconds(14);
  it.View.onVersion({Adapter, 3, it.Now});
  CHECK(it.choose().Result == Kind::NotLoaded);
}

TEST_CASE("a replica whose entry has been removed counts as draining",
          "[view]") {
  ViewFixture it;
  it.present({record("i-1")});
  CHECK_FALSE(it.View.isDraining("i-1"));
  it.View.onRegistry({false, {}, {"i-1"}, 3}, false, it.Now);
  CHECK(it.View.isDraining("i-1"));
}

TEST_CASE("an idle remote engine is preferred to one with a long backlog",
          "[view]") {
  ViewFixture it;
  auto far = record("i-far", "hall-b");
  it.present({record("i-near"), far});
  REQUIRE(it.choose().Replica->Incarnation.text() == "i-near");
  // 40 ms of prefill for other nodes costs more than a remote engine.
  it.View.onSentElsewhere("i-near", 800, it.Now);
  auto choice = it.choose();
  CHECK(choice.Result == Kind::Send);
  CHECK(choice.Replica->Incarnation.text() == "i-far");
}

} // namespace hemlockglade::test
