#include "CellsRig.h"

using namespace hemlockglade;
using namespace hemlockglade::test;

namespace {

constexpr const char *Cell = "assistant/0";

/// A new owner of the cell, and a node that runs a request of the former one.
struct Takeover : CellsRig {
  CellNode Entry{*this, "entry"};
  CellNode Owner{*this, "owner"};
  std::shared_ptr<CellRunner> Runner;

  Takeover() {
    Engine.Loaded = {"a@1"};
    REQUIRE(Entry.Cells.enter(running("r1")));
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
  // Without recovery the new owner knows of nothing that runs.
  CHECK(rig.Owner.Cells.modeOf(Cell) != LeaseMode::Held);
  rig.Runner = rig.Owner.own(4);
  CHECK(rig.Owner.Cells.modeOf(Cell) == LeaseMode::Recovering);
  REQUIRE(rig.recovered());
  CHECK(rig.adopted(1));
  // The former owner's grants can't begin any more.
  CHECK_FALSE(rig.Entry.Cells.enter(Takeover::running("r2", 3)));
  CHECK(rig.Entry.Cells.enter(Takeover::running("r3", 4)));
  // Its end frees the slot.
  rig.Entry.Cells.leave(Takeover::running("r1"));
  CHECK(rig.adopted(0));
}

TEST_CASE("an owner of an older epoch is refused, and never holds the cell",
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

TEST_CASE("a request that ends while its stream is broken is heard of later",
          "[recovery]") {
  Takeover rig;
  rig.Entry.Cells.enter(Takeover::running("r2"));
  rig.Runner = rig.Owner.own(4);
  REQUIRE(rig.recovered());
  REQUIRE(rig.adopted(2));
  for (auto &stream : rig.Entry.Streams)
    stream->close();
  REQUIRE(rig.Owner.until([&] { return !rig.Timers.empty(); }));
  rig.Entry.Streams.clear();
  rig.Entry.Cells.leave(Takeover::running("r1"));
  rig.settle();
  // Until the stream is opened again nothing is known of it.
  CHECK(rig.Runner->running() == 2);
  rig.fire();
  CHECK(rig.adopted(1));
  rig.Entry.Cells.leave(Takeover::running("r2"));
  CHECK(rig.adopted(0));
}

TEST_CASE("a refusal of a stream that is opened again ends nothing",
          "[recovery]") {
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
  // The request runs, whoever owns the cell.
  CHECK(rig.Runner->running() == 1);
}
