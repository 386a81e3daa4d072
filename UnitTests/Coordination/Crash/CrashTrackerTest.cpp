#include "Hemlockglade/Coordination/Crash/CrashTracker.h"

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

/// An end of the n-th replica, each some seconds after the one before.
ReplicaCrash endOf(int n) {
  auto at = Start + seconds(2) * n;
  return {static_cast<std::uint64_t>(n + 1), at - milliseconds(300), at};
}

CrashTracker bookWith(int ends) {
  CrashTracker out;
  for (int it = 0; it < ends; ++it)
    out.onEnd(Key, endOf(it), endOf(it).EndedAt);
  return out;
}

constexpr Instant Later = Start + seconds(30);

} // namespace

TEST_CASE("the third end under a request bars it", "[crash]") {
  CHECK_FALSE(bookWith(2).barredFor(Key, Later));
  auto book = bookWith(3);
  CHECK(book.barredFor(Key, Later));
  CHECK_FALSE(book.barredFor(keyOf(2), Later));
  CHECK(book.barred() == 1);
}

TEST_CASE("an end that is told again does not count again", "[crash]") {
  auto book = bookWith(2);
  auto number = book.revision();
  CHECK_FALSE(book.onEnd(Key, endOf(1), Later));
  CHECK(book.crashesOf(Key) == 2);
  CHECK(book.revision() == number);
}

TEST_CASE("replicas that end together count once", "[crash]") {
  CrashTracker book;
  auto sent = Start - seconds(1);
  for (std::uint64_t life = 1; life <= 4; ++life)
    book.onEnd(Key, {life, sent, Start + milliseconds(life)}, Later);
  CHECK(book.crashesOf(Key) == 1);
  // Unless the request was sent again after the one before.
  book.onEnd(Key, {9, Start + milliseconds(2), Start + milliseconds(6)}, Later);
  CHECK(book.crashesOf(Key) == 2);
}

TEST_CASE("ends that follow on each other do not count as one for ever",
          "[crash]") {
  CrashTracker book;
  auto sent = Start - seconds(1);
  // Each ends within the time of one failure after the one before.
  for (std::uint64_t life = 1; life <= 6; ++life)
    book.onEnd(Key, {life, sent, Start + milliseconds(60) * life}, Later);
  CHECK(book.crashesOf(Key) == 3);
}

TEST_CASE("replicas of several failure domains do not end for one reason",
          "[crash]") {
  CrashTracker book;
  auto sent = Start - seconds(1);
  for (std::uint64_t life = 1; life <= 3; ++life) {
    ReplicaCrash end{life, sent, Start + milliseconds(life)};
    end.Domain = crashTag("hall-" + std::to_string(life));
    book.onEnd(Key, end, Later);
  }
  CHECK(book.crashesOf(Key) == 3);
}

TEST_CASE("a whole run clears a request of what ended before", "[crash]") {
  auto book = bookWith(3);
  CHECK(book.onServed(Key, Later));
  CHECK_FALSE(book.barredFor(Key, Later));
  // News of an end before that run may still be on its way.
  CHECK_FALSE(book.onEnd(Key, endOf(5), Later));
  CHECK(book.crashesOf(Key) == 0);
  CHECK_FALSE(book.onServed(Key, Later));
  CHECK(book.onEnd(Key, {77, Later, Later + seconds(1)}, Later + seconds(1)));
  CHECK(book.crashesOf(Key) == 1);
}

TEST_CASE("a barred request is tried by one node after the other", "[crash]") {
  constexpr std::size_t Nodes = 5;
  auto lastEnd = endOf(2).EndedAt;
  std::vector<Instant> trials;
  for (std::size_t turn = 0; turn < Nodes; ++turn) {
    auto book = bookWith(3);
    book.setTrialSlot(turn, Nodes);
    auto wait = book.barredFor(Key, lastEnd);
    REQUIRE(wait);
    auto at = lastEnd + *wait;
    trials.push_back(at);
    REQUIRE_FALSE(book.barredFor(Key, at));
    book.onSent(Key, at);
    // Its next turn comes after those of all others.
    CHECK(book.barredFor(Key, at) == minutes(10) * Nodes);
  }
  std::sort(trials.begin(), trials.end());
  for (std::size_t it = 0; it < Nodes; ++it)
    CHECK(trials[it] == lastEnd + minutes(10) * (it + 1));
}

TEST_CASE("suspicion ends by itself, a verdict after a day", "[crash]") {
  auto suspected = bookWith(2);
  suspected.removeExpired(endOf(1).EndedAt + minutes(10) - seconds(1));
  CHECK(suspected.suspects() == 1);
  suspected.removeExpired(endOf(1).EndedAt + minutes(10));
  CHECK(suspected.suspects() == 0);
  auto barred = bookWith(3);
  barred.removeExpired(endOf(2).EndedAt + minutes(60));
  CHECK(barred.barred() == 1);
  barred.removeExpired(endOf(2).EndedAt + minutes(24 * 60));
  CHECK(barred.barred() == 0);
}

TEST_CASE("a full book drops suspects, not what is barred", "[crash]") {
  CrashTracker::Settings settings;
  settings.MaxKeys = 10;
  CrashTracker book(settings);
  for (int it = 0; it < 3; ++it)
    book.onEnd(Key, endOf(it), Later);
  for (std::uint8_t n = 2; n < 200; ++n)
    book.onEnd(keyOf(n), {n, Later, Later + milliseconds(n)}, Later);
  CHECK(book.suspects() == 10);
  CHECK(book.barredFor(Key, Later));
}

TEST_CASE("a book comes back from a row's notes", "[crash]") {
  auto book = bookWith(3);
  book.onEnd(keyOf(2), endOf(4), Later);
  auto notes = encodeCrashRecords(book.since(0), 24, Later);
  CHECK(notes.find(' ') == std::string::npos);
  // Another process reads them, on a clock of its own.
  constexpr Instant Elsewhere = seconds(5);
  CrashTracker other;
  for (const auto &it : decodeCrashRecords(notes, Elsewhere))
    other.merge(it, Elsewhere);
  CHECK(other.barredFor(Key, Elsewhere) == book.barredFor(Key, Later));
  CHECK(other.crashesOf(keyOf(2)) == 1);
  auto one = encodeCrashRecords(book.since(0), 1, Later);
  CHECK(decodeCrashRecords(one, Later).size() == 1);
  CHECK(decodeCrashRecords("nonsense;01:2.3;;" + notes + "x", Later).size() ==
        2);
}

TEST_CASE("nodes that tell each other come to one verdict", "[crash]") {
  REQUIRE(rc::check([](std::uint64_t seed) {
    std::mt19937_64 random(seed);
    constexpr std::size_t Nodes = 4;
    std::vector<CrashTracker> books(Nodes);
    std::vector<std::vector<std::uint64_t>> told(
        Nodes, std::vector<std::uint64_t>(Nodes));
    // Messages take a while, by which all told times shift.
    auto tell = [&](std::size_t from, std::size_t to, Instant now) {
      auto records = books[from].since(
          std::exchange(told[from][to], books[from].revision()));
      Span travel(static_cast<std::int64_t>(random() % 50'000));
      for (auto &it : records) {
        for (auto &end : it.Crashes) {
          end.SentAt += travel;
          end.EndedAt += travel;
        }
        if (it.ServedAt)
          *it.ServedAt += travel;
        books[to].merge(it, now + travel);
      }
      return !records.empty();
    };
    int ends = 0;
    for (int step = 0; step < 40; ++step) {
      auto now = Start + milliseconds(400) * step;
      auto node = random() % Nodes;
      if (random() % 3 == 0) {
        books[node].onEnd(Key, {random() % 6 + 1, now - milliseconds(300), now},
                          now);
        ++ends;
      } else if (ends && random() % 16 == 0) {
        books[node].onServed(Key, now);
      } else {
        tell(node, random() % Nodes, now);
      }
    }
    constexpr int MostRounds = 20;
    int rounds = 0;
    for (bool going = true; going && rounds < MostRounds; ++rounds) {
      going = false;
      for (std::size_t from = 0; from < Nodes; ++from)
        for (std::size_t to = 0; to < Nodes; ++to)
          if (from != to && tell(from, to, Later))
            going = true;
    }
    RC_ASSERT(rounds < MostRounds);
    for (const auto &it : books)
      RC_ASSERT(it.barredFor(Key, Later).has_value() ==
                books[0].barredFor(Key, Later).has_value());
  }));
}

} // namespace hemlockglade::test
