#include "UnitTests/Coordination/Decision/CoreProbe.h"

#include <catch2/catch.hpp>

using namespace hemlockglade;
using namespace hemlockglade::test;
using namespace std::chrono_literals;

TEST_CASE("the share of the weight store bounds the loads", "[orders]") {
  CoreProbe core;
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
  SECTION("half a load a second, with two saved up") {
    core.send(LoadLimitChanged{1, 0.5});
    std::string all;
    for (AdapterKey it = 1; it <= 4; ++it) {
      all += core.arrive(it, it) + ";";
      core.loaded(it);
    }
    CHECK(all == "load 1@1;load 2@1;;;");
    CHECK(core.pass(1900ms).empty());
    CHECK(core.pass(200ms) == "load 3@1");
  }
}

TEST_CASE("the next load is the one with the largest claim", "[orders]") {
  auto [waiting, priority, due, age, next] =
      GENERATE(table<int, int, Span, Span, std::string>({
          {1, 1, Span(18s), Span(0s), "load 2@1"},
          {2, 1, Span(18s), Span(0s), "load 3@1"},
          {1, 3, Span(18s), Span(0s), "load 3@1"},
          {1, 1, Span(1500ms), Span(0s), "load 3@1"},
          // Twice the waiting does not outdo an age of seven seconds.
          {2, 1, Span(18s), Span(7s), "load 2@1"},
      }));
  CoreProbe core;
  core.replicas(1, 8, 8);
  core.arrive(1, 1, 0, 25s);
  core.arrive(2, 2, 1, 25s);
  core.Now += age;
  for (int it = 0; it < waiting; ++it)
    core.arrive(10 + static_cast<RequestKey>(it), 3,
                static_cast<std::uint8_t>(priority), due);
  CHECK(core.loaded(1) == "admit 1@1, " + next);
}

TEST_CASE("a load that nobody waits for is taken back early", "[orders]") {
  CoreProbe core;
  core.replicas(1, 1, 8);
  core.arrive(1, 1);
  SECTION("early") {
    CHECK(core.finish(1) == "cancel 1@1");
    CHECK(core.failed(1).empty()); // It has no answer without its number.
    CHECK(core.send(LoadFailed{1, 1, 1}).empty());
    CHECK(core.arrive(2, 2) == "load 2@1");
  }
  SECTION("nearly there") {
    core.Now += 300ms;
    CHECK(core.finish(1).empty());
  }
}

TEST_CASE("a failing load is tried after 0.5, 1, 2 and 4 s", "[orders]") {
  CellCoreSettings settings;
  settings.LoadLimits.StoreFailures = 100;
  CoreProbe core(settings);
  core.replicas(1, 8, 8);
  core.arrive(1, 1, 1, 19s);
  for (Span wait : {500ms, 1000ms, 2000ms, 4000ms}) {
    CHECK(core.failed(1).empty());
    CHECK(core.pass(wait - 100ms).empty());
    CHECK(core.pass(100ms) == "load 1@1");
  }
}

TEST_CASE("failing loads of all adapters are tried one at a time, ever later",
          "[orders]") {
  CoreProbe core;
  core.replicas(2, 8, 8);
  core.arrive(1, 1, 1, 19s);
  int tries = 1;
  for (AdapterKey it = 2; it <= 30; ++it)
    core.arrive(it, it, 1, 19s);
  core.failed(1);
  for (int n = 0; n < 300; ++n) {
    auto open = core.Actions;
    for (const auto &it : open) {
      const auto *load = std::get_if<Load>(&it);
      if (!load)
        continue;
      ++tries;
      core.send(LoadFailed{load->Replica, load->Adapter, load->Order});
    }
    core.Now += 33ms;
    core.send(Tick{});
  }
  CHECK(tries >= 6);
  CHECK(tries <= 12);
}

TEST_CASE("only what is idle beyond doubt is evicted", "[orders]") {
  CoreProbe core;
  core.replicas(1, 1, 8);
  core.place(7);
  std::string done = "evict 7@1";
  SECTION("idle") {}
  SECTION("serving") {
    core.arrive(1, 7);
    done = "";
  }
  SECTION("pinned") {
    core.send(PinChanged{7, 0, 1});
    done = "";
  }
  SECTION("pinned no more") {
    core.send(PinChanged{7, 0, 1});
    core.send(PinChanged{7, 0, 0});
  }
  SECTION("just loaded") {
    CoreProbe fresh;
    fresh.replicas(1, 1, 8);
    fresh.send(OperatorLoad{1, 7});
    fresh.loaded(7);
    CHECK(fresh.arrive(2, 8).empty());
    CHECK(fresh.pass(1100ms) == "evict 7@1");
    return;
  }
  SECTION("lease doubtful") {
    core.send(LeaseChanged{LeaseMode::Doubtful});
    done = "";
  }
  SECTION("recovering") {
    core.send(LeaseChanged{LeaseMode::None});
    core.send(LeaseChanged{LeaseMode::Recovering});
    core.Now += 1s;
    core.report(1, 1, {{7, 0}});
    core.Now += 2s;
    done = "";
  }
  SECTION("recovered, but the last report is from before") {
    core.send(LeaseChanged{LeaseMode::None});
    core.send(LeaseChanged{LeaseMode::Recovering});
    core.Now += 1s;
    core.report(1, 1, {{7, 0}});
    core.Now += 2s;
    core.send(LeaseChanged{LeaseMode::Held});
    CHECK(core.arrive(2, 8).empty());
    core.Now += 1s;
    CHECK(core.report(1, 1, {{7, 0}}) == done);
    return;
  }
  SECTION("the report says that it runs something") {
    core.report(1, 1, {{7, 1}});
    done = "";
  }
  SECTION("a report from before our own last use says so") {
    core.report(1, 1, {{7, 1}}, 4s);
  }
  CHECK(core.arrive(2, 8) == done);
}

TEST_CASE("the least demand goes first, so a scan spares the rest",
          "[orders]") {
  CoreProbe core;
  core.replicas(2, 2, 8);
  for (AdapterKey it = 1; it <= 3; ++it)
    core.place(it, 1 + it / 3);
  for (int it = 0; it < 20; ++it) {
    for (AdapterKey adapter = 1; adapter <= 3; ++adapter)
      core.use(adapter, 1);
    core.pass(2s);
  }
  // A chain of adapters that are asked for once uses the fourth slot only.
  for (AdapterKey it = 100; it < 120; ++it) {
    auto done = core.arrive(it, it) + core.pass(500ms);
    CHECK(done.find("evict 1@") == std::string::npos);
    CHECK(done.find("evict 2@") == std::string::npos);
    CHECK(done.find("evict 3@") == std::string::npos);
    core.evicted(it - 1, 2);
    core.loaded(it, 2);
    core.finish(it);
    core.pass(2s);
  }
}

TEST_CASE("an order without a result neither frees nor fills a slot",
          "[orders]") {
  CoreProbe core;
  core.replicas(1, 1, 8);
  SECTION("load") {
    core.arrive(1, 7);
    CHECK(core.send(LoadFailed{1, 7, 1, true}).empty());
    core.finish(1);
    CHECK(core.arrive(2, 8).empty());
    CHECK(core.pass(4900ms).empty());
    core.Now += 200ms;
    SECTION("it is there") { CHECK(core.report(1, 1, {{7, 0}}).empty()); }
    SECTION("it is not") { CHECK(core.report(1, 1, {}) == "load 8@1"); }
    SECTION("no report tells") { CHECK(core.pass(100ms) == "evict 7@1"); }
  }
  SECTION("evict") {
    core.place(7);
    core.arrive(1, 8);
    auto order = std::get<Evict>(core.Actions[0]).Order;
    CHECK(core.send(EvictDone{1, 7, false, order, true}).empty());
    CHECK(core.arrive(2, 7).find("admit") == std::string::npos);
  }
}

TEST_CASE("copies, pins, rules and operators choose the place", "[orders]") {
  CoreProbe core;
  SECTION("a copy for a full batch, in another domain") {
    core.send(ReplicaAdded{1, 1, 2, 1});
    core.send(ReplicaAdded{2, 1, 2, 1});
    core.send(ReplicaAdded{3, 2, 2, 1});
    core.place(7);
    std::string done;
    for (RequestKey it = 1; it <= 5; ++it)
      done += core.arrive(it, 7);
    CHECK(done == "admit 1@1load 7@3");
    CHECK(core.loaded(7, 3) == "admit 2@3");
  }
  SECTION("a pin's copies, and its domain") {
    core.replicas(3, 2, 8);
    CHECK(core.send(PinChanged{7, 0, 2}) == "load 7@1");
    CHECK(core.loaded(7, 1) + core.pass(200ms) == "load 7@2");
    core.loaded(7, 2);
    CHECK(core.send(PinChanged{8, 3, 1}) + core.pass(200ms) == "load 8@3");
  }
  SECTION("a rule, also for what is loaded elsewhere") {
    core.replicas(3, 2, 8);
    core.place(7, 1);
    core.send(RuleChanged{7, {3}});
    CHECK(core.arrive(1, 7) == "load 7@3");
    core.send(RuleChanged{7, {}});
    CHECK(core.arrive(2, 7) == "admit 2@1");
  }
  SECTION("an operator's load makes room where it was asked for") {
    core.replicas(2, 1, 8);
    core.place(7, 1);
    CHECK(core.send(OperatorLoad{1, 8}) == "evict 7@1");
    CHECK(core.evicted(7, 1) == "load 8@1");
  }
}

TEST_CASE("what a restart lost is loaded ahead while nobody waits",
          "[orders]") {
  CoreProbe core;
  core.replicas(1, 2, 8);
  core.place(7);
  core.place(8);
  core.use(7, 5);
  core.use(8, 3);
  core.report(1, 1, {{7, 0}, {8, 0}});
  core.Now += 1s;
  CHECK(core.report(1, 2, {}) == "load 7@1");
  CHECK(std::get<Load>(core.Actions[0]).Why == Reason::Prefetch);
  // Demand goes before it.
  CHECK(core.arrive(1, 9) == "cancel 7@1, load 9@1");
}

TEST_CASE("a lost answer or order does not hold the others up", "[orders]") {
  CoreProbe core;
  core.replicas(1, 2, 8);
  core.arrive(1, 1);
  core.arrive(2, 2);
  SECTION("the next load starts beside one that is overdue, once") {
    CHECK(core.pass(1100ms).empty());
    CHECK(core.pass(200ms) == "load 2@1");
    core.arrive(3, 3);
    CHECK(core.pass(1500ms).empty());
  }
  SECTION("a report from after the order stands for its answer") {
    core.Now += 300ms;
    CHECK(core.report(1, 1, {{1, 0}}, 400ms).empty());
    CHECK(core.report(1, 1, {{1, 0}}) == "admit 1@1, load 2@1");
  }
}

TEST_CASE("a free slot that can't be used is no room", "[orders]") {
  CoreProbe core;
  core.replicas(2, 1, 8);
  core.place(7, 1);
  SECTION("the replica is down") {
    for (int it = 0; it < 4; ++it)
      core.send(ReplicaSilent{2});
  }
  SECTION("it drains") { core.send(ReplicaDraining{2}); }
  CHECK(core.arrive(1, 8) == "evict 7@1");
}
