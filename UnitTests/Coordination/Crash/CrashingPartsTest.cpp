#include "Hemlockglade/Coordination/Crash/CrashRowFormat.h"
#include "Hemlockglade/Coordination/Crash/CrashSubject.h"
#include "Hemlockglade/Coordination/Crash/CrashTracker.h"
#include "Hemlockglade/Coordination/RowText.h"

#include <catch2/catch.hpp>
#include <random>

namespace hemlockglade::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

RequestKey part(std::uint64_t id) { return partKeyOf("s", id); }

/// Parts of prompts as nodes track them.
struct PartFixture {
  /// A replica ends while requests with these parts had not begun there;
  /// `soundAt` is when another answer last went on.
  void end(std::initializer_list<std::uint64_t> parts, Instant at,
           Instant soundAt) {
    auto incarnation = ++Ended;
    for (auto it : parts)
      Tracker.onEnd(part(it), {incarnation, at - seconds(1), at, 1, soundAt},
                    at);
  }
  bool isBarred(std::uint64_t id) {
    return Tracker.barredKeys().contains(part(id));
  }

  static CrashTracker::Settings settings() {
    CrashTracker::Settings out;
    out.ServedCrashLimit = 5;
    out.NeedsSoundBetween = true;
    out.BlamesOne = true;
    return out;
  }

  CrashTracker Tracker{settings()};
  std::uint64_t Ended = 0;
};

constexpr Instant Now = seconds(1000);

} // namespace

TEST_CASE("a part in each of three ends is barred, and what ran beside it is "
          "not",
          "[crash]") {
  PartFixture it;
  for (int n = 0; n < 3; ++n) {
    auto at = Now + n * seconds(1);
    it.end({1, 7, 9}, at, at - milliseconds(100));
    it.Tracker.onServed(part(1), at + milliseconds(300));
  }
  CHECK(it.isBarred(7));
  CHECK_FALSE(it.isBarred(1));
  // It was only ever seen beside the part that is barred, which comes first as
  // it is in one more end.
  it.end({7}, Now + seconds(4), Now + seconds(3));
  CHECK(it.isBarred(7));
  CHECK_FALSE(it.isBarred(9));
}

TEST_CASE("a part that has been served needs more ends to be barred",
          "[crash]") {
  PartFixture it;
  it.end({1}, Now, Now - seconds(1));
  it.Tracker.onServed(part(1), Now + milliseconds(100));
  for (int n = 1; n <= 5; ++n) {
    CHECK_FALSE(it.isBarred(1));
    auto at = Now + n * seconds(1);
    it.end({1}, at, at - milliseconds(100));
  }
  CHECK(it.isBarred(1));
}

TEST_CASE("the loss of all replicas bars no part", "[crash]") {
  PartFixture it;
  for (int n = 0; n < 12; ++n)
    it.end({1, 2, 3}, Now + n * milliseconds(200), Now - milliseconds(50));
  CHECK(it.Tracker.barred() == 0);
}

TEST_CASE("two parts that crash replicas are both barred", "[crash]") {
  PartFixture it;
  for (int n = 0; n < 3; ++n) {
    auto at = Now + n * seconds(2);
    it.end({1, 7}, at, at - milliseconds(100));
    it.end({2, 8}, at + seconds(1), at + milliseconds(900));
    it.Tracker.onServed(part(1), at + milliseconds(1500));
    it.Tracker.onServed(part(2), at + milliseconds(1500));
  }
  CHECK(it.isBarred(7));
  CHECK(it.isBarred(8));
  CHECK(it.Tracker.barred() == 2);
}

TEST_CASE("ends that something else explains do not count", "[crash]") {
  CrashTracker requests;
  RequestKey key({5});
  for (std::uint64_t n = 1; n <= 3; ++n)
    requests.onEnd(key, {n, Now, Now + seconds(n), n}, Now + seconds(n));
  REQUIRE(requests.barred() == 1);
  requests.setExplained({2});
  CHECK(requests.barred() == 0);
  CHECK(requests.crashesOf(key) == 2);
}

TEST_CASE("nodes come to the same verdict in whatever order records arrive",
          "[crash]") {
  std::mt19937 random(7);
  for (int round = 0; round < 200; ++round) {
    std::vector<CrashRecord> records;
    for (std::uint64_t id = 1; id <= 8; ++id) {
      CrashRecord record{part(id), {}, std::nullopt};
      if (random() % 3 == 0)
        record.ServedAt = Now;
      for (std::uint64_t n = 1; n <= 6; ++n)
        if (random() % 2)
          record.Crashes.push_back({n, Now, Now + seconds(n), 1,
                                    Now + seconds(n) - milliseconds(100)});
      records.push_back(record);
    }
    std::set<RequestKey> expected;
    for (int order = 0; order < 3; ++order) {
      PartFixture it;
      std::shuffle(records.begin(), records.end(), random);
      for (const auto &record : records)
        it.Tracker.merge(record, Now + seconds(10));
      if (order == 0)
        expected = it.Tracker.barredKeys();
      CHECK(it.Tracker.barredKeys() == expected);
    }
  }
}

TEST_CASE("drawn histories name the culprit soon and seldom an innocent part",
          "[crash]") {
  // Batches of requests that have not begun as their replica ends, each with
  // two of 44 parts; one more request has the culprit. Most others go on
  // elsewhere before the next end.
  constexpr std::uint64_t Culprit = 99;
  constexpr int Histories = 300;
  std::mt19937 random(11);
  int byThird = 0;
  int byFourth = 0;
  int innocent = 0;
  for (int round = 0; round < Histories; ++round) {
    PartFixture it;
    for (std::uint64_t id = 1; id <= 44; ++id)
      if (random() % 10)
        it.Tracker.merge({part(id), {{1000 + id, Now, Now - seconds(5)}}, Now},
                         Now);
    int ends = 0;
    for (; ends < 8 && !it.isBarred(Culprit); ++ends) {
      auto at = Now + (ends + 1) * milliseconds(500);
      it.end({1, Culprit}, at, at - milliseconds(50));
      --it.Ended;
      for (int n = 0; n < 4; ++n) {
        auto id = 1 + random() % 44;
        it.Tracker.onEnd(
            part(id),
            {it.Ended + 1, at - seconds(1), at, 1, at - milliseconds(50)}, at);
      }
      ++it.Ended;
      it.Tracker.onServed(part(1), at + milliseconds(100));
      for (int n = 0; n < 10; ++n)
        it.Tracker.onServed(part(1 + random() % 44), at + milliseconds(300));
    }
    byThird += ends <= 3;
    byFourth += ends <= 4;
    innocent += static_cast<int>(it.Tracker.barred()) - 1;
  }
  CHECK(byThird >= Histories * 49 / 50);
  CHECK(byFourth == Histories);
  CHECK(innocent <= Histories / 100);
}

TEST_CASE("records of parts and of requests share a row", "[crash]") {
  CrashRecord record{part(7), {{1, Now, Now, 2, Now - seconds(1)}}, {}};
  CrashRecord request{RequestKey({5}), {{1, Now, Now, 2}}, {}};
  auto row = encodeCrashRecords(std::span(&request, 1), 9, Now) +
             encodeCrashRecords(std::span(&record, 1), 9, Now, "part!");
  auto parts = decodeCrashRecords(row, Now, "part!");
  REQUIRE(parts.size() == 1);
  CHECK(parts[0].Key == record.Key);
  CHECK(parts[0].Crashes == record.Crashes);
  auto requests = decodeCrashRecords(row, Now);
  REQUIRE(requests.size() == 1);
  CHECK(requests[0].Crashes == request.Crashes);
  CHECK(part(0x1f).text().ends_with("000000000000001f"));
}

} // namespace hemlockglade::test
