#include "CellsRig.h"

using namespace hemlockglade;
using namespace hemlockglade::test;

namespace {

constexpr const char *Cell = "assistant/0";

/// A new owner of the cell, and a node that runs a request which the former
/// owner admitted.
struct Takeover : CellsRig {
  CellNode Entry{*this, "entry"};
  CellNode Owner{*this, "owner"};
  std::shared_ptr<CellRunner> Runner;

  Takeover() {
    Engine.Loaded = {"a@1"};
    REQUIRE(Entry.Cells.registerRequest(running("r1")));
  }
  static RegisteredRequest running(const std::string &id, Epoch admitted = 3) {
    return {id, Cell, "e1", "a@1", admitted};
  }
  bool adopted(std::size_t n) {
    return Owner.until([&] { return Runner->running() == n; });
  }
  bool recovered() {
    return Owner.until(
        [&] { return Owner.Cells.modeOf(Cell) == LeaseMode::Held; });
  }
};

} // namespace

TEST_CASE("a request of the former owner is adopted before anything is evicted",
          "[recovery]") {
  Takeover rig;
  // Without recovery the new owner doesn't know the running requests.
  CHECK(rig.Owner.Cells.modeOf(Cell) != LeaseMode::Held);
  rig.Runner = rig.Owner.own(4);
  CHECK(rig.Owner.Cells.modeOf(Cell) == LeaseMode::Recovering);
  REQUIRE(rig.recovered());
  CHECK(rig.adopted(1));
  // Requests with a grant of the former owner can't start any more.
  CHECK_FALSE(rig.Entry.Cells.registerRequest(Takeover::running("r2", 3)));
  CHECK(rig.Entry.Cells.registerRequest(Takeover::running("r3", 4)));
  // The end of the request releases its slot.
  rig.Entry.Cells.unregisterRequest(Takeover::running("r1"));
  CHECK(rig.adopted(0));
}

TEST_CASE("an owner of an older epoch is refused and its cell is never Held",
          "[recovery]") {
  for (bool newer : {true, false}) {
    CAPTURE(newer);
    Takeover rig;
    if (newer) {
      CellNode later(rig, "later");
      later.own(5);
      REQUIRE(later.until(
          [&] { return later.Cells.modeOf(Cell) == LeaseMode::Held; }));
      rig.Nodes.pop_back();
    }
    rig.Runner = rig.Owner.own(4);
    REQUIRE(rig.Owner.until([&] {
      return !rig.Entry.Streams.empty() &&
             (newer || rig.Owner.Cells.modeOf(Cell) == LeaseMode::Held);
    }));
    rig.settle(6);
    bool held = rig.Owner.Cells.modeOf(Cell) == LeaseMode::Held;
    CHECK(held == !newer);
    CHECK(rig.Runner->running() == (newer ? 0 : 1));
  }
}

TEST_CASE(
    "a request that ends while its stream is broken is released after the "
    "stream reopens",
    "[recovery]") {
  Takeover rig;
  rig.Entry.Cells.registerRequest(Takeover::running("r2"));
  rig.Runner = rig.Owner.own(4);
  REQUIRE(rig.recovered());
  REQUIRE(rig.adopted(2));
  for (auto &stream : rig.Entry.Streams)
    stream->close();
  REQUIRE(rig.Owner.until([&] { return !rig.Timers.empty(); }));
  rig.Entry.Streams.clear();
  rig.Entry.Cells.unregisterRequest(Takeover::running("r1"));
  rig.settle();
  // The end is not known until the stream is opened again.
  CHECK(rig.Runner->running() == 2);
  rig.fire();
  CHECK(rig.adopted(1));
  rig.Entry.Cells.unregisterRequest(Takeover::running("r2"));
  CHECK(rig.adopted(0));
}

TEST_CASE("a refusal on a reopened stream ends no request", "[recovery]") {
  Takeover rig;
  rig.Runner = rig.Owner.own(4);
  REQUIRE(rig.recovered());
  REQUIRE(rig.adopted(1));
  for (auto &stream : rig.Entry.Streams)
    stream->close();
  REQUIRE(rig.Owner.until([&] { return !rig.Timers.empty(); }));
  rig.Entry.Streams.clear();
  CellNode later(rig, "later");
  rig.Nodes.pop_back();
  later.own(5);
  REQUIRE(
      later.until([&] { return later.Cells.modeOf(Cell) == LeaseMode::Held; }));
  auto seen = rig.Entry.Streams.size();
  rig.fire();
  REQUIRE(rig.Owner.until([&] { return rig.Entry.Streams.size() > seen; }));
  REQUIRE(rig.Owner.until(
      [&] { return rig.Owner.Cells.modeOf(Cell) != LeaseMode::Held; }));
  // The request still runs, whichever node owns the cell.
  CHECK(rig.Runner->running() == 1);
}
