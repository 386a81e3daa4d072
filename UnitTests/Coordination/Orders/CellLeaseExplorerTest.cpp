// Plays every sequence of a few events, up to a depth, on two hosts and a table
// that steps back.

#include "UnitTests/Coordination/Orders/CellLeaseDrill.h"

#include <catch2/catch.hpp>

namespace hemlockglade::test {

namespace {

enum class LeaseEvent : std::uint8_t {
  Nothing,
  FreezeOrWake,
  CutOrJoin,
  CutOrJoinOther,
  Restart,
  LoseAnswers,
  StepBackAMoment,
  StepBackFar,
};
constexpr std::size_t LeaseEvents = 8;

void apply(DrillWorld &world, LeaseEvent event) {
  auto &first = *world.Hosts[0];
  auto &other = *world.Hosts[1];
  world.Table.Faults.LoseAnswer = 0;
  switch (event) {
  case LeaseEvent::Nothing:
    return;
  case LeaseEvent::FreezeOrWake:
    first.Frozen = !first.Frozen;
    return;
  case LeaseEvent::CutOrJoin:
    first.Cut = !first.Cut;
    return;
  case LeaseEvent::CutOrJoinOther:
    other.Cut = !other.Cut;
    return;
  case LeaseEvent::Restart:
    return first.restart();
  case LeaseEvent::LoseAnswers:
    world.Table.Faults.LoseAnswer = 1;
    return;
  case LeaseEvent::StepBackAMoment:
    return world.stepBack(milliseconds(900), milliseconds(100));
  case LeaseEvent::StepBackFar:
    return world.stepBack(milliseconds(6000), milliseconds(100));
  }
}

std::string textOf(const std::vector<LeaseEvent> &events) {
  std::string out;
  for (auto it : events)
    out += std::to_string(static_cast<int>(it)) + " ";
  return out;
}

/// Sequences in which two hosts ordered within the handover, or an epoch number
/// fell or was given out twice; and one of them.
struct Found {
  int Played = 0;
  int Broken = 0;
  std::string First;
};

Found explore(std::size_t depth) {
  constexpr Span Between = milliseconds(2000);
  constexpr Span After = milliseconds(7000);
  Found out;
  std::vector<LeaseEvent> events(depth, LeaseEvent::Nothing);
  for (bool more = true; more;) {
    DrillWorld world(1, 2);
    world.play(milliseconds(1000));
    for (auto it : events) {
      apply(world, it);
      world.play(Between);
    }
    world.Table.Faults.LoseAnswer = 0;
    for (auto &it : world.Hosts)
      it->Frozen = it->Cut = false;
    world.play(After);
    ++out.Played;
    if (world.TooSoon || world.FenceFell) {
      if (out.Broken++ == 0)
        out.First = textOf(events);
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

TEST_CASE("no sequence of four events makes two hosts order",
          "[lease][drill]") {
  auto found = explore(4);
  CAPTURE(found.Played, found.First);
  CHECK(found.Broken == 0);
}

TEST_CASE("no sequence of six events makes two hosts order", "[.][explore]") {
  auto found = explore(6);
  CAPTURE(found.Played, found.First);
  CHECK(found.Broken == 0);
}

} // namespace hemlockglade::test
