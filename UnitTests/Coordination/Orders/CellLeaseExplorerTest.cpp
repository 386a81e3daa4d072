// Runs every sequence of a few events, up to a depth, on two hosts and a table
// that can be rolled back.

#include "UnitTests/Coordination/Orders/CellLeaseRollback.h"

#include <catch2/catch.hpp>

namespace hemlockglade::test {

namespace {

enum class LeaseEvent : std::uint8_t {
  Nothing,
  ToggleSuspended,
  TogglePartitioned,
  TogglePartitionedOther,
  Restart,
  LoseAnswers,
  RollBackBriefly,
  RollBackFar,
};
constexpr std::size_t LeaseEvents = 8;

void apply(RollbackWorld &world, LeaseEvent event) {
  auto &first = *world.Hosts[0];
  auto &other = *world.Hosts[1];
  world.Table.Faults.LoseAnswer = 0;
  switch (event) {
  case LeaseEvent::Nothing:
    return;
  case LeaseEvent::ToggleSuspended:
    first.Suspended = !first.Suspended;
    return;
  case LeaseEvent::TogglePartitioned:
    first.Partitioned = !first.Partitioned;
    return;
  case LeaseEvent::TogglePartitionedOther:
    other.Partitioned = !other.Partitioned;
    return;
  case LeaseEvent::Restart:
    return first.restart();
  case LeaseEvent::LoseAnswers:
    world.Table.Faults.LoseAnswer = 1;
    return;
  case LeaseEvent::RollBackBriefly:
    return world.rollBack(milliseconds(900), milliseconds(100));
  case LeaseEvent::RollBackFar:
    return world.rollBack(milliseconds(6000), milliseconds(100));
  }
}

std::string textOf(const std::vector<LeaseEvent> &events) {
  std::string out;
  for (auto it : events)
    out += std::to_string(static_cast<int>(it)) + " ";
  return out;
}

/// Number of sequences, and of those in which two hosts ordered within the
/// handover, or a fencing number fell or was given out twice; and one of the
/// latter.
struct ExploreResult {
  int RunCount = 0;
  int FailureCount = 0;
  std::string FirstFailure;
};

ExploreResult explore(std::size_t depth) {
  constexpr Span RunAfterEvent = milliseconds(2000);
  constexpr Span RunAfterSequence = milliseconds(7000);
  ExploreResult out;
  std::vector<LeaseEvent> events(depth, LeaseEvent::Nothing);
  for (bool more = true; more;) {
    RollbackWorld world(1, 2);
    world.runWithCopies(milliseconds(1000));
    for (auto it : events) {
      apply(world, it);
      world.runWithCopies(RunAfterEvent);
    }
    world.Table.Faults.LoseAnswer = 0;
    for (auto &it : world.Hosts)
      it->Suspended = it->Partitioned = false;
    world.runWithCopies(RunAfterSequence);
    ++out.RunCount;
    if (world.OrderedTooSoon || world.FenceNotIncreased) {
      if (out.FailureCount++ == 0)
        out.FirstFailure = textOf(events);
    }
    more = false;
    for (auto &it : events) {
      auto next = (static_cast<std::size_t>(it) + 1) % LeaseEvents;
      it = static_cast<LeaseEvent>(next);
      if (next != 0) {
        more = true;
        break;
      }
    }
  }
  return out;
}

} // namespace

TEST_CASE(
    "no sequence of four events makes two hosts order within the handover",
    "[lease][drill]") {
  auto result = explore(4);
  CAPTURE(result.RunCount, result.FirstFailure);
  CHECK(result.FailureCount == 0);
}

TEST_CASE("no sequence of six events makes two hosts order within the handover",
          "[.][explore]") {
  auto result = explore(6);
  CAPTURE(result.RunCount, result.FirstFailure);
  CHECK(result.FailureCount == 0);
}

} // namespace hemlockglade::test
