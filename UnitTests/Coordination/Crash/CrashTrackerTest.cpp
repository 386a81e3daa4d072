#include "Hemlockglade/Coordination/Crash/CrashTracker.h"
#include "Hemlockglade/Coordination/RowText.h"

#include "Hemlockglade/Coordination/Crash/CrashRowFormat.h"

#include <catch2/catch.hpp>
#include <random>
#include <rapidcheck.h>

namespace hemlockglade::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

RequestKey keyOf(std::uint8_t n) {
  return RequestKey({n, n, n, n, n, n, n, n, n, n, n, n, n, n, n, n});
}

const RequestKey Key = keyOf(1);
constexpr Instant Start = seconds(1000);

/// The crash of the n-th replica, each two seconds after the one before.
ReplicaCrash crashOf(int n) {
  auto at = Start + seconds(2) * n;
  return {static_cast<std::uint64_t>(n + 1), at - milliseconds(300), at};
}

CrashTracker trackerWith(int crashes) {
  CrashTracker out;
  for (int it = 0; it < crashes; ++it)
    out.onEnd(Key, crashOf(it), crashOf(it).EndedAt);
  return out;
}

constexpr Instant Later = Start + seconds(30);

} // namespace

TEST_CASE("the third crash under a request bars it", "[crash]") {
  CHECK_FALSE(trackerWith(2).barredFor(Key, Later));
  auto tracker = trackerWith(3);
  CHECK(tracker.barredFor(Key, Later));
  CHECK_FALSE(tracker.barredFor(keyOf(2), Later));
  CHECK(tracker.barred() == 1);
}

TEST_CASE("a crash that is reported twice counts once", "[crash]") {
  auto tracker = trackerWith(2);
  auto revision = tracker.revision();
  CHECK_FALSE(tracker.onEnd(Key, crashOf(1), Later));
  CHECK(tracker.crashesOf(Key) == 2);
  CHECK(tracker.revision() == revision);
}

TEST_CASE("replicas that end within the same-failure window count once",
          "[crash]") {
  CrashTracker tracker;
  auto sent = Start - seconds(1);
  for (std::uint64_t incarnation = 1; incarnation <= 4; ++incarnation)
    tracker.onEnd(Key, {incarnation, sent, Start + milliseconds(incarnation)},
                  Later);
  CHECK(tracker.crashesOf(Key) == 1);
  // Except if the request was sent again after the crash before.
  tracker.onEnd(Key, {9, Start + milliseconds(2), Start + milliseconds(6)},
                Later);
  CHECK(tracker.crashesOf(Key) == 2);
}

TEST_CASE(
    "a series of crashes counts as one only within the window of the first",
    "[crash]") {
  CrashTracker tracker;
  auto sent = Start - seconds(1);
  // Each ends within the same-failure window of the one before.
  for (std::uint64_t incarnation = 1; incarnation <= 6; ++incarnation)
    tracker.onEnd(Key,
                  {incarnation, sent, Start + milliseconds(60) * incarnation},
                  Later);
  CHECK(tracker.crashesOf(Key) == 3);
}

TEST_CASE("replicas that end in several failure domains count separately",
          "[crash]") {
  CrashTracker tracker;
  auto sent = Start - seconds(1);
  for (std::uint64_t incarnation = 1; incarnation <= 3; ++incarnation) {
    ReplicaCrash crash{incarnation, sent, Start + milliseconds(incarnation)};
    crash.Domain = digestOf("hall-" + std::to_string(incarnation));
    tracker.onEnd(Key, crash, Later);
  }
  CHECK(tracker.crashesOf(Key) == 3);
}

TEST_CASE("a completed request is cleared of earlier crashes", "[crash]") {
  auto tracker = trackerWith(3);
  CHECK(tracker.onServed(Key, Later));
  CHECK_FALSE(tracker.barredFor(Key, Later));
  // A report of a crash before that may still arrive.
  CHECK_FALSE(tracker.onEnd(Key, crashOf(5), Later));
  CHECK(tracker.crashesOf(Key) == 0);
  CHECK_FALSE(tracker.onServed(Key, Later));
  CHECK(
      tracker.onEnd(Key, {77, Later, Later + seconds(1)}, Later + seconds(1)));
  CHECK(tracker.crashesOf(Key) == 1);
}

TEST_CASE("nodes run trials of a barred request one after the other",
          "[crash]") {
  constexpr std::size_t Nodes = 5;
  auto lastCrashAt = crashOf(2).EndedAt;
  std::vector<Instant> trials;
  for (std::size_t slot = 0; slot < Nodes; ++slot) {
    auto tracker = trackerWith(3);
    tracker.setTrialSlot(slot, Nodes);
    auto wait = tracker.barredFor(Key, lastCrashAt);
    REQUIRE(wait);
    auto at = lastCrashAt + *wait;
    trials.push_back(at);
    REQUIRE_FALSE(tracker.barredFor(Key, at));
    tracker.onSent(Key, at);
    // Its next trial comes after those of all other nodes.
    CHECK(tracker.barredFor(Key, at) == minutes(10) * Nodes);
  }
  std::sort(trials.begin(), trials.end());
  for (std::size_t it = 0; it < Nodes; ++it)
    CHECK(trials[it] == lastCrashAt + minutes(10) * (it + 1));
}

TEST_CASE(
    "suspected requests expire after ten minutes, barred ones after a day",
    "[crash]") {
  auto suspected = trackerWith(2);
  suspected.removeExpired(crashOf(1).EndedAt + minutes(10) - seconds(1));
  CHECK(suspected.suspects() == 1);
  suspected.removeExpired(crashOf(1).EndedAt + minutes(10));
  CHECK(suspected.suspects() == 0);
  auto barred = trackerWith(3);
  barred.removeExpired(crashOf(2).EndedAt + minutes(60));
  CHECK(barred.barred() == 1);
  barred.removeExpired(crashOf(2).EndedAt + minutes(24 * 60));
  CHECK(barred.barred() == 0);
}

TEST_CASE("a full table evicts suspected requests, not barred ones",
          "[crash]") {
  CrashTracker::Settings settings;
  settings.MaxKeys = 10;
  CrashTracker tracker(settings);
  for (int it = 0; it < 3; ++it)
    tracker.onEnd(Key, crashOf(it), Later);
  for (std::uint8_t n = 2; n < 200; ++n)
    tracker.onEnd(keyOf(n), {n, Later, Later + milliseconds(n)}, Later);
  CHECK(tracker.suspects() == 10);
  CHECK(tracker.barredFor(Key, Later));
}

TEST_CASE("records survive encoding and decoding as a row", "[crash]") {
  auto tracker = trackerWith(3);
  tracker.onEnd(keyOf(2), crashOf(4), Later);
  auto row = encodeCrashRecords(tracker.since(0), 24, Later);
  CHECK(row.find(' ') == std::string::npos);
  // Another process with its own clock decodes them.
  constexpr Instant Elsewhere = seconds(5);
  CrashTracker other;
  for (const auto &it : decodeCrashRecords(row, Elsewhere))
    other.merge(it, Elsewhere);
  CHECK(other.barredFor(Key, Elsewhere) == tracker.barredFor(Key, Later));
  CHECK(other.crashesOf(keyOf(2)) == 1);
  auto one = encodeCrashRecords(tracker.since(0), 1, Later);
  CHECK(decodeCrashRecords(one, Later).size() == 1);
  CHECK(decodeCrashRecords("nonsense;01:2.3;;" + row + "x", Later).size() == 2);
}

TEST_CASE("nodes that exchange records converge on the same result",
          "[crash]") {
  REQUIRE(rc::check([](std::uint64_t seed) {
    std::mt19937_64 random(seed);
    constexpr std::size_t Nodes = 4;
    std::vector<CrashTracker> trackers(Nodes);
    std::vector<std::vector<std::uint64_t>> sentRevisions(
        Nodes, std::vector<std::uint64_t>(Nodes));
    // Message delay shifts all times in the records.
    auto deliver = [&](std::size_t from, std::size_t to, Instant now) {
      auto records = trackers[from].since(
          std::exchange(sentRevisions[from][to], trackers[from].revision()));
      Span delay(static_cast<std::int64_t>(random() % 50'000));
      for (auto &it : records) {
        for (auto &crash : it.Crashes) {
          crash.SentAt += delay;
          crash.EndedAt += delay;
        }
        if (it.ServedAt)
          *it.ServedAt += delay;
        trackers[to].merge(it, now + delay);
      }
      return !records.empty();
    };
    int crashes = 0;
    for (int step = 0; step < 40; ++step) {
      auto now = Start + milliseconds(400) * step;
      auto node = random() % Nodes;
      if (random() % 3 == 0) {
        trackers[node].onEnd(
            Key, {random() % 6 + 1, now - milliseconds(300), now}, now);
        ++crashes;
      } else if (crashes && random() % 16 == 0) {
        trackers[node].onServed(Key, now);
      } else {
        deliver(node, random() % Nodes, now);
      }
    }
    constexpr int MaxRounds = 20;
    int rounds = 0;
    for (bool changed = true; changed && rounds < MaxRounds; ++rounds) {
      changed = false;
      for (std::size_t from = 0; from < Nodes; ++from)
        for (std::size_t to = 0; to < Nodes; ++to)
          if (from != to && deliver(from, to, Later))
            changed = true;
    }
    RC_ASSERT(rounds < MaxRounds);
    for (const auto &it : trackers)
      RC_ASSERT(it.barredFor(Key, Later).has_value() ==
                trackers[0].barredFor(Key, Later).has_value());
  }));
}

} // namespace hemlockglade::test
