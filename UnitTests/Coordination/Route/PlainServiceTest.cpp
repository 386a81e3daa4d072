#include "UnitTests/Coordination/Route/PlainWorld.h"

#include <catch2/catch.hpp>
#include <iostream>

namespace hemlockglade::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Three replicas of six slots answer 300 requests a second.
constexpr double Capacity = 300;

PlainWorld worldOf(std::uint32_t seed, bool windows, bool fairQueue) {
  PlainWorld::Settings out;
  out.Seed = seed;
  out.Windows = windows;
  out.FairQueueing = fairQueue;
  return PlainWorld(out);
}

} // namespace

TEST_CASE(
    "a send window shrinks when a replica sheds or is late, and grows again",
    "[plain]") {
  SendWindow it(SendWindow::Settings{});
  Instant now = seconds(10);
  CHECK(it.hasRoom(5, now));
  CHECK_FALSE(it.hasRoom(6, now));
  it.onShed(now);
  CHECK(it.size() == Approx(4.2));
  // Requests that were running at the first reduction cause no second one.
  it.onShed(now + milliseconds(50));
  CHECK(it.size() == Approx(4.2));
  // A single late answer does not shrink the window, several do.
  auto window = it.size();
  auto answer = [&it](int ms, std::uint32_t running, Instant at) {
    it.onAnswered(milliseconds(ms), milliseconds(300), running, 1, at);
  };
  for (int n = 0; n < 5; ++n)
    answer(60, 1, now);
  answer(180, 4, now + milliseconds(150));
  CHECK(it.size() >= window);
  window = it.size();
  for (int n = 0; n < 3; ++n)
    answer(180, 4, now + milliseconds(160));
  CHECK(it.size() < window);
  // It grows only if it was fully used.
  window = it.size();
  for (int n = 0; n < 20; ++n)
    answer(60, 1, now + seconds(1));
  CHECK(it.size() == window);
  for (int n = 0; n < 40; ++n)
    answer(60, 9, now + seconds(1));
  CHECK(it.size() > 6);
  // A window below 1 admits one request for a share of the time.
  auto last = now + seconds(102);
  for (int n = 0; n < 100; ++n)
    it.onShed(now + seconds(n + 3));
  CHECK(it.size() < 1);
  CHECK(it.hasRoom(0, last + seconds(10)));
  it.onSent(last);
  CHECK_FALSE(it.hasRoom(0, last + milliseconds(60)));
  CHECK(it.hasRoom(0, last + seconds(10)));
}

TEST_CASE("a workspace with few requests waits behind few of another one",
          "[plain]") {
  FairQueue it;
  std::vector<FairQueue::Ticket> many;
  many.reserve(10);
  for (int n = 0; n < 10; ++n)
    many.push_back(it.join("s", {"many", 0, seconds(20), {}}));
  auto few = it.join("s", {"few", 0, seconds(20), {}});
  CHECK(it.isNext("s", many[0], seconds(1)));
  it.onServed("s", many[0]);
  CHECK(it.isNext("s", few, seconds(1)));
  it.onServed("s", few);
  CHECK(it.isNext("s", many[1], seconds(1)));
  for (auto ticket : many)
    it.leave("s", ticket);
  CHECK_FALSE(it.hasWaiting("s"));
}

TEST_CASE("requests that can be in time precede others, then more urgent ones",
          "[plain]") {
  FairQueue it;
  auto late = it.join("s", {"a", 0, seconds(1), {}});
  auto other = it.join("s", {"b", 2, seconds(9), {}});
  auto urgent = it.join("s", {"c", 1, seconds(9), {}});
  CHECK(it.isNext("s", urgent, seconds(2)));
  it.onServed("s", urgent);
  CHECK(it.isNext("s", other, seconds(2)));
  // A deferred request is skipped until its time.
  it.deferUntil("s", other, seconds(3));
  CHECK(it.isNext("s", late, seconds(2)));
  CHECK(it.isNext("s", other, seconds(3)));
}

TEST_CASE("most of a burst beyond the replicas' capacity is answered in time",
          "[plain]") {
  auto seed = GENERATE(1, 2, 3);
  auto it = worldOf(seed, true, true);
  it.load("a", 0.5 * Capacity, seconds(10));
  it.advance(seconds(3));
  it.load("a", 0.8 * Capacity, seconds(3));
  it.advance(seconds(9));
  // The replicas can serve 0.77 of the requests in the burst.
  CHECK(it.outcome().InTime >
        0.9 * (1500 + 3 * Capacity) / (1500 + 3 * 1.3 * Capacity));
  auto without = worldOf(seed, false, false);
  without.load("a", 0.5 * Capacity, seconds(10));
  without.advance(seconds(3));
  without.load("a", 0.8 * Capacity, seconds(3));
  without.advance(seconds(9));
  CHECK(it.shed() < without.shed() / 20);
}

TEST_CASE("without windows and queues fewer requests of a burst are in time",
          "[plain]") {
  auto it = worldOf(1, false, false);
  it.load("a", 0.5 * Capacity, seconds(10));
  it.advance(seconds(3));
  it.load("a", 0.8 * Capacity, seconds(3));
  it.advance(seconds(9));
  auto with = worldOf(1, true, true);
  with.load("a", 0.5 * Capacity, seconds(10));
  with.advance(seconds(3));
  with.load("a", 0.8 * Capacity, seconds(3));
  with.advance(seconds(9));
  CHECK(with.outcome().InTime > it.outcome().InTime);
}

TEST_CASE(
    "many entries that share one replica answer more in time with windows",
    "[plain]") {
  PlainWorld::Settings settings;
  settings.Entries = 40;
  settings.Replicas = 1;
  settings.Windows = settings.FairQueueing = true;
  PlainWorld it(settings);
  it.load("a", 0.5 * Capacity, seconds(20));
  it.advance(seconds(21));
  settings.Windows = settings.FairQueueing = false;
  PlainWorld without(settings);
  without.load("a", 0.5 * Capacity, seconds(20));
  without.advance(seconds(21));
  CAPTURE(without.outcome().InTime, without.outcome().Served, it.shed(),
          without.shed());
  CHECK(it.outcome().InTime > 2 * without.outcome().InTime);
}

TEST_CASE("a workspace above its usual load does not displace the others",
          "[plain]") {
  auto seed = GENERATE(1, 2, 3);
  auto it = worldOf(seed, true, true);
  for (const auto *name : {"a", "b", "c", "d", "e", "f"})
    it.load(name, 0.08 * Capacity, seconds(14));
  it.load("hot", 0.08 * Capacity, seconds(14));
  it.advance(seconds(2));
  it.load("hot", 1.5 * Capacity, seconds(10));
  it.advance(seconds(14));
  for (const auto *name : {"a", "b", "c", "d", "e", "f"}) {
    CAPTURE(name, it.outcome("hot").Served);
    CHECK(it.outcome(name).Served >= 0.5 * it.outcome().Served);
    CHECK(it.outcome(name).InTime > 0.8);
  }
}

TEST_CASE("prints the results of each way to share plain replicas",
          "[.figures]") {
  std::cout << "windows turns load in-time served shed hot others\n";
  for (auto [windows, fairQueue] :
       {std::pair(false, false), std::pair(true, false), std::pair(true, true)})
    for (double load : {0.6, 1.1, 1.4, 2.0}) {
      auto it = worldOf(1, windows, fairQueue);
      for (const auto *name : {"a", "b", "c", "d"})
        it.load(name, 0.1 * Capacity, seconds(10));
      it.load("hot", (load - 0.4) * Capacity, seconds(10));
      it.advance(seconds(12));
      std::cout << windows << ' ' << fairQueue << ' ' << load << ' '
                << it.outcome().InTime << ' ' << it.outcome().Served << ' '
                << it.shed() << ' ' << it.outcome("hot").InTime << ' '
                << it.outcome("a").InTime << '\n';
    }
}

} // namespace hemlockglade::test
