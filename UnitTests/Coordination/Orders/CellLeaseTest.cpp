#include "UnitTests/Coordination/Orders/CellLeaseWorld.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace hemlockglade::test {

TEST_CASE("a row's text contains its notes, if it has any", "[lease]") {
  CellLeaseRow row{"host", "host-1", "10.0.0.1:7", 4, false, true, ""};
  CHECK(CellLeaseRow::parse(row.text())->Notes.empty());
  row.Notes = "a:1;b:2";
  CHECK(CellLeaseRow::parse(row.text())->Notes == "a:1;b:2");
  CHECK(CellLeaseRow::parse(row.text())->Ordering);
}

TEST_CASE("notes pass from one holder to the next", "[lease]") {
  LeaseWorld world(1, 2);
  std::vector<std::string> notes(2);
  for (std::size_t it = 0; it < notes.size(); ++it)
    world.Hosts[it]->Lease->setNotes(
        [&notes, it] { return notes[it]; },
        [&notes, it](const std::string &read) { notes[it] = read; });
  world.run(milliseconds(500));
  auto *first = world.holder();
  REQUIRE(first);
  auto holderIndex = first == world.Hosts[0].get() ? 0U : 1U;
  notes[holderIndex] = "kept";
  world.run(milliseconds(1000));
  first->Suspended = true;
  world.run(milliseconds(8000));
  REQUIRE(world.holder() == world.Hosts[1 - holderIndex].get());
  CHECK(notes[1 - holderIndex] == "kept");
  auto row = CellLeaseRow::parse(world.Table.Rows.begin()->second.Value);
  CHECK(row->Notes == "kept");
}

TEST_CASE("the first host that takes a lease may order at once", "[lease]") {
  LeaseWorld world(1);
  world.run(milliseconds(500));
  REQUIRE(world.holder());
  CHECK(world.holder()->Lease->fence() == 1);
}

TEST_CASE("a lease whose holder has stopped is taken over after the handover",
          "[lease]") {
  LeaseWorld world(2);
  world.run(milliseconds(2000));
  auto *first = world.holder();
  REQUIRE(first);
  first->Suspended = true;
  world.run(milliseconds(8000));
  auto *next = world.holder();
  REQUIRE(next);
  CHECK(next != first);
  CHECK(next->Lease->fence() == 2);
  CHECK_FALSE(world.OrderedTooSoon);
}

TEST_CASE("a suspended holder does not order when it resumes", "[lease]") {
  LeaseWorld world(3);
  world.run(milliseconds(2000));
  auto *first = world.holder();
  REQUIRE(first);
  first->Suspended = true;
  world.run(milliseconds(7000));
  first->Suspended = false;
  CHECK_FALSE(first->Lease->mayOrder());
  world.run(milliseconds(2000));
  CHECK_FALSE(first->Lease->held());
  CHECK_FALSE(world.OrderedTooSoon);
}

TEST_CASE(
    "a holder that sends heartbeats keeps its lease until the lease expires",
    "[lease]") {
  LeaseWorld world(4, 2);
  world.run(milliseconds(2000));
  auto *first = world.holder();
  REQUIRE(first);
  auto &other =
      first == world.Hosts[0].get() ? *world.Hosts[1] : *world.Hosts[0];
  first->Partitioned = true;
  SECTION("an expired lease is taken over though its holder sends heartbeats") {
    for (int it = 0; it < 160; ++it) {
      world.run(LeaseStep);
      other.Lease->onHolderHeartbeat(first->Lease->version(),
                                     first->Lease->remaining());
    }
    CHECK(world.holder() == &other);
  }
  SECTION("a lease that has not expired is not taken over") {
    for (int it = 0; it < 160; ++it) {
      world.run(LeaseStep);
      other.Lease->onHolderHeartbeat(first->Lease->version(),
                                     milliseconds(1000));
    }
    CHECK_FALSE(other.Lease->held());
  }
  CHECK_FALSE(world.OrderedTooSoon);
}

TEST_CASE("a holder that the table refuses but that sends heartbeats is "
          "succeeded as soon as its lease has expired",
          "[lease]") {
  LeaseWorld world(4, 2);
  world.run(milliseconds(2000));
  auto *first = world.holder();
  REQUIRE(first);
  auto &other =
      first == world.Hosts[0].get() ? *world.Hosts[1] : *world.Hosts[0];
  auto runWithHeartbeats = [&](Span span) {
    for (Span elapsed{0}; elapsed < span; elapsed += LeaseStep) {
      world.run(LeaseStep);
      other.Lease->onHolderHeartbeat(first->Lease->version(),
                                     first->Lease->remaining());
    }
  };
  // Renewals change the row while the other node only receives heartbeats.
  runWithHeartbeats(milliseconds(3000));
  first->Partitioned = true;
  while (first->Lease->mayOrder())
    runWithHeartbeats(LeaseStep);
  runWithHeartbeats(Handover + milliseconds(250) + 4 * LeaseStep);
  CHECK(world.holder() == &other);
  CHECK_FALSE(world.OrderedTooSoon);
}

TEST_CASE("heartbeats with a long transit time do not extend a lease",
          "[lease]") {
  LeaseWorld world(4, 2);
  world.run(milliseconds(2000));
  auto *first = world.holder();
  REQUIRE(first);
  auto &other =
      first == world.Hosts[0].get() ? *world.Hosts[1] : *world.Hosts[0];
  auto sendHeartbeat = [&](Span remaining) {
    other.Lease->onHolderHeartbeat(first->Lease->version(), remaining);
  };
  first->Partitioned = true;
  world.run(LeaseStep);
  auto remaining = first->Lease->remaining();
  sendHeartbeat(remaining);
  // The same heartbeat repeatedly, each time after a longer transit.
  while (first->Lease->mayOrder()) {
    world.run(LeaseStep);
    sendHeartbeat(remaining);
  }
  world.run(Handover + milliseconds(250) + 4 * LeaseStep);
  CHECK(world.holder() == &other);
  CHECK_FALSE(world.OrderedTooSoon);
}

TEST_CASE("a released lease can be taken at once", "[lease]") {
  LeaseWorld world(5);
  world.run(milliseconds(2000));
  auto *first = world.holder();
  REQUIRE(first);
  first->Lease->release();
  CHECK_FALSE(first->Lease->mayOrder());
  world.run(milliseconds(1500));
  bool taken = false;
  for (auto &it : world.Hosts)
    taken = taken || (it.get() != first && it->Lease->held());
  CHECK(taken);
  world.run(milliseconds(3500));
  CHECK(world.holder());
  CHECK_FALSE(world.OrderedTooSoon);
}

TEST_CASE("a lease that is handed over is taken by another host", "[lease]") {
  LeaseWorld world(9, 2);
  world.run(milliseconds(2000));
  auto *first = world.holder();
  REQUIRE(first);
  first->Lease->handOver();
  CHECK_FALSE(first->Lease->mayOrder());
  world.run(milliseconds(5000));
  auto *next = world.holder();
  REQUIRE(next);
  CHECK(next != first);
  CHECK_FALSE(world.OrderedTooSoon);
  SECTION("the first host takes it again if that one stops") {
    next->Suspended = true;
    world.run(milliseconds(8000));
    CHECK(world.holder() == first);
    CHECK_FALSE(world.OrderedTooSoon);
  }
}

// A hand-over without an answer may be in force when the holder's time to
// abstain ends.
TEST_CASE("a holder whose hand-over got no answer has no right until it has "
          "written the row again",
          "[lease]") {
  LeaseWorld world(9, 3, CellLease::Settings{});
  world.run(milliseconds(2000));
  auto *first = world.holder();
  REQUIRE(first);
  SECTION("the hand-over took effect") {
    first->Lease->handOver();
    first->CutOffUntil = world.Time.now() + milliseconds(9000);
    for (Span elapsed{0}; elapsed < milliseconds(9000); elapsed += LeaseStep) {
      world.run(LeaseStep);
      CHECK_FALSE(first->Lease->mayOrder());
      CHECK(first->Lease->remaining() == Span(0));
    }
    CHECK(world.holder());
    world.run(milliseconds(2000));
    CHECK_FALSE(first->Lease->held());
  }
  SECTION("the hand-over did not take effect") {
    world.Table.Faults.LoseRequest = 1;
    first->Lease->handOver();
    CHECK_FALSE(first->Lease->mayOrder());
    CHECK(first->Lease->held());
    world.Table.Faults = {};
    world.run(milliseconds(1000));
    CHECK(world.holder() == first);
    CHECK(first->Lease->fence() == 1);
  }
  CHECK_FALSE(world.isBroken());
}

// The holder may still have ordered after the read was sent.
TEST_CASE("a lease that is released while a read is on its way is used after "
          "the whole handover",
          "[lease]") {
  for (auto phase = LeaseStep; phase <= milliseconds(2000);
       phase += LeaseStep) {
    CAPTURE(phase.count());
    LeaseWorld world(9, 2, CellLease::Settings{});
    world.run(milliseconds(2000));
    auto *first = world.holder();
    REQUIRE(first);
    world.Table.Faults.RequestDelay = milliseconds(1500);
    world.run(phase);
    world.Table.Faults = {};
    first->Lease->handOver();
    world.run(milliseconds(9000));
    CHECK_FALSE(world.OrderedTooSoon);
    CHECK_FALSE(world.FenceNotIncreased);
  }
}

TEST_CASE("a peer's report of a lease is no reason to take it", "[lease]") {
  LeaseWorld world(10, 1);
  auto &host = *world.Hosts[0];
  host.Partitioned = true;
  host.Lease->onPeerRow({"host-9", "host-9-1", "10.0.0.9:7", 4, false, true});
  world.run(milliseconds(10000));
  CHECK_FALSE(host.Lease->held());
  REQUIRE(host.Lease->row());
  CHECK(host.Lease->row()->Address == "10.0.0.9:7");
  // The table shows that nobody has ever held the lease.
  host.Partitioned = false;
  world.run(milliseconds(3000));
  CHECK(host.Lease->held());
}

TEST_CASE("a restarted process on the holder's host keeps the lease",
          "[lease]") {
  LeaseWorld world(6);
  world.run(milliseconds(3000));
  auto *first = world.holder();
  REQUIRE(first);
  first->restart();
  world.run(milliseconds(1500));
  CHECK(world.holder() == first);
  CHECK(first->Lease->fence() == 2);
}

TEST_CASE(
    "a holder that restarts while it waits for its predecessor goes on waiting",
    "[lease]") {
  LeaseWorld world(7, 2);
  world.run(milliseconds(3000));
  auto *first = world.holder();
  REQUIRE(first);
  auto &other =
      first == world.Hosts[0].get() ? *world.Hosts[1] : *world.Hosts[0];
  first->Suspended = true;
  while (!other.Lease->held())
    world.run(LeaseStep);
  other.restart();
  world.run(milliseconds(10000));
  CHECK(world.holder() == &other);
  CHECK_FALSE(world.OrderedTooSoon);
}

TEST_CASE("a row that cannot be parsed counts as another holder's", "[lease]") {
  LeaseWorld world(8, 1);
  world.Table.Rows["lease/hall-a"] = {"lease/hall-a", 5, "no lease row"};
  world.run(milliseconds(1000));
  CHECK_FALSE(world.holder());
  world.run(milliseconds(8000));
  CHECK(world.holder());
}

TEST_CASE("no two hosts order within the handover under random failures",
          "[lease]") {
  REQUIRE(rc::check([] {
    auto seed = *rc::gen::arbitrary<std::uint64_t>();
    std::mt19937_64 random(seed);
    // Half of the leases outlast the time for which a host abstains.
    LeaseWorld world(seed, 3,
                     random() % 2 ? shortLeases() : CellLease::Settings{});
    auto chance = [&random](double p) {
      return std::uniform_real_distribution<double>(0, 1)(random) < p;
    };
    world.Table.Faults.NotSent = chance(0.5) ? 0.1 : 0;
    world.Table.Faults.LoseAnswer = chance(0.5) ? 0.35 : 0;
    world.Table.Faults.LoseRequest = chance(0.5) ? 0.1 : 0;
    world.Table.Faults.Late = chance(0.5) ? 0.2 : 0;
    constexpr int Rounds = 60;
    for (int it = 0; it < Rounds; ++it) {
      for (auto &host : world.Hosts) {
        if (chance(0.1))
          host->Suspended = !host->Suspended;
        if (chance(0.1))
          host->Partitioned = !host->Partitioned;
        if (!host->Suspended && chance(0.05))
          host->restart();
        if (!host->Suspended && chance(0.05))
          host->Lease->handOver();
      }
      world.Table.Down = chance(0.1);
      for (int step = 0; step < 10; ++step) {
        world.run(LeaseStep);
        // Hosts receive each other's heartbeats, some of them late.
        for (auto &from : world.Hosts)
          for (auto &to : world.Hosts)
            if (!from->Suspended && chance(0.3))
              world.Time.after(milliseconds(chance(0.2) ? 400 : 1),
                               [lease = to->Lease,
                                version = from->Lease->version(),
                                remaining = from->Lease->remaining(),
                                held = from->Lease->held()] {
                                 if (held)
                                   lease->onHolderHeartbeat(version, remaining);
                               });
      }
    }
    RC_ASSERT(!world.OrderedTooSoon);
    RC_ASSERT(!world.FenceNotIncreased);
    RC_ASSERT(!world.GrantedByTwo);
  }));
}

} // namespace hemlockglade::test
