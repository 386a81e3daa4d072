#include "UnitTests/Platform/Soak/SoakEndless.h"

#include "UnitTests/Platform/Soak/SentHistory.h"

#include <catch2/catch.hpp>

namespace hemlockglade::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The replica i-1 answers gateway g1 without end from second 10 on.
struct EndlessHistory : SentHistory {
  EndlessHistory() {
    auto &began = add("i-1", "endless_began", seconds(10));
    began.To = "g1";
    began.Run = 1;
  }

  void end(Instant at, bool byGateway) {
    auto &ended = add("i-1", "endless_ended", at);
    ended.Run = 1;
    ended.Whole = byGateway;
  }

  EndlessFindings check() {
    add("soak", "end", seconds(20));
    return checkEndless(Events);
  }
};

} // namespace

TEST_CASE("an answer without end that is open beyond the bound is found",
          "[endless]") {
  EndlessHistory it;
  SECTION("it is closed late") { it.end(milliseconds(14'001), true); }
  SECTION("it is never closed") {}
  SECTION("the replica ends it late") { it.end(milliseconds(14'001), false); }
  CHECK(it.check().Open.size() == 1);
}

TEST_CASE("an answer without end that is closed in time is no violation",
          "[endless]") {
  EndlessHistory it;
  it.end(milliseconds(14'000), true);
  auto findings = it.check();
  CHECK(findings.Checked == 1);
  CHECK(findings.Open.empty());
  CHECK(findings.MaxOpen == seconds(4));
}

TEST_CASE("an answer that the replica ended within the bound shows nothing",
          "[endless]") {
  EndlessHistory it;
  it.end(seconds(12), false);
  CHECK(it.check().Checked == 0);
}

TEST_CASE("a gateway that was paused within the bound may close late",
          "[endless]") {
  EndlessHistory it;
  it.add("soak", "paused", seconds(11)).To = "g1";
  it.add("soak", "woken", seconds(16)).To = "g1";
  it.end(seconds(16), true);
  CHECK(it.check().Open.empty());
  SECTION("not if another one was") {
    EndlessHistory other;
    other.add("soak", "paused", seconds(11)).To = "g2";
    other.end(seconds(16), true);
    CHECK(other.check().Open.size() == 1);
  }
}

TEST_CASE("numbers of answers are those of their replica", "[endless]") {
  EndlessHistory it;
  auto &ended = it.add("i-2", "endless_ended", seconds(11));
  ended.Run = 1;
  ended.Whole = true;
  CHECK(it.check().Open.size() == 1);
}

TEST_CASE("a caller that gets bytes without end is found", "[endless]") {
  EndlessHistory it;
  it.end(seconds(11), true);
  it.add("callers", "got_endless", seconds(11)).Tag = "t1";
  CHECK(it.check().Delivered.size() == 1);
}

} // namespace hemlockglade::soak
