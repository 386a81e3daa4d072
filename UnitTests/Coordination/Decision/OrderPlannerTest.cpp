#include "UnitTests/Coordination/Decision/CoreDriver.h"

#include <catch2/catch.hpp>

using namespace hemlockglade;
using namespace hemlockglade::test;
using namespace std::chrono_literals;

TEST_CASE("loads are limited to the share of the weight store", "[orders]") {
  CoreDriver core;
  core.replicas(1, 8, 8);
  SECTION("one at a time") {
    CHECK(core.arrive(1, 1) == "load 1@1");
    CHECK(core.arrive(2, 2).empty());
    CHECK(core.loaded(1) == "admit 1@1, load 2@1");
  }
  SECTION("two at a time") {
    core.send(LoadLimitChanged{2, 3});
    core.arrive(1, 1);
    CHECK(core.arrive(2, 2) == "load 2@1");
    CHECK(core.arrive(3, 3).empty());
  }
  SECTION("half a load per second, with a burst of two") {
    core.send(LoadLimitChanged{1, 0.5});
    std::string actions;
    for (AdapterKey it = 1; it <= 4; ++it) {
      actions += core.arrive(it, it) + ";";
      core.loaded(it);
    }
    CHECK(actions == "load 1@1;load 2@1;;;");
    CHECK(core.advance(1900ms).empty());
    CHECK(core.advance(200ms) == "load 3@1");
  }
}

TEST_CASE("the adapter with the highest score is loaded next", "[orders]") {
  auto [waiting, priority, timeLeft, age, next] =
      GENERATE(table<int, int, Span, Span, std::string>({
          {1, 1, Span(18s), Span(0s), "load 2@1"},
          {2, 1, Span(18s), Span(0s), "load 3@1"},
          {1, 3, Span(18s), Span(0s), "load 3@1"},
          {1, 1, Span(1500ms), Span(0s), "load 3@1"},
          // Twice the waiting requests do not outweigh an age of seven seconds.
          {2, 1, Span(18s), Span(7s), "load 2@1"},
      }));
  CoreDriver core;
  core.replicas(1, 8, 8);
  core.arrive(1, 1, 0, 25s);
  core.arrive(2, 2, 1, 25s);
  core.Now += age;
  for (int it = 0; it < waiting; ++it)
    core.arrive(10 + static_cast<RequestKey>(it), 3,
                static_cast<std::uint8_t>(priority), timeLeft);
  CHECK(core.loaded(1) == "admit 1@1, " + next);
}

TEST_CASE("a load without waiting requests is cancelled only early on",
          "[orders]") {
  CoreDriver core;
  core.replicas(1, 1, 8);
  core.arrive(1, 1);
  SECTION("early") {
    CHECK(core.finish(1) == "cancel 1@1");
    CHECK(core.failed(1).empty()); // Ignored: no number.
    CHECK(core.send(LoadFailed{1, 1, 1}).empty());
    CHECK(core.arrive(2, 2) == "load 2@1");
  }
  SECTION("almost loaded") {
    core.Now += 300ms;
    CHECK(core.finish(1).empty());
  }
}

TEST_CASE("a failed load is retried after 0.5, 1, 2 and 4 s", "[orders]") {
  CellCoreSettings settings;
  settings.LoadLimits.StoreFailures = 100;
  CoreDriver core(settings);
  core.replicas(1, 8, 8);
  core.arrive(1, 1, 1, 19s);
  for (Span wait : {500ms, 1000ms, 2000ms, 4000ms}) {
    CHECK(core.failed(1).empty());
    CHECK(core.advance(wait - 100ms).empty());
    CHECK(core.advance(100ms) == "load 1@1");
  }
}

TEST_CASE("loads are retried one at a time with growing pauses when all fail",
          "[orders]") {
  CoreDriver core;
  core.replicas(2, 8, 8);
  core.arrive(1, 1, 1, 19s);
  int attempts = 1;
  for (AdapterKey it = 2; it <= 30; ++it)
    core.arrive(it, it, 1, 19s);
  core.failed(1);
  for (int n = 0; n < 300; ++n) {
    auto open = core.Actions;
    for (const auto &it : open) {
      const auto *load = std::get_if<Load>(&it);
      if (!load)
        continue;
      ++attempts;
      core.send(LoadFailed{load->Replica, load->Adapter, load->Order});
    }
    core.Now += 33ms;
    core.send(Tick{});
  }
  CHECK(attempts >= 6);
  CHECK(attempts <= 12);
}

TEST_CASE("only adapters that are certainly idle are evicted", "[orders]") {
  CoreDriver core;
  core.replicas(1, 1, 8);
  core.loadByOperator(7);
  std::string expected = "evict 7@1";
  SECTION("idle") {}
  SECTION("serving") {
    core.arrive(1, 7);
    expected = "";
  }
  SECTION("pinned") {
    core.send(PinChanged{7, 0, 1});
    expected = "";
  }
  SECTION("pin removed") {
    core.send(PinChanged{7, 0, 1});
    core.send(PinChanged{7, 0, 0});
  }
  SECTION("just loaded") {
    CoreDriver fresh;
    fresh.replicas(1, 1, 8);
    fresh.send(OperatorLoad{1, 7});
    fresh.loaded(7);
    CHECK(fresh.arrive(2, 8).empty());
    CHECK(fresh.advance(1100ms) == "evict 7@1");
    return;
  }
  SECTION("lease doubtful") {
    core.send(LeaseChanged{LeaseMode::Doubtful});
    expected = "";
  }
  SECTION("recovering") {
    core.send(LeaseChanged{LeaseMode::None});
    core.send(LeaseChanged{LeaseMode::Recovering});
    core.Now += 1s;
    core.report(1, 1, {{7, 0}});
    core.Now += 2s;
    expected = "";
  }
  SECTION("recovered, but the last report is older") {
    core.send(LeaseChanged{LeaseMode::None});
    core.send(LeaseChanged{LeaseMode::Recovering});
    core.Now += 1s;
    core.report(1, 1, {{7, 0}});
    core.Now += 2s;
    core.send(LeaseChanged{LeaseMode::Held});
    CHECK(core.arrive(2, 8).empty());
    core.Now += 1s;
    CHECK(core.report(1, 1, {{7, 0}}) == expected);
    return;
  }
  SECTION("the report shows a running request") {
    core.report(1, 1, {{7, 1}});
    expected = "";
  }
  SECTION("a report older than the last use shows a running request") {
    core.report(1, 1, {{7, 1}}, 4s);
  }
  CHECK(core.arrive(2, 8) == expected);
}

TEST_CASE("a scan does not evict adapters with more demand", "[orders]") {
  CoreDriver core;
  core.replicas(2, 2, 8);
  for (AdapterKey it = 1; it <= 3; ++it)
    core.loadByOperator(it, 1 + it / 3);
  for (int it = 0; it < 20; ++it) {
    for (AdapterKey adapter = 1; adapter <= 3; ++adapter)
      core.runRequests(adapter, 1);
    core.advance(2s);
  }
  // A series of adapters that are requested once uses the fourth slot only.
  for (AdapterKey it = 100; it < 120; ++it) {
    auto actions = core.advance(500ms);
    actions += core.arrive(it, it);
    CHECK(actions.find("evict 1@") == std::string::npos);
    CHECK(actions.find("evict 2@") == std::string::npos);
    CHECK(actions.find("evict 3@") == std::string::npos);
    core.evicted(it - 1, 2);
    core.loaded(it, 2);
    core.finish(it);
    core.advance(2s);
  }
}

TEST_CASE(
    "an order without a result keeps its slot and makes no adapter usable",
    "[orders]") {
  CoreDriver core;
  core.replicas(1, 1, 8);
  SECTION("load") {
    core.arrive(1, 7);
    CHECK(core.send(LoadFailed{1, 7, 1, true}).empty());
    core.finish(1);
    CHECK(core.arrive(2, 8).empty());
    CHECK(core.advance(4900ms).empty());
    core.Now += 200ms;
    SECTION("a report shows it") { CHECK(core.report(1, 1, {{7, 0}}).empty()); }
    SECTION("a report does not show it") {
      CHECK(core.report(1, 1, {}) == "load 8@1");
    }
    SECTION("no report arrives") { CHECK(core.advance(100ms) == "evict 7@1"); }
  }
  SECTION("evict") {
    core.loadByOperator(7);
    core.arrive(1, 8);
    auto order = std::get<Evict>(core.Actions[0]).Order;
    CHECK(core.send(EvictDone{1, 7, false, order, true}).empty());
    CHECK(core.arrive(2, 7).find("admit") == std::string::npos);
  }
}

TEST_CASE("copies, pins, rules and operators determine the replica of a load",
          "[orders]") {
  CoreDriver core;
  SECTION("a copy for a full batch, in another domain") {
    core.send(ReplicaAdded{1, 1, 2, 1});
    core.send(ReplicaAdded{2, 1, 2, 1});
    core.send(ReplicaAdded{3, 2, 2, 1});
    core.loadByOperator(7);
    std::string actions;
    for (RequestKey it = 1; it <= 5; ++it)
      actions += core.arrive(it, 7);
    CHECK(actions == "admit 1@1load 7@3");
    CHECK(core.loaded(7, 3) == "admit 2@3");
  }
  SECTION("a pin's copies, and its domain") {
    core.replicas(3, 2, 8);
    CHECK(core.send(PinChanged{7, 0, 2}) == "load 7@1");
    CHECK(core.advance(200ms).empty());
    CHECK(core.loaded(7, 1) == "load 7@2");
    core.loaded(7, 2);
    CHECK(core.advance(200ms).empty());
    CHECK(core.send(PinChanged{8, 3, 1}) == "load 8@3");
  }
  SECTION("a rule, also for adapters that are loaded elsewhere") {
    core.replicas(3, 2, 8);
    core.loadByOperator(7, 1);
    core.send(RuleChanged{7, {3}});
    CHECK(core.arrive(1, 7) == "load 7@3");
    core.send(RuleChanged{7, {}});
    CHECK(core.arrive(2, 7) == "admit 2@1");
  }
  SECTION("an operator's load evicts from the replica that it names") {
    core.replicas(2, 1, 8);
    core.loadByOperator(7, 1);
    CHECK(core.send(OperatorLoad{1, 8}) == "evict 7@1");
    CHECK(core.evicted(7, 1) == "load 8@1");
  }
}

TEST_CASE("adapters lost in a restart are prefetched while no request waits",
          "[orders]") {
  CoreDriver core;
  core.replicas(1, 2, 8);
  core.loadByOperator(7);
  core.loadByOperator(8);
  core.runRequests(7, 5);
  core.runRequests(8, 3);
  core.report(1, 1, {{7, 0}, {8, 0}});
  core.Now += 1s;
  CHECK(core.report(1, 2, {}) == "load 7@1");
  CHECK(std::get<Load>(core.Actions[0]).Why == Reason::Prefetch);
  // Waiting requests take precedence over a prefetch.
  CHECK(core.arrive(1, 9) == "cancel 7@1, load 9@1");
}

TEST_CASE("a lost answer or order does not delay other loads", "[orders]") {
  CoreDriver core;
  core.replicas(1, 2, 8);
  core.arrive(1, 1);
  core.arrive(2, 2);
  SECTION("the next load starts beside one that is overdue, but no third") {
    CHECK(core.advance(1100ms).empty());
    CHECK(core.advance(200ms) == "load 2@1");
    core.arrive(3, 3);
    CHECK(core.advance(1500ms).empty());
  }
  SECTION("a report taken after the order replaces its answer") {
    core.Now += 300ms;
    CHECK(core.report(1, 1, {{1, 0}}, 400ms).empty());
    CHECK(core.report(1, 1, {{1, 0}}) == "admit 1@1, load 2@1");
  }
}

TEST_CASE("a free slot on an unusable replica does not count as room",
          "[orders]") {
  CoreDriver core;
  core.replicas(2, 1, 8);
  core.loadByOperator(7, 1);
  SECTION("the replica is down") {
    for (int it = 0; it < 4; ++it)
      core.send(ReplicaReportMissed{2});
  }
  SECTION("the replica is draining") { core.send(ReplicaDraining{2}); }
  CHECK(core.arrive(1, 8) == "evict 7@1");
}
