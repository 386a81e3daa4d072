#include "UnitTests/Platform/Soak/SoakVersions.h"

#include <catch2/catch.hpp>

using namespace hemlockglade;
using namespace hemlockglade::soak;
using std::chrono::milliseconds;

namespace {

constexpr Span Bound = milliseconds(2000);
constexpr Span Contact = milliseconds(3000);

HistoryEvent at(int ms, std::string event) {
  HistoryEvent out;
  out.At = Instant(milliseconds(ms));
  out.Event = std::move(event);
  return out;
}

HistoryEvent atNode(int ms, std::string event) {
  auto out = at(ms, std::move(event));
  out.To = "n1";
  return out;
}

HistoryEvent declared(int ms, std::string adapter) {
  auto out = at(ms, "named");
  out.Adapter = std::move(adapter);
  return out;
}

/// Returns a history in which version 2 is acknowledged at 10 s and a request
/// that was sent `delay` earlier begins on version 1. Times in ms.
std::vector<HistoryEvent> run(int begunAt, std::vector<HistoryEvent> between,
                              int delay = 5) {
  auto sent = atNode(begunAt - delay, "sent");
  sent.Tag = "t1";
  auto ran = at(begunAt, "ran");
  ran.Tag = "t1";
  ran.Adapter = "m/a1@1";
  ran.AskedAt = Instant(milliseconds(begunAt - delay));
  between.insert(between.end(), {atNode(0, "node_started"),
                                 declared(10'000, "m/a1@2"), sent, ran});
  std::stable_sort(between.begin(), between.end(),
                   [](const auto &a, const auto &b) { return a.At < b.At; });
  return between;
}

std::size_t late(const std::vector<HistoryEvent> &events) {
  return checkVersions(events, Bound, Contact).Late.size();
}

} // namespace

TEST_CASE("a request that begins on a version replaced for longer than the "
          "bound is late") {
  CHECK(late(run(12'000, {})) == 0);
  CHECK(late(run(12'001, {})) == 1);
  CHECK(checkVersions(run(12'000, {}), Bound, Contact).Replaced == 1);
  CHECK(checkVersions(run(9'900, {}), Bound, Contact).Replaced == 0);
}

TEST_CASE("a further version declared later does not extend the bound") {
  CHECK(late(run(12'001, {declared(11'500, "m/a1@3")})) == 1);
  CHECK(late(run(12'001, {declared(11'500, "m/a2@2")})) == 1);
}

TEST_CASE("a request that an engine delayed is checked when it begins") {
  CHECK(late(run(12'500, {}, 2400)) == 1);
  CHECK(late(run(12'500, {atNode(10'500, "killed")}, 2400)) == 1);
}

TEST_CASE("a gateway is checked again after it was undisturbed for the contact "
          "time") {
  for (const auto *event : {"killed", "node_started", "terminated"}) {
    CHECK(late(run(13'000, {atNode(9'996, event)})) == 0);
    CHECK(late(run(13'000, {atNode(9'994, event)})) == 1);
  }
  auto paused = atNode(8'000, "paused");
  CHECK(late(run(13'000, {paused})) == 0);
  CHECK(late(run(13'000, {paused, atNode(9'996, "woken")})) == 0);
  CHECK(late(run(13'000, {paused, atNode(9'994, "woken")})) == 1);
  auto other = at(12'900, "killed");
  other.To = "n2";
  CHECK(late(run(13'000, {other})) == 1);
}

TEST_CASE(
    "the bound starts again when a disturbance of the store or links ends") {
  auto silent = at(10'500, "silent");
  auto harmed = atNode(10'500, "harmed");
  CHECK(late(run(20'000, {silent})) == 0);
  CHECK(late(run(13'000, {silent, at(11'000, "answering")})) == 0);
  CHECK(late(run(13'001, {silent, at(11'000, "answering")})) == 1);
  CHECK(late(run(13'000, {harmed, atNode(11'000, "mended")})) == 0);
  CHECK(late(run(13'001, {harmed, atNode(11'000, "mended")})) == 1);
  CHECK(late(run(13'000, {silent, harmed, at(11'000, "answering")})) == 0);
  CHECK(late(run(13'500, {silent, harmed, at(11'000, "answering"),
                          atNode(11'600, "mended")})) == 0);
  CHECK(late(run(13'700, {silent, harmed, at(11'000, "answering"),
                          atNode(11'600, "mended")})) == 1);
}

TEST_CASE("a disturbed link to a replica excuses requests sent soon after it") {
  auto harmed = at(10'100, "harmed");
  CHECK(late(run(13'200, {harmed, at(10'200, "mended")})) == 0);
  CHECK(late(run(13'300, {harmed, at(10'200, "mended")})) == 1);
}
