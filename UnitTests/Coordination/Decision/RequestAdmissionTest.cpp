#include "UnitTests/Coordination/Decision/CoreDriver.h"

#include <catch2/catch.hpp>

using namespace hemlockglade;
using namespace hemlockglade::test;
using namespace std::chrono_literals;

TEST_CASE("requests of one adapter share a load and are admitted by class",
          "[desk]") {
  CoreDriver core;
  core.replicas(1, 1, 2);
  CHECK(core.arrive(1, 7, 0) == "load 7@1");
  CHECK(core.arrive(2, 7, 1).empty());
  CHECK(core.arrive(3, 7, 2).empty());
  CHECK(core.arrive(3, 7, 2).empty()); // Duplicate arrival.
  CHECK(core.Core.waiting() == 3);
  core.Now += 300ms;
  CHECK(core.loaded(7) == "admit 3@1, admit 2@1");
  CHECK(std::get<Admit>(core.Actions[0]).LoadStall == 300ms);
  CHECK(std::get<Admit>(core.Actions[0]).Why == Reason::AfterLoad);
  // Time spent waiting for the batch does not count as load stall.
  core.Now += 5s;
  CHECK(core.finish(3) == "admit 1@1");
  CHECK(std::get<Admit>(core.Actions[0]).LoadStall == 300ms);
}

TEST_CASE("no class starves a lower one for longer than the bound", "[desk]") {
  auto [wait, first] = GENERATE(table<Span, std::string>(
      {{Span(1s), "admit 3@1"}, {Span(6s), "admit 2@1"}}));
  CoreDriver core;
  core.replicas(1, 1, 1);
  core.loadByOperator(7);
  core.arrive(1, 7);
  core.arrive(2, 7, 0);
  core.Now += wait;
  core.arrive(3, 7, 200);
  CHECK(core.finish(1) == first);
}

TEST_CASE("a request that can't be answered in time is refused on arrival",
          "[desk]") {
  CellCoreSettings settings;
  settings.QueueLimit = 6;
  settings.Queues.AdapterLimit = 3;
  settings.Queues.CallerLimit = 2;
  settings.Retries = {0, 0};
  CoreDriver core(settings);
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
  SECTION("five loads ahead at two per second") {
    for (RequestKey it = 1; it <= 5; ++it)
      core.arrive(it, static_cast<AdapterKey>(it));
    event.Deadline = core.Now + 2s;
    reason = "deadline-infeasible";
  }
  SECTION("deadline passed") {
    event.Deadline = core.Now;
    reason = "deadline-passed";
  }
  SECTION("a rule leaves no replica") {
    event.Adapter = 99;
    reason = "no-replica";
  }
  SECTION("all replicas are draining") {
    core.send(ReplicaDraining{1});
    reason = "no-replica";
  }
  SECTION("retry budget exhausted") {
    event.Retry = true;
    reason = "retry-budget";
  }
  SECTION("not the owner") {
    core.send(LeaseChanged{LeaseMode::None});
    reason = "not-owner";
  }
  SECTION("its load has just failed") {
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
  auto [rate, minRetryAfter, maxRetryAfter] =
      GENERATE(table<double, Span, Span>(
          {{2.0, Span(4s), Span(6s)}, {0.5, Span(16s), Span(22s)}}));
  CoreDriver core;
  core.replicas(1, 1, 32);
  core.send(LoadLimitChanged{1, rate});
  for (RequestKey it = 1; it <= 10; ++it)
    core.arrive(it, static_cast<AdapterKey>(it), 1, 19s);
  CHECK(core.arrive(50, 50, 1, 1s) == "refuse 50 deadline-infeasible");
  CHECK(core.RetryAfter >= minRetryAfter);
  CHECK(core.RetryAfter <= maxRetryAfter);
}

TEST_CASE("a full queue sheds the latest request of the lowest class first",
          "[desk]") {
  CellCoreSettings settings;
  settings.QueueLimit = 3;
  CoreDriver core(settings);
  core.replicas(1, 1, 1);
  core.arrive(1, 1, 0);
  core.arrive(2, 2, 1);
  core.arrive(3, 2, 0);
  CHECK(core.arrive(4, 2, 0) == "refuse 4 queue-full");
  CHECK(core.arrive(5, 2, 2) == "refuse 3 shed");
  CHECK(core.arrive(6, 2, 2) == "refuse 1 shed, cancel 1@1");
  CHECK(core.arrive(7, 2, 1) == "refuse 7 queue-full");
}

TEST_CASE("a waiting request is refused as soon as its deadline can't be met",
          "[desk]") {
  CoreDriver core;
  core.replicas(1, 1, 1);
  core.loadByOperator(7);
  core.arrive(1, 7);
  // The only slot is in use, so the load can't start; the request needs about
  // 500 ms.
  core.arrive(2, 8, 1, 3s);
  CHECK(core.advance(2400ms).empty());
  CHECK(core.advance(100ms) == "refuse 2 deadline-infeasible");
  // The estimate for a place in the batch is two seconds so far.
  CHECK(core.arrive(3, 7, 1, 1s) == "refuse 3 deadline-infeasible");
  CHECK(core.arrive(4, 7, 1, 3s).empty());
  CHECK(core.advance(2900ms).empty());
  CHECK(core.advance(100ms) == "refuse 4 deadline-passed");
  // Prefilling a prompt of 8000 tokens takes a second.
  RequestArrived event{5, 7, 1, core.Now + 2500ms, 0, 8000};
  CHECK(core.send(event) == "refuse 5 deadline-infeasible");
}

TEST_CASE("a burst of retries is limited to the retry budget", "[desk]") {
  CellCoreSettings settings;
  settings.Retries = {0.2, 10};
  CoreDriver core(settings);
  core.replicas(1, 1, 4);
  core.loadByOperator(7);
  int first = 0;
  int retries = 0;
  for (RequestKey it = 1; it <= 2000; ++it) {
    RequestArrived event{it, 7, 1, core.Now + 10s};
    event.Retry = it % 10 != 0;
    auto &n = event.Retry ? retries : first;
    n += core.send(event).starts_with("admit") ? 1 : 0;
    core.finish(it);
  }
  CHECK(first == 200);
  CHECK(retries <= first / 5 + 10);
}

TEST_CASE("waiting requests are refused when the ownership ends", "[desk]") {
  CoreDriver core;
  core.replicas(1, 1, 1);
  core.arrive(1, 7);
  core.arrive(2, 8);
  CHECK(core.send(LeaseChanged{LeaseMode::None}) ==
        "refuse 2 not-owner, refuse 1 not-owner");
  // An answer from before the ownership ended says nothing about the next one.
  core.send(LeaseChanged{LeaseMode::Recovering});
  CHECK(core.loaded(7).empty());
  CHECK(core.arrive(3, 7) == "load 7@1");
}

TEST_CASE(
    "a request behind a higher class is refused at a shorter expected wait",
    "[admission]") {
  // One second for each load, including the running one and the request's own.
  auto [waiting, priority, refused] =
      GENERATE(table<AdapterKey, std::uint8_t, bool>({{4, 1, false},
                                                      {5, 1, true},
                                                      {5, 2, false},
                                                      {14, 2, false},
                                                      {14, 1, true}}));
  CoreDriver core;
  core.replicas(1, 64, 64);
  core.send(LoadLimitChanged{1, 1});
  core.arrive(100, 100, 2);
  for (AdapterKey it = 1; it <= waiting; ++it)
    REQUIRE(core.arrive(it, it, 2).empty());
  CHECK(core.arrive(101, 101, priority).starts_with("refuse") == refused);
}
