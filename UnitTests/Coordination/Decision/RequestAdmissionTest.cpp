#include "UnitTests/Coordination/Decision/CoreProbe.h"

#include <catch2/catch.hpp>

using namespace hemlockglade;
using namespace hemlockglade::test;
using namespace std::chrono_literals;

TEST_CASE("requests of one adapter share a load, the higher class first",
          "[desk]") {
  CoreProbe core;
  core.replicas(1, 1, 2);
  CHECK(core.arrive(1, 7, 0) == "load 7@1");
  CHECK(core.arrive(2, 7, 1).empty());
  CHECK(core.arrive(3, 7, 2).empty());
  CHECK(core.arrive(3, 7, 2).empty()); // Told twice.
  CHECK(core.Core.waiting() == 3);
  core.Now += 300ms;
  CHECK(core.loaded(7) == "admit 3@1, admit 2@1");
  CHECK(std::get<Admit>(core.Actions[0]).LoadStall == 300ms);
  CHECK(std::get<Admit>(core.Actions[0]).Why == Reason::AfterLoad);
  // Time that it waits for the batch is no load stall.
  core.Now += 5s;
  CHECK(core.finish(3) == "admit 1@1");
  CHECK(std::get<Admit>(core.Actions[0]).LoadStall == 300ms);
}

TEST_CASE("no class starves another for longer than the bound", "[desk]") {
  auto [wait, first] = GENERATE(table<Span, std::string>(
      {{Span(1s), "admit 3@1"}, {Span(6s), "admit 2@1"}}));
  CoreProbe core;
  core.replicas(1, 1, 1);
  core.place(7);
  core.arrive(1, 7);
  core.arrive(2, 7, 0);
  core.Now += wait;
  core.arrive(3, 7, 200);
  CHECK(core.finish(1) == first);
}

TEST_CASE("what can't be answered in time is refused at once", "[desk]") {
  CellCoreSettings settings;
  settings.QueueLimit = 6;
  settings.Queues.AdapterLimit = 3;
  settings.Queues.CallerLimit = 2;
  settings.Retries = {0, 0};
  CoreProbe core(settings);
  core.replicas(1, 1, 1);
  core.send(LoadLimitChanged{1, 2.0});
  core.send(RuleChanged{99, {42}});
  RequestArrived event{50, 9, 1, core.Now + 18s};
  std::string reason;
  SECTION("queue full") {
    for (RequestKey it = 1; it <= 6; ++it)
      core.arrive(it, static_cast<AdapterKey>(it));
    reason = "queue-full";
  }
  SECTION("adapter limit") {
    for (RequestKey it = 1; it <= 3; ++it)
      core.arrive(it, 9);
    reason = "queue-full";
  }
  SECTION("class limit") {
    core.arrive(1, 1);
    event.QueueLimit = 1;
    reason = "queue-full";
  }
  SECTION("caller limit") {
    event.Caller = 5;
    for (event.Request = 1; event.Request <= 2; ++event.Request)
      core.send(event);
    event.Request = 50;
    reason = "caller-limit";
  }
  SECTION("five loads ahead at two a second") {
    for (RequestKey it = 1; it <= 5; ++it)
      core.arrive(it, static_cast<AdapterKey>(it));
    event.Deadline = core.Now + 2s;
    reason = "deadline-infeasible";
  }
  SECTION("deadline over") {
    event.Deadline = core.Now;
    reason = "deadline-passed";
  }
  SECTION("a rule leaves no replica") {
    event.Adapter = 99;
    reason = "no-replica";
  }
  SECTION("all replicas drain") {
    core.send(ReplicaDraining{1});
    reason = "no-replica";
  }
  SECTION("no budget for retries") {
    event.Retry = true;
    reason = "retry-budget";
  }
  SECTION("not the owner") {
    core.send(LeaseChanged{LeaseMode::None});
    reason = "not-owner";
  }
  SECTION("its load failed a moment ago") {
    core.arrive(1, 9);
    core.failed(9);
    event.Deadline = core.Now + 500ms;
    reason = "load-failing";
  }
  CHECK(core.send(event) == "refuse 50 " + reason);
  CHECK(core.RetryAfter >= 250ms);
  CHECK(core.RetryAfter <= 60s);
}

TEST_CASE("Retry-After follows the queue and the load rate", "[desk]") {
  auto [rate, least, most] = GENERATE(table<double, Span, Span>(
      {{2.0, Span(4s), Span(6s)}, {0.5, Span(16s), Span(22s)}}));
  CoreProbe core;
  core.replicas(1, 1, 32);
  core.send(LoadLimitChanged{1, rate});
  for (RequestKey it = 1; it <= 10; ++it)
    core.arrive(it, static_cast<AdapterKey>(it), 1, 19s);
  CHECK(core.arrive(50, 50, 1, 1s) == "refuse 50 deadline-infeasible");
  CHECK(core.RetryAfter >= least);
  CHECK(core.RetryAfter <= most);
}

TEST_CASE("a full queue sheds the lowest and latest first", "[desk]") {
  CellCoreSettings settings;
  settings.QueueLimit = 3;
  CoreProbe core(settings);
  core.replicas(1, 1, 1);
  core.arrive(1, 1, 0);
  core.arrive(2, 2, 1);
  core.arrive(3, 2, 0);
  CHECK(core.arrive(4, 2, 0) == "refuse 4 queue-full");
  CHECK(core.arrive(5, 2, 2) == "refuse 3 shed");
  CHECK(core.arrive(6, 2, 2) == "refuse 1 shed, cancel 1@1");
  CHECK(core.arrive(7, 2, 1) == "refuse 7 queue-full");
}

TEST_CASE("a request is given up as soon as it can't be met", "[desk]") {
  CoreProbe core;
  core.replicas(1, 1, 1);
  core.place(7);
  core.arrive(1, 7);
  // The only slot serves, so the load can't start; about 500 ms are needed.
  core.arrive(2, 8, 1, 3s);
  CHECK(core.pass(2400ms).empty());
  CHECK(core.pass(100ms) == "refuse 2 deadline-infeasible");
  // A place in the batch takes two seconds by all that is known yet.
  CHECK(core.arrive(3, 7, 1, 1s) == "refuse 3 deadline-infeasible");
  CHECK(core.arrive(4, 7, 1, 3s).empty());
  CHECK(core.pass(2900ms).empty());
  CHECK(core.pass(100ms) == "refuse 4 deadline-passed");
  // Reading a prompt of 8000 tokens takes a second.
  RequestArrived event{5, 7, 1, core.Now + 2500ms, 0, 8000};
  CHECK(core.send(event) == "refuse 5 deadline-infeasible");
}

TEST_CASE("a storm of retries adds no more than its share", "[desk]") {
  CellCoreSettings settings;
  settings.Retries = {0.2, 10};
  CoreProbe core(settings);
  core.replicas(1, 1, 4);
  core.place(7);
  int first = 0;
  int again = 0;
  for (RequestKey it = 1; it <= 2000; ++it) {
    RequestArrived event{it, 7, 1, core.Now + 10s};
    event.Retry = it % 10 != 0;
    auto &n = event.Retry ? again : first;
    n += core.send(event).starts_with("admit") ? 1 : 0;
    core.finish(it);
  }
  CHECK(first == 200);
  CHECK(again <= first / 5 + 10);
}

TEST_CASE("what waits is refused when the ownership ends", "[desk]") {
  CoreProbe core;
  core.replicas(1, 1, 1);
  core.arrive(1, 7);
  core.arrive(2, 8);
  CHECK(core.send(LeaseChanged{LeaseMode::None}) ==
        "refuse 2 not-owner, refuse 1 not-owner");
  // An answer from before tells the next ownership nothing.
  core.send(LeaseChanged{LeaseMode::Recovering});
  CHECK(core.loaded(7).empty());
  CHECK(core.arrive(3, 7) == "load 7@1");
}

TEST_CASE("a request behind a higher class is refused earlier", "[admission]") {
  // One second for each load, with the one that runs and its own.
  auto [waiting, priority, refused] =
      GENERATE(table<AdapterKey, std::uint8_t, bool>({{4, 1, false},
                                                      {5, 1, true},
                                                      {5, 2, false},
                                                      {14, 2, false},
                                                      {14, 1, true}}));
  CoreProbe core;
  core.replicas(1, 64, 64);
  core.send(LoadLimitChanged{1, 1});
  core.arrive(100, 100, 2);
  for (AdapterKey it = 1; it <= waiting; ++it)
    REQUIRE(core.arrive(it, it, 2).empty());
  CHECK(core.arrive(101, 101, priority).starts_with("refuse") == refused);
}
